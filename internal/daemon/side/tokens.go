package side

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// take debits the tokens of a committed ticket. It waits for a short time only,
// since the ticket holds a place at the upstream, and returns no debit when
// that does not suffice.
func (server *Server) take(ctx context.Context, ticket *ticket) (Reservation, error) {
	if ticket.organisation == "" || ticket.cost <= 0 {
		return unlimited{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, takeWait)
	defer cancel()
	debit, err := server.config.Limiter.Reserve(ctx, ticket.organisation, ticket.cost)
	if err != nil && ctx.Err() == nil {
		return nil, fault.Wrap(err, fault.NotRun).WithRan(fault.NotRun)
	}
	if err != nil {
		debit = nil
	}
	return debit, nil
}

// gathering is the wait of one request for its organisation's tokens.
type gathering struct {
	ticket *ticket
	cancel context.CancelFunc
}

// starve makes a committed ticket wait in the queue until its tokens are there.
func (server *Server) starve(ctx context.Context, ticket *ticket) {
	server.wait(ticket)
	if ctx.Err() != nil {
		return
	}
	until, ok := ctx.Deadline()
	if !ok {
		until = server.deadline(ticket)
	}
	server.queue.Block(ticket.organisation, until)
	if server.gathering[ticket.organisation] != nil {
		return
	}
	server.count("token-waits")
	ctx, cancel := context.WithDeadline(ctx, until)
	server.gathering[ticket.organisation] = &gathering{ticket: ticket, cancel: cancel}
	go server.gather(ctx, ticket)
}

// gather waits for the tokens of one ticket in the queue on behalf of its
// organisation, whose other requests wait behind it.
func (server *Server) gather(ctx context.Context, ticket *ticket) {
	debit, err := server.config.Limiter.Reserve(ctx, ticket.organisation, ticket.cost)
	server.mu.Lock()
	defer server.mu.Unlock()
	ended := ctx.Err()
	server.gathering[ticket.organisation].cancel()
	delete(server.gathering, ticket.organisation)
	// The organisation may be tried again now, one request at a time.
	server.queue.Block(ticket.organisation, time.Now())
	switch {
	case err == nil && ticket.entry.Queued():
		ticket.debit = debit
	case err == nil:
		debit.Settle(0)
	case ended == nil:
		server.refuse(ticket, fault.Wrap(err, fault.NotRun).WithRan(fault.NotRun))
	}
	server.pump()
}

// overtake ends the wait for tokens of a patient request when an interactive
// one of the same organisation arrives, which goes first.
func (server *Server) overtake(ticket *ticket) {
	gathering := server.gathering[ticket.organisation]
	now := time.Now()
	if gathering != nil && ticket.entry.HighPriority(now) && !gathering.ticket.entry.HighPriority(now) {
		gathering.cancel()
	}
}
