package side

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/once"
)

// retryTake is when an organisation without tokens is tried again if its
// limiter does not say: about the time in which a shard of a small
// organisation accrues one short request.
const retryTake = 50 * time.Millisecond

// dispatch passes a committed ticket through the last gate. It returns false
// without a fault when the ticket waits again.
func (server *Server) dispatch(ctx context.Context, ticket *ticket) (bool, *fault.Fault) {
	if refusal := server.recheck(ticket); refusal != nil {
		return false, refusal
	}
	debit, err := server.take(ctx, ticket)
	server.mu.Lock()
	defer server.mu.Unlock()
	defer server.pump()
	if err != nil {
		server.starve(ticket, err)
		return false, nil
	}
	server.queue.Unblock(ticket.organisation)
	if !ticket.plain && ticket.generation != server.engine.generation {
		debit.Settle(0)
		server.release(ticket)
		server.queue.Requeue(ticket.entry)
		return false, nil
	}
	// The debit may have taken a while, so that all checks run once more, under
	// the lock under which the attempt becomes dispatched.
	if refusal := server.gate(ticket); refusal != nil {
		debit.Settle(0)
		server.release(ticket)
		return false, refusal
	}
	if !server.records.Dispatch(time.Now(), ticket.attempt, ticket.repeat()) {
		debit.Settle(0)
		server.release(ticket)
		return false, fault.New(fault.OutcomeUnknown, fault.Unknown, "the request was dispatched before; query its outcome by its id")
	}
	ticket.debit = debit
	server.mark(ticket)
	return true, nil
}

// recheck runs the gate before tokens are taken, so that a request which will
// be refused takes none.
func (server *Server) recheck(ticket *ticket) *fault.Fault {
	server.mu.Lock()
	defer server.mu.Unlock()
	refusal := server.gate(ticket)
	if refusal != nil {
		server.release(ticket)
		server.pump()
	}
	return refusal
}

// take debits the tokens of the ticket's organisation.
func (server *Server) take(ctx context.Context, ticket *ticket) (Debit, error) {
	if ticket.organisation == "" || ticket.cost <= 0 {
		return unlimited{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, takeWait)
	defer cancel()
	return server.config.Limiter.Take(ctx, ticket.organisation, ticket.cost)
}

// starve puts a ticket back to wait for tokens. It holds neither a place at
// the upstream nor its adapter meanwhile, and other organisations pass it.
func (server *Server) starve(ticket *ticket, err error) {
	after := retryTake
	if reason, ok := fault.As(err); ok && reason.RetryAfter() > 0 {
		after = min(reason.RetryAfter(), time.Second)
	}
	server.count("token-waits")
	server.release(ticket)
	server.queue.Block(ticket.organisation, time.Now().Add(after))
	server.queue.Requeue(ticket.entry)
}

// mark notes that a ticket is being sent to the upstream.
func (server *Server) mark(ticket *ticket) {
	organisation, _ := server.current().Organisation(ticket.organisation)
	ticket.half = organisation.Half
	ticket.waited = time.Since(ticket.arrived)
	server.count("dispatched")
	server.place("dispatched request", ticket, zap.String("upstream", server.config.Upstream),
		zap.String("reason", "next in fair order"), zap.Duration("waited", ticket.waited),
		zap.Duration("load-wait", ticket.loadWait), zap.Int("queued", server.queue.Len()))
}

// ending is how a dispatched request ended.
type ending struct {
	ran    fault.Ran
	status uint32
	// confirmed says that the upstream reported the end.
	confirmed bool
}

// finish ends a dispatched ticket. Without the upstream's confirmation, the
// adapter stays pinned until the engine's state shows that the request is over.
func (server *Server) finish(ticket *ticket, ending ending) {
	server.mu.Lock()
	defer server.mu.Unlock()
	now := time.Now()
	server.records.End(now, ticket.attempt, ending.ran, ending.status)
	delete(server.running, ticket)
	ticket.committed = false
	if ticket.plain || ending.confirmed {
		server.unpin(ticket)
	} else {
		server.lingers = append(server.lingers, linger{ref: ticket.ref, generation: ticket.generation, ended: now})
	}
	server.pump()
}

// lookup returns what is known of a request.
func (server *Server) lookup(requestID string) (once.Record, bool) {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.records.Lookup(requestID)
}
