package side

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// reserve reserves the tokens of a scheduled request. It waits for a short time
// only, since the request holds a running slot, and returns no reservation if
// the tokens do not arrive in that time.
func (server *Server) reserve(ctx context.Context, task *task) (Reservation, error) {
	if task.organisation == "" || task.cost <= 0 {
		return unlimited{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxReserveWait)
	defer cancel()
	reservation, err := server.config.Limiter.Reserve(ctx, task.organisation, task.cost)
	if err != nil && ctx.Err() == nil {
		return nil, fault.Wrap(err, fault.NotRun).WithRan(fault.NotRun)
	}
	if err != nil {
		reservation = nil
	}
	return reservation, nil
}

// tokenWait is the wait of a queued request for its organisation's tokens.
type tokenWait struct {
	task   *task
	cancel context.CancelFunc
}

// queueForTokens returns a scheduled request to the queue until there are
// tokens for it.
func (server *Server) queueForTokens(ctx context.Context, task *task) {
	server.requeue(task)
	if ctx.Err() != nil {
		return
	}
	until, ok := ctx.Deadline()
	if !ok {
		until = server.deadline(task)
	}
	server.queue.Block(task.organisation, until)
	if server.tokenWaits[task.organisation] != nil {
		return
	}
	server.count("token-waits")
	ctx, cancel := context.WithDeadline(ctx, until)
	server.tokenWaits[task.organisation] = &tokenWait{task: task, cancel: cancel}
	go server.reserveQueued(ctx, task)
}

// reserveQueued reserves the tokens of one queued request. Other requests of
// its organisation wait behind it.
func (server *Server) reserveQueued(ctx context.Context, task *task) {
	reservation, err := server.config.Limiter.Reserve(ctx, task.organisation, task.cost)
	server.mu.Lock()
	defer server.mu.Unlock()
	ended := ctx.Err()
	server.tokenWaits[task.organisation].cancel()
	delete(server.tokenWaits, task.organisation)
	// Requests of the organisation may be scheduled again, one at a time.
	server.queue.Block(task.organisation, time.Now())
	switch {
	case err == nil && task.entry.Queued():
		task.reservation = reservation
	case err == nil:
		reservation.Settle(0)
	case ended == nil:
		server.refuseQueued(task, fault.Wrap(err, fault.NotRun).WithRan(fault.NotRun))
	}
	server.schedule()
}

// preemptTokenWait ends the token wait of a low-priority request when a
// high-priority one of the same organisation arrives, which gets the tokens
// first.
func (server *Server) preemptTokenWait(task *task) {
	tokenWait := server.tokenWaits[task.organisation]
	now := time.Now()
	if tokenWait != nil && task.entry.HighPriority(now) && !tokenWait.task.entry.HighPriority(now) {
		tokenWait.cancel()
	}
}
