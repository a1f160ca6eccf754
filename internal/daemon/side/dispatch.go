package side

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/dedup"
)

// dispatch passes a committed ticket through the last gate. It returns false
// without a fault when the ticket waits again.
func (server *Server) dispatch(ctx context.Context, ticket *ticket) (bool, *fault.Fault) {
	if refusal := server.recheck(ticket); refusal != nil {
		return false, refusal
	}
	debit, err := ticket.debit, error(nil)
	if debit == nil {
		debit, err = server.take(ctx, ticket)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	defer server.pump()
	switch {
	case err != nil:
		server.release(ticket)
		return false, fault.Wrap(err, fault.NotRun)
	case debit == nil:
		server.starve(ctx, ticket)
		return false, nil
	case ticket.debit == nil:
		server.queue.Unblock(ticket.organisation)
		ticket.debit = debit
	}
	return server.pass(ticket)
}

// pass is the last gate: it checks everything once more, since the debit may
// have taken a while, and marks the attempt as dispatched under the same lock.
func (server *Server) pass(ticket *ticket) (bool, *fault.Fault) {
	if refusal := server.gate(ticket); refusal != nil {
		server.release(ticket)
		return false, refusal
	}
	if server.overtaken(ticket) || !ticket.debit.Commit() {
		server.refund(ticket)
		server.wait(ticket)
		return false, nil
	}
	if !server.records.Dispatch(time.Now(), ticket.attempt, ticket.repeat()) {
		server.release(ticket)
		return false, fault.New(fault.OutcomeUnknown, fault.RunUnknown, "the request was dispatched before; query its outcome by its id")
	}
	server.mark(ticket)
	return true, nil
}

// overtaken reports whether the engine started anew or a move between halves
// began since the ticket was committed.
func (server *Server) overtaken(ticket *ticket) bool {
	return !ticket.plain && ticket.generation != server.engine.generation || server.moving()
}

// wait puts a committed ticket back into the queue. It holds neither a place
// at the upstream nor its adapter meanwhile.
func (server *Server) wait(ticket *ticket) {
	server.release(ticket)
	server.queue.Requeue(ticket.entry)
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

// mark notes that a ticket is being sent to the upstream.
func (server *Server) mark(ticket *ticket) {
	organisation, _ := server.current().Organisation(ticket.organisation)
	ticket.half, ticket.sent = organisation.Half, true
	server.taking[ticket.organisation]--
	ticket.waited = time.Since(ticket.arrived)
	server.count("dispatched")
	server.place("dispatched request", ticket, zap.String("upstream", server.config.UpstreamID),
		zap.String("reason", "next in fair order"), zap.Duration("waited", ticket.waited),
		zap.Duration("load-wait", ticket.loadWait), zap.Int("queued", server.queue.Len()))
}

// ending is how a dispatched request ended.
type ending struct {
	ran    fault.Execution
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
	server.ends = append(server.ends, now)
	ticket.committed = false
	if ticket.plain || ending.confirmed {
		server.unpin(ticket)
	} else {
		server.lingers = append(server.lingers, linger{
			requestID: ticket.attempt.RequestID, ref: ticket.ref, generation: ticket.generation, ended: now,
		})
	}
	server.pump()
}

// lookup returns what is known of a request.
func (server *Server) lookup(requestID string) (dedup.AttemptRecord, bool) {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.records.Lookup(requestID)
}
