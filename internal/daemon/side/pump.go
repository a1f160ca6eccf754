package side

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/fairq"
	"jacinthfront.dev/jacinthfront/internal/flow/slots"
)

// engineView is what this process knows of its engine.
type engineView struct {
	epoch string
	// generation counts the epochs seen; pins and loads of earlier ones are void.
	generation uint64
	known      bool
	// answered is when the engine last reported its state.
	answered time.Time
}

// tick runs the pump at the time for which it was scheduled.
func (server *Server) tick() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.pump()
}

// pump starts what can start: waiting requests and adapter loads. It is called
// with the lock held after each change.
func (server *Server) pump() {
	if server.background.Err() != nil {
		return
	}
	now := time.Now()
	server.startWaiting(now)
	demands := server.planLoads(now)
	// Plan opens adapters again that were kept for a request which is gone.
	server.startWaiting(now)
	server.queue.SetSaturated(now, len(server.running) >= server.config.MaxRunning && server.queue.Len() > 0)
	server.schedule(now, demands)
}

// startWaiting commits waiting requests as long as there is room for them.
func (server *Server) startWaiting(now time.Time) {
	for len(server.running) < server.config.MaxRunning && server.queue.Len() > 0 && !server.moving() {
		entry := server.queue.Pop(now, server.ready)
		if entry == nil {
			return
		}
		server.commit(now, entry.Value)
	}
}

// ready reports whether a waiting request could be sent at once.
func (server *Server) ready(entry *fairq.Entry[*ticket]) bool {
	if server.taking[entry.Organisation] > 0 && server.queue.RateLimited(entry.Organisation) {
		// One request at a time tries whether there are tokens again.
		return false
	}
	return entry.Value.plain || server.table.Ready(entry.Value.ref)
}

// commit gives a popped ticket its place at the upstream and pins its adapter.
func (server *Server) commit(now time.Time, ticket *ticket) {
	if !ticket.plain {
		server.table.Pin(now, ticket.ref)
	}
	ticket.committed = true
	ticket.generation = server.engine.generation
	server.running[ticket] = true
	server.taking[ticket.organisation]++
	ticket.verdict <- nil
}

// moving reports whether work of another half still runs, in which case new
// work waits.
func (server *Server) moving() bool {
	upstream, ok := server.current().Upstream(server.config.UpstreamID)
	if !ok {
		return true
	}
	for ticket := range server.running {
		if !ticket.half.CompatibleWith(upstream.Half) {
			return true
		}
	}
	return false
}

// demand collects the waiting requests of one adapter.
type demand struct {
	slots.Demand
	organisation string
}

// planLoads gives the engine the orders for adapters that requests wait for.
func (server *Server) planLoads(now time.Time) []slots.Demand {
	if !server.engine.known || server.queue.Len() == 0 || server.moving() {
		return nil
	}
	byRef := server.demands(now)
	list := make([]slots.Demand, 0, len(byRef))
	for _, demand := range byRef {
		list = append(list, demand.Demand)
	}
	orders, more := server.table.PlanAtMost(now, list, server.permits.take(now))
	for _, order := range orders {
		if demand, ok := byRef[order.Load]; ok {
			server.queue.Charge(demand.organisation, fairq.AdapterLoadCost)
			server.permits.held--
		}
		server.loads.Add(1)
		go server.execute(order, server.engine.generation)
	}
	if more {
		server.askPermit()
	}
	return list
}

// demands returns what requests wait for, except for organisations that have
// no tokens at present.
func (server *Server) demands(now time.Time) map[slots.AdapterRef]*demand {
	byRef := map[slots.AdapterRef]*demand{}
	server.queue.All(func(entry *fairq.Entry[*ticket]) bool {
		ticket := entry.Value
		if ticket.plain || server.starved(ticket) {
			return true
		}
		known, ok := byRef[ticket.ref]
		if !ok {
			known = &demand{Demand: slots.Demand{Ref: ticket.ref, Class: entry.Class, OldestArrival: ticket.arrived}}
			known.organisation = ticket.organisation
			byRef[ticket.ref] = known
		}
		known.WaitingRequests++
		if entry.HighPriority(now) {
			known.Class = 0
		}
		if ticket.arrived.Before(known.OldestArrival) {
			known.OldestArrival, known.organisation = ticket.arrived, ticket.organisation
		}
		return true
	})
	return byRef
}

// starved reports whether a waiting request lacks tokens, so that its adapter
// is not needed yet. That of the request next in turn is loaded meanwhile.
func (server *Server) starved(ticket *ticket) bool {
	gathering := server.gathering[ticket.organisation]
	return server.queue.RateLimited(ticket.organisation) && ticket.debit == nil && (gathering == nil || gathering.ticket != ticket)
}

// schedule sets the timer for the next moment at which the pump may do more
// although nothing happened.
func (server *Server) schedule(now time.Time, demands []slots.Demand) {
	next, ok := server.queue.NextUnblock(now)
	if plan, planned := server.table.NextPlanTime(now, demands); planned && (!ok || plan.Before(next)) {
		next, ok = plan, true
	}
	if ok {
		server.timer.Reset(next.Sub(now))
	}
}

// review checks every waiting ticket anew after the configuration or the list
// of instances changed.
func (server *Server) review() {
	var refused []*ticket
	var reasons []*fault.Fault
	server.queue.All(func(entry *fairq.Entry[*ticket]) bool {
		if reason := server.gate(entry.Value); reason != nil {
			refused, reasons = append(refused, entry.Value), append(reasons, reason)
		}
		return true
	})
	for index, ticket := range refused {
		server.refuse(ticket, reasons[index])
	}
	server.pump()
}
