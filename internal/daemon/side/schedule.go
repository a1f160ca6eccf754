package side

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/fairq"
	"jacinthfront.dev/jacinthfront/internal/flow/slots"
)

// engineView is what this process knows of its engine.
type engineView struct {
	incarnation string
	// generation counts the engine's incarnations that were seen. Pins and loads
	// of earlier generations are void.
	generation uint64
	known      bool
	// reportedAt is when the last state that the engine reported was requested.
	reportedAt time.Time
}

// tick calls schedule when the timer fires.
func (server *Server) tick() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.schedule()
}

// schedule starts the waiting requests and adapter loads that can start now. It
// is called with the lock held after each change.
func (server *Server) schedule() {
	if server.background.Err() != nil {
		return
	}
	now := time.Now()
	server.scheduleWaiting(now)
	demands := server.planLoads(now)
	// planLoads makes adapters ready again that were to be evicted for a
	// request that no longer waits.
	server.scheduleWaiting(now)
	server.queue.SetSaturated(now, len(server.running) >= server.config.MaxRunning && server.queue.Len() > 0)
	server.resetTimer(now, demands)
}

// scheduleWaiting schedules waiting requests while there are free running
// slots.
func (server *Server) scheduleWaiting(now time.Time) {
	for len(server.running) < server.config.MaxRunning && server.queue.Len() > 0 && !server.halfChanging() {
		entry := server.queue.Pop(now, server.canSend)
		if entry == nil {
			return
		}
		server.scheduleTask(now, entry.Value)
	}
}

// canSend reports whether a waiting request could be sent at once.
func (server *Server) canSend(entry *fairq.Entry[*task]) bool {
	if server.reserving[entry.Organisation] > 0 && server.queue.RateLimited(entry.Organisation) {
		// Only one request at a time checks whether there are tokens again.
		return false
	}
	return entry.Value.plain || server.table.Ready(entry.Value.ref)
}

// scheduleTask gives a request taken from the queue its running slot and pins
// its adapter.
func (server *Server) scheduleTask(now time.Time, task *task) {
	if !task.plain {
		server.table.Pin(now, task.ref)
	}
	task.scheduled = true
	task.generation = server.engine.generation
	server.running[task] = true
	server.reserving[task.organisation]++
	task.decision <- nil
}

// halfChanging reports whether requests of another half still run. New requests
// wait until these have ended.
func (server *Server) halfChanging() bool {
	upstream, ok := server.current().Upstream(server.config.UpstreamID)
	if !ok {
		return true
	}
	for task := range server.running {
		if !task.half.CompatibleWith(upstream.Half) {
			return true
		}
	}
	return false
}

// demand is the waiting requests of one adapter. organisation sent the oldest
// one and is charged for the load.
type demand struct {
	slots.Demand
	organisation string
}

// planLoads orders the engine to load adapters that requests wait for.
func (server *Server) planLoads(now time.Time) []slots.Demand {
	if !server.engine.known || server.queue.Len() == 0 || server.halfChanging() {
		return nil
	}
	byRef := server.demands(now)
	list := make([]slots.Demand, 0, len(byRef))
	for _, demand := range byRef {
		list = append(list, demand.Demand)
	}
	orders, more := server.table.PlanAtMost(now, list, server.permits.available(now))
	for _, order := range orders {
		if demand, ok := byRef[order.Load]; ok {
			server.queue.Charge(demand.organisation, fairq.AdapterLoadCost)
			server.permits.held--
		}
		server.workers.Add(1)
		go server.executeOrder(order, server.engine.generation)
	}
	if more {
		server.requestPermit()
	}
	return list
}

// demands returns the adapters that requests wait for, leaving out requests
// that lack tokens.
func (server *Server) demands(now time.Time) map[slots.AdapterRef]*demand {
	byRef := map[slots.AdapterRef]*demand{}
	server.queue.All(func(entry *fairq.Entry[*task]) bool {
		task := entry.Value
		if task.plain || server.lacksTokens(task) {
			return true
		}
		known, ok := byRef[task.ref]
		if !ok {
			known = &demand{Demand: slots.Demand{Ref: task.ref, Class: entry.Class, OldestArrival: task.arrived}}
			known.organisation = task.organisation
			byRef[task.ref] = known
		}
		known.WaitingRequests++
		if entry.HighPriority(now) {
			known.Class = 0
		}
		if task.arrived.Before(known.OldestArrival) {
			known.OldestArrival, known.organisation = task.arrived, task.organisation
		}
		return true
	})
	return byRef
}

// lacksTokens reports whether a waiting request lacks tokens, so that its
// adapter is not needed yet. It is false for the request that gets the
// organisation's next tokens: its adapter is loaded meanwhile.
func (server *Server) lacksTokens(task *task) bool {
	tokenWait := server.tokenWaits[task.organisation]
	return server.queue.RateLimited(task.organisation) && task.reservation == nil && (tokenWait == nil || tokenWait.task != task)
}

// resetTimer sets the timer for the next time at which schedule may start work
// without another event.
func (server *Server) resetTimer(now time.Time, demands []slots.Demand) {
	next, ok := server.queue.NextUnblock(now)
	if plan, planned := server.table.NextPlanTime(now, demands); planned && (!ok || plan.Before(next)) {
		next, ok = plan, true
	}
	if ok {
		server.timer.Reset(next.Sub(now))
	}
}

// recheckQueue checks every waiting request again after the configuration or
// the list of instances changed.
func (server *Server) recheckQueue() {
	var refused []*task
	var reasons []*fault.Fault
	server.queue.All(func(entry *fairq.Entry[*task]) bool {
		if reason := server.checkDispatch(entry.Value); reason != nil {
			refused, reasons = append(refused, entry.Value), append(reasons, reason)
		}
		return true
	})
	for index, task := range refused {
		server.refuseQueued(task, reasons[index])
	}
	server.schedule()
}
