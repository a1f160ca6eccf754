package side

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/dedup"
	"jacinthfront.dev/jacinthfront/internal/flow/fairq"
	"jacinthfront.dev/jacinthfront/internal/flow/slots"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// task is one attempt of a request while this process handles it. The server's
// lock guards its mutable fields.
type task struct {
	request      *wirepb.RunRequest
	attempt      dedup.Attempt
	organisation string
	route        conf.RouteSpec
	ref          slots.AdapterRef
	plain        bool
	idempotent   bool
	maxTokens    conf.Tokens
	cost         conf.Tokens
	arrived      time.Time
	maxWait      time.Duration

	entry *fairq.Entry[*task]
	// decision receives nil when the request is scheduled, or why it is
	// refused.
	decision chan *fault.Fault
	// scheduled says that the request holds a running slot.
	scheduled bool
	// generation is the engine's generation when the adapter was pinned.
	generation uint64
	half       conf.Half
	// reservation may be set before the request is scheduled, if the tokens
	// were awaited in the queue.
	reservation Reservation
	dispatched  bool
	// claim is the claim that this process wrote to the log for an idempotency
	// key.
	claim dedup.Claim
	// queueWait is the time until the dispatch; loadWait is the part of it
	// until the adapter was loaded.
	queueWait time.Duration
	loadWait  time.Duration
	// firstTokenAt is when the engine's first token arrived.
	firstTokenAt time.Time
}

func (server *Server) newTask(request *wirepb.RunRequest, route conf.RouteSpec) *task {
	now := time.Now()
	task := &task{
		request:      request,
		attempt:      dedup.Attempt{RequestID: request.GetRequestId(), Number: request.GetAttempt()},
		organisation: request.GetOrganisation(),
		route:        route,
		plain:        route.Plain,
		ref:          slots.AdapterRef{Adapter: request.GetAdapter(), Version: request.GetAdapterVersion()},
		idempotent:   request.GetIdempotent() && route.Idempotent && len(request.GetIdempotencyKeyHash()) == 0,
		arrived:      now,
		maxWait:      shorter(time.Duration(request.GetWaitBudgetUs())*time.Microsecond, route.MaxWait),
		decision:     make(chan *fault.Fault, 1),
	}
	task.maxWait = shorter(task.maxWait, time.Duration(request.GetTimeBudgetUs())*time.Microsecond)
	if request.GetKeyId() == "" {
		// A request without a key is not charged to any organisation, not even to
		// the one that it names.
		task.organisation = ""
	}
	task.maxTokens = conf.Tokens(request.GetMaxTokens())
	if task.maxTokens <= 0 {
		task.maxTokens = route.DefaultMaxTokens
	}
	task.cost = conf.Tokens(request.GetPromptTokens()) + task.maxTokens
	if task.plain {
		task.cost = route.Cost
	}
	task.entry = newEntry(task)
	if server.config.FirstComeFirstServed {
		task.entry.Organisation, task.entry.Class = "", conf.Interactive
	}
	return task
}

// newEntry returns the queue entry of a request.
func newEntry(value *task) *fairq.Entry[*task] {
	return &fairq.Entry[*task]{
		Organisation: value.organisation, Class: priorityClass(value.request.GetClass()), Cost: value.cost,
		Arrived: value.arrived, MaxWait: value.maxWait, Value: value,
	}
}

// shorter returns the shorter of two durations, where 0 means no bound.
func shorter(left, right time.Duration) time.Duration {
	if left <= 0 || right > 0 && right < left {
		return right
	}
	return left
}

func priorityClass(class wirepb.Class) conf.Class {
	if class == wirepb.Class_CLASS_PATIENT {
		return conf.Patient
	}
	return conf.Interactive
}

// keyed reports whether the request has an idempotency key.
func (task *task) keyed() bool { return len(task.request.GetIdempotencyKeyHash()) > 0 }

// runLimit returns how often the request may run.
func (task *task) runLimit() dedup.RunLimit {
	switch {
	case task.idempotent:
		return dedup.Unlimited
	case task.keyed():
		return dedup.OncePerClaim
	default:
		return dedup.AtMostOnce
	}
}

// refuseQueued removes a waiting request from the queue and passes the reason
// to its handler.
func (server *Server) refuseQueued(task *task, reason *fault.Fault) {
	if server.queue.Remove(task.entry) {
		task.decision <- reason
	}
}

// unschedule frees the running slot and the adapter of a request that was not
// dispatched.
func (server *Server) unschedule(task *task) {
	if !task.scheduled {
		return
	}
	task.scheduled = false
	delete(server.running, task)
	server.reserving[task.organisation]--
	server.unpin(task)
}

// refund returns the tokens of a request that was not dispatched.
func (server *Server) refund(task *task) {
	if task.reservation != nil && !task.dispatched {
		task.reservation.Settle(0)
		task.reservation = nil
	}
}

func (server *Server) unpin(task *task) {
	if !task.plain && task.generation == server.engine.generation {
		server.table.Unpin(task.ref)
	}
}
