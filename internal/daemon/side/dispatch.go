package side

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/dedup"
)

// dispatch reserves tokens for a scheduled request and marks it as dispatched
// if all checks still hold. It returns false without a fault when the request
// waits in the queue again.
func (server *Server) dispatch(ctx context.Context, task *task) (bool, *fault.Fault) {
	if refusal := server.checkBeforeReserve(task); refusal != nil {
		return false, refusal
	}
	reservation, err := task.reservation, error(nil)
	if reservation == nil {
		reservation, err = server.reserve(ctx, task)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	defer server.schedule()
	switch {
	case err != nil:
		server.unschedule(task)
		return false, fault.Wrap(err, fault.NotRun)
	case reservation == nil:
		server.queueForTokens(ctx, task)
		return false, nil
	case task.reservation == nil:
		server.queue.Unblock(task.organisation)
		task.reservation = reservation
	}
	return server.tryDispatch(task)
}

// tryDispatch runs all checks once more, since the reservation may have taken a
// while, and marks the attempt as dispatched under the same lock.
func (server *Server) tryDispatch(task *task) (bool, *fault.Fault) {
	if refusal := server.checkDispatch(task); refusal != nil {
		server.unschedule(task)
		return false, refusal
	}
	if server.outdated(task) || !task.reservation.Commit() {
		server.refund(task)
		server.requeue(task)
		return false, nil
	}
	if !server.attempts.Dispatch(time.Now(), task.attempt, task.runLimit()) {
		server.unschedule(task)
		return false, fault.New(fault.OutcomeUnknown, fault.RunUnknown, "the request was dispatched before; query its outcome by its id")
	}
	server.markDispatched(task)
	return true, nil
}

// outdated reports whether the engine restarted since the request was
// scheduled, or requests of another half still run.
func (server *Server) outdated(task *task) bool {
	return !task.plain && task.generation != server.engine.generation || server.halfChanging()
}

// requeue returns a scheduled request to the queue. It gives up its running
// slot and the pin on its adapter meanwhile.
func (server *Server) requeue(task *task) {
	server.unschedule(task)
	server.queue.Requeue(task.entry)
}

// checkBeforeReserve runs the checks before tokens are reserved, so that a
// request that will be refused takes none.
func (server *Server) checkBeforeReserve(task *task) *fault.Fault {
	server.mu.Lock()
	defer server.mu.Unlock()
	refusal := server.checkDispatch(task)
	if refusal != nil {
		server.unschedule(task)
		server.schedule()
	}
	return refusal
}

// markDispatched records that a request is being sent to the upstream.
func (server *Server) markDispatched(task *task) {
	organisation, _ := server.current().Organisation(task.organisation)
	task.half, task.dispatched = organisation.Half, true
	server.reserving[task.organisation]--
	task.queueWait = time.Since(task.arrived)
	server.count("dispatched")
	server.logPlacement("dispatched request", task, zap.String("upstream", server.config.UpstreamID),
		zap.String("reason", "next in fair order"), zap.Duration("waited", task.queueWait),
		zap.Duration("load-wait", task.loadWait), zap.Int("queued", server.queue.Len()))
}

// runEnd is how a dispatched request ended.
type runEnd struct {
	ran    fault.Execution
	status uint32
	// confirmed says that the upstream reported the end.
	confirmed bool
}

// finishTask ends a dispatched request. Unless the upstream confirmed the end,
// the adapter stays pinned until the engine's state shows that the request has
// ended.
func (server *Server) finishTask(task *task, end runEnd) {
	server.mu.Lock()
	defer server.mu.Unlock()
	now := time.Now()
	server.attempts.End(now, task.attempt, end.ran, end.status)
	delete(server.running, task)
	server.recentEnds = append(server.recentEnds, now)
	task.scheduled = false
	if task.plain || end.confirmed {
		server.unpin(task)
	} else {
		server.unconfirmed = append(server.unconfirmed, unconfirmedEnd{
			requestID: task.attempt.RequestID, ref: task.ref, generation: task.generation, endedAt: now,
		})
	}
	server.schedule()
}

// lookup returns the record of a request's attempts.
func (server *Server) lookup(requestID string) (dedup.AttemptRecord, bool) {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.attempts.Lookup(requestID)
}
