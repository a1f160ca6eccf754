package side

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/dedup"
	"jacinthfront.dev/jacinthfront/internal/flow/fairq"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// Run implements wirepb.DRPCSideServer.
func (server *Server) Run(request *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
	ctx := stream.Context()
	answer := &answer{server: server, request: request, stream: stream}
	ticket, refusal := server.arrive(ctx, request)
	if refusal != nil {
		return answer.refuse(refusal)
	}
	defer server.depart(ticket)
	if ticket.keyed() {
		return server.runKeyed(ctx, ticket, answer)
	}
	return server.runTicket(ctx, ticket, answer)
}

// arrive checks a request on arrival and records its attempt.
func (server *Server) arrive(ctx context.Context, request *wirepb.RunRequest) (*ticket, *fault.Fault) {
	if request.GetRequestId() == "" || min(request.GetPromptTokens(), request.GetMaxTokens(), request.GetResumeFrom()) < 0 {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "the request has no id or a negative count of tokens; correct it")
	}
	if refusal := server.freshen(ctx, request); refusal != nil {
		return nil, refusal
	}
	route, ok := server.current().Route(request.GetRoute())
	if !ok {
		return nil, fault.New(fault.UnknownRoute, fault.NotRun, "the route %q does not exist; list the routes", request.GetRoute())
	}
	ticket := server.newTicket(request, route)
	server.mu.Lock()
	defer server.mu.Unlock()
	incarnation := request.GetIncarnation()
	if incarnation != 0 && incarnation != server.config.Incarnation {
		return nil, fault.New(fault.NoUpstream, fault.NotRun, "the side process was started anew; send the request again")
	}
	if refusal := server.gate(ticket); refusal != nil {
		return nil, refusal
	}
	if refusal := server.begin(ticket); refusal != nil {
		return nil, refusal
	}
	server.live++
	return ticket, nil
}

// begin records an attempt unless it must not run.
func (server *Server) begin(ticket *ticket) *fault.Fault {
	now := time.Now()
	if !ticket.idempotent && server.records.Full(now) {
		return fault.New(fault.Overloaded, fault.NotRun,
			"too many recent requests are remembered; come back after the time in retry-after").WithRetryAfter(time.Second)
	}
	switch server.records.Register(ticket.attempt, ticket.organisation, ticket.repeat()) {
	case dedup.Tombstoned:
		return fault.New(fault.Cancelled, fault.NotRun, "the attempt was cancelled; send the request anew")
	case dedup.Duplicate, dedup.AlreadyRan:
		return fault.New(fault.OutcomeUnknown, fault.RunUnknown, "the request was dispatched before; query its outcome by its id")
	case dedup.Accepted:
	}
	return nil
}

// freshen waits until this process has the configuration version with which
// the entry instance accepted the request.
func (server *Server) freshen(ctx context.Context, request *wirepb.RunRequest) *fault.Fault {
	version := request.GetConfigVersion()
	if server.current().Version() >= version {
		return nil
	}
	server.config.ConfigSource.ObserveVersion(version)
	timer := time.NewTimer(shorter(freshWait, time.Duration(request.GetWaitBudgetUs())*time.Microsecond))
	defer timer.Stop()
	for {
		changed := server.config.ConfigSource.Changed()
		if server.current().Version() >= version {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return fault.New(fault.Stale, fault.NotRun,
				"this side process has not received configuration %d yet; send the request to another upstream", version)
		case <-ctx.Done():
			return cancelled()
		}
	}
}

func cancelled() *fault.Fault {
	return fault.New(fault.Cancelled, fault.NotRun, "the caller went away while the request waited")
}

// runTicket queues a ticket, sends it when its turn comes and relays the answer.
func (server *Server) runTicket(ctx context.Context, ticket *ticket, answer *answer) error {
	if refusal := server.enqueue(ticket); refusal != nil {
		return server.turnDown(ticket, answer, refusal)
	}
	if refusal := server.await(ctx, ticket); refusal != nil {
		return server.turnDown(ticket, answer, refusal)
	}
	ctx, cancel := server.runContext(ctx, ticket)
	defer cancel()
	if ticket.plain {
		return server.runPlain(ctx, ticket, answer)
	}
	return server.runModel(ctx, ticket, answer)
}

// runContext bounds the time of a run. A run with an idempotency key goes on
// when its caller leaves, so that a repeated request finds its answer.
func (server *Server) runContext(ctx context.Context, ticket *ticket) (context.Context, context.CancelFunc) {
	if ticket.keyed() {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, server.deadline(ticket))
}

// deadline is when a request has taken as long as it may.
func (server *Server) deadline(ticket *ticket) time.Time {
	budget := time.Duration(ticket.request.GetTimeBudgetUs()) * time.Microsecond
	return ticket.arrived.Add(shorter(budget, server.config.RequestTimeout))
}

// enqueue admits a ticket to the queue or refuses it on arrival.
func (server *Server) enqueue(ticket *ticket) *fault.Fault {
	server.mu.Lock()
	defer server.mu.Unlock()
	if refusal := server.admit(ticket); refusal != nil {
		return refusal
	}
	server.count("admitted")
	server.queue.Push(ticket.entry)
	server.overtake(ticket)
	server.pump()
	return nil
}

// admit returns why a ticket is refused on arrival, or nil.
func (server *Server) admit(ticket *ticket) *fault.Fault {
	now := time.Now()
	if refusal := server.gate(ticket); refusal != nil {
		return refusal
	}
	if after, failed := server.table.RejectFor(now, ticket.ref); failed && !ticket.plain {
		return loadFailed(ticket).WithRetryAfter(after)
	}
	return server.queue.CheckAdmission(now, ticket.entry, server.share(ticket.organisation))
}

// share returns what the organisation's requests may use.
func (server *Server) share(name string) fairq.RateLimit {
	if server.config.FirstComeFirstServed {
		return fairq.RateLimit{}
	}
	organisation, _ := server.current().Organisation(name)
	share := fairq.RateLimit{Rate: organisation.Rate, Burst: organisation.Burst}
	if estimator, ok := server.config.Limiter.(Estimator); ok {
		share.EstimateWait = func(tokens conf.Tokens) time.Duration { return estimator.EstimateWait(name, tokens) }
	}
	return share
}

// await waits until the ticket is dispatched. Its longest wait and the end of
// its caller take it out of the queue at once.
func (server *Server) await(ctx context.Context, ticket *ticket) *fault.Fault {
	waiting, cancel := ctx, context.CancelFunc(func() {})
	if ticket.longest > 0 {
		waiting, cancel = context.WithDeadline(ctx, ticket.arrived.Add(ticket.longest))
	}
	defer cancel()
	for {
		select {
		case refusal := <-ticket.verdict:
			if refusal != nil {
				return refusal
			}
		case <-waiting.Done():
		}
		if waiting.Err() != nil {
			return server.withdraw(ticket, waitFault(ctx, ticket))
		}
		if sent, refusal := server.dispatch(waiting, ticket); sent || refusal != nil {
			return refusal
		}
	}
}

// waitFault tells why a ticket waits no longer.
func waitFault(ctx context.Context, ticket *ticket) *fault.Fault {
	if ctx.Err() != nil {
		return cancelled()
	}
	return fault.New(fault.WaitExceeded, fault.NotRun,
		"the request waited for its longest wait of %v; come back after the time in retry-after", ticket.longest).
		WithRetryAfter(time.Second)
}

// withdraw takes a ticket that was not dispatched out of the queue or out of
// its place at the upstream.
func (server *Server) withdraw(ticket *ticket, reason *fault.Fault) *fault.Fault {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.queue.Remove(ticket.entry)
	server.release(ticket)
	server.pump()
	return reason
}

// turnDown records and answers that a ticket was not sent to the upstream.
func (server *Server) turnDown(ticket *ticket, answer *answer, refusal *fault.Fault) error {
	server.mu.Lock()
	server.records.End(time.Now(), ticket.attempt, refusal.Ran(), uint32(refusal.Status()))
	server.mu.Unlock()
	return answer.refuse(refusal)
}

// depart ends the stay of a ticket.
func (server *Server) depart(ticket *ticket) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.records.End(time.Now(), ticket.attempt, fault.NotRun, 0)
	server.refund(ticket)
	server.live--
	if server.live == 0 {
		select {
		case server.empty <- struct{}{}:
		default:
		}
	}
}
