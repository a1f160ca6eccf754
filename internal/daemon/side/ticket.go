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

// ticket is one attempt of a request on its way through this process. The
// server's lock guards its mutable fields.
type ticket struct {
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
	longest      time.Duration

	entry *fairq.Entry[*ticket]
	// verdict tells the waiting handler to go on, or why not.
	verdict   chan *fault.Fault
	committed bool
	// generation is the engine's at the time of the pin.
	generation uint64
	half       conf.Half
	// debit may be there before the dispatch, when the tokens took a while.
	debit Reservation
	sent  bool
	// claim is what this process put on the log for an idempotency key.
	claim dedup.Claim
	// waited is the time until the dispatch; loadWait is the part of it until
	// the adapter was loaded.
	waited   time.Duration
	loadWait time.Duration
	// firstToken is when the engine was seen to work on the request.
	firstToken time.Time
}

func (server *Server) newTicket(request *wirepb.RunRequest, route conf.RouteSpec) *ticket {
	now := time.Now()
	ticket := &ticket{
		request:      request,
		attempt:      dedup.Attempt{RequestID: request.GetRequestId(), Number: request.GetAttempt()},
		organisation: request.GetOrganisation(),
		route:        route,
		plain:        route.Plain,
		ref:          slots.AdapterRef{Adapter: request.GetAdapter(), Version: request.GetAdapterVersion()},
		idempotent:   request.GetIdempotent() && route.Idempotent && len(request.GetIdempotencyKeyHash()) == 0,
		arrived:      now,
		longest:      shorter(time.Duration(request.GetWaitBudgetUs())*time.Microsecond, route.MaxWait),
		verdict:      make(chan *fault.Fault, 1),
	}
	ticket.longest = shorter(ticket.longest, time.Duration(request.GetTimeBudgetUs())*time.Microsecond)
	if request.GetKeyId() == "" {
		// Work without a key is charged to nobody, whatever the request says.
		ticket.organisation = ""
	}
	ticket.maxTokens = conf.Tokens(request.GetMaxTokens())
	if ticket.maxTokens <= 0 {
		ticket.maxTokens = route.DefaultMaxTokens
	}
	ticket.cost = conf.Tokens(request.GetPromptTokens()) + ticket.maxTokens
	if ticket.plain {
		ticket.cost = route.Cost
	}
	ticket.entry = newEntry(ticket)
	if server.config.FirstComeFirstServed {
		ticket.entry.Organisation, ticket.entry.Class = "", conf.Interactive
	}
	return ticket
}

// newEntry returns the entry with which a ticket waits.
func newEntry(value *ticket) *fairq.Entry[*ticket] {
	return &fairq.Entry[*ticket]{
		Organisation: value.organisation, Class: class(value.request.GetClass()), Cost: value.cost,
		Arrived: value.arrived, MaxWait: value.longest, Value: value,
	}
}

// shorter returns the shorter of two waits, of which 0 sets no bound.
func shorter(left, right time.Duration) time.Duration {
	if left <= 0 || right > 0 && right < left {
		return right
	}
	return left
}

func class(class wirepb.Class) conf.Class {
	if class == wirepb.Class_CLASS_PATIENT {
		return conf.Patient
	}
	return conf.Interactive
}

// keyed reports whether the request has an idempotency key.
func (ticket *ticket) keyed() bool { return len(ticket.request.GetIdempotencyKeyHash()) > 0 }

// repeat tells how often the request may run.
func (ticket *ticket) repeat() dedup.RunLimit {
	switch {
	case ticket.idempotent:
		return dedup.Unlimited
	case ticket.keyed():
		return dedup.OncePerClaim
	default:
		return dedup.AtMostOnce
	}
}

// refuse takes a waiting ticket out of the queue and tells its handler why.
func (server *Server) refuse(ticket *ticket, reason *fault.Fault) {
	if server.queue.Remove(ticket.entry) {
		ticket.verdict <- reason
	}
}

// release ends the commitment of a ticket that was not dispatched.
func (server *Server) release(ticket *ticket) {
	if !ticket.committed {
		return
	}
	ticket.committed = false
	delete(server.running, ticket)
	server.taking[ticket.organisation]--
	server.unpin(ticket)
}

// refund returns the tokens of a ticket that was not dispatched.
func (server *Server) refund(ticket *ticket) {
	if ticket.debit != nil && !ticket.sent {
		ticket.debit.Settle(0)
		ticket.debit = nil
	}
}

func (server *Server) unpin(ticket *ticket) {
	if !ticket.plain && ticket.generation == server.engine.generation {
		server.table.Unpin(ticket.ref)
	}
}
