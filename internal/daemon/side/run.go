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
	responder := &responder{server: server, request: request, stream: stream}
	task, refusal := server.acceptRequest(ctx, request)
	if refusal != nil {
		return responder.refuse(refusal)
	}
	defer server.closeTask(task)
	if task.keyed() {
		return server.runKeyed(ctx, task, responder)
	}
	return server.runTask(ctx, task, responder)
}

// acceptRequest checks a request on arrival and registers its attempt.
func (server *Server) acceptRequest(ctx context.Context, request *wirepb.RunRequest) (*task, *fault.Fault) {
	if request.GetRequestId() == "" || min(request.GetPromptTokens(), request.GetMaxTokens(), request.GetResumeFrom()) < 0 {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "the request has no id or a negative count of tokens; correct it")
	}
	if refusal := server.awaitConfig(ctx, request); refusal != nil {
		return nil, refusal
	}
	route, ok := server.current().Route(request.GetRoute())
	if !ok {
		return nil, fault.New(fault.UnknownRoute, fault.NotRun, "the route %q does not exist; list the routes", request.GetRoute())
	}
	task := server.newTask(request, route)
	server.mu.Lock()
	defer server.mu.Unlock()
	incarnation := request.GetIncarnation()
	if incarnation != 0 && incarnation != server.config.Incarnation {
		return nil, fault.New(fault.NoUpstream, fault.NotRun, "the side process was started anew; send the request again")
	}
	if refusal := server.checkDispatch(task); refusal != nil {
		return nil, refusal
	}
	if refusal := server.registerAttempt(task); refusal != nil {
		return nil, refusal
	}
	server.inFlight++
	return task, nil
}

// registerAttempt registers an attempt unless it must not run.
func (server *Server) registerAttempt(task *task) *fault.Fault {
	now := time.Now()
	if !task.idempotent && server.attempts.Full(now) {
		return fault.New(fault.Overloaded, fault.NotRun,
			"too many recent requests are remembered; come back after the time in retry-after").WithRetryAfter(time.Second)
	}
	switch server.attempts.Register(task.attempt, task.organisation, task.runLimit()) {
	case dedup.Tombstoned:
		return fault.New(fault.Cancelled, fault.NotRun, "the attempt was cancelled; send the request anew")
	case dedup.Duplicate, dedup.AlreadyRan:
		return fault.New(fault.OutcomeUnknown, fault.RunUnknown, "the request was dispatched before; query its outcome by its id")
	case dedup.Accepted:
	}
	return nil
}

// awaitConfig waits until this process has the configuration version with which
// the entry instance accepted the request.
func (server *Server) awaitConfig(ctx context.Context, request *wirepb.RunRequest) *fault.Fault {
	version := request.GetConfigVersion()
	if server.current().Version() >= version {
		return nil
	}
	server.config.ConfigSource.ObserveVersion(version)
	timer := time.NewTimer(shorter(maxConfigWait, time.Duration(request.GetWaitBudgetUs())*time.Microsecond))
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
			return errCallerLeftQueue()
		}
	}
}

func errCallerLeftQueue() *fault.Fault {
	return fault.New(fault.Cancelled, fault.NotRun, "the caller went away while the request waited")
}

// runTask queues a request, waits until it is dispatched and relays the
// response.
func (server *Server) runTask(ctx context.Context, task *task, responder *responder) error {
	if refusal := server.enqueue(task); refusal != nil {
		return server.refuseTask(task, responder, refusal)
	}
	if refusal := server.awaitDispatch(ctx, task); refusal != nil {
		return server.refuseTask(task, responder, refusal)
	}
	ctx, cancel := server.runContext(ctx, task)
	defer cancel()
	if task.plain {
		return server.runPlain(ctx, task, responder)
	}
	return server.runModel(ctx, task, responder)
}

// runContext bounds the time of a run. A run with an idempotency key continues
// when its caller disconnects, so that a repeated request gets the response.
func (server *Server) runContext(ctx context.Context, task *task) (context.Context, context.CancelFunc) {
	if task.keyed() {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, server.deadline(task))
}

// deadline returns the time at which the request's time budget or the request
// timeout ends.
func (server *Server) deadline(task *task) time.Time {
	budget := time.Duration(task.request.GetTimeBudgetUs()) * time.Microsecond
	return task.arrived.Add(shorter(budget, server.config.RequestTimeout))
}

// enqueue admits a request to the queue or refuses it.
func (server *Server) enqueue(task *task) *fault.Fault {
	server.mu.Lock()
	defer server.mu.Unlock()
	if refusal := server.checkAdmission(task); refusal != nil {
		return refusal
	}
	server.count("admitted")
	server.queue.Push(task.entry)
	server.preemptTokenWait(task)
	server.schedule()
	return nil
}

// checkAdmission returns why a request is refused on arrival, or nil.
func (server *Server) checkAdmission(task *task) *fault.Fault {
	now := time.Now()
	if refusal := server.checkDispatch(task); refusal != nil {
		return refusal
	}
	if retryAfter, failed := server.table.RejectFor(now, task.ref); failed && !task.plain {
		return errLoadFailed(task).WithRetryAfter(retryAfter)
	}
	return server.queue.CheckAdmission(now, task.entry, server.rateLimit(task.organisation))
}

// rateLimit returns the rate limit by which admission estimates the
// organisation's wait.
func (server *Server) rateLimit(name string) fairq.RateLimit {
	if server.config.FirstComeFirstServed {
		return fairq.RateLimit{}
	}
	organisation, _ := server.current().Organisation(name)
	limit := fairq.RateLimit{Rate: organisation.Rate, Burst: organisation.Burst}
	if estimator, ok := server.config.Limiter.(WaitEstimator); ok {
		limit.EstimateWait = func(tokens conf.Tokens) time.Duration { return estimator.EstimateWait(name, tokens) }
	}
	return limit
}

// awaitDispatch waits until the request is dispatched. When its longest wait is
// over or its caller disconnects, the request leaves the queue at once.
func (server *Server) awaitDispatch(ctx context.Context, task *task) *fault.Fault {
	waitCtx, cancel := ctx, context.CancelFunc(func() {})
	if task.maxWait > 0 {
		waitCtx, cancel = context.WithDeadline(ctx, task.arrived.Add(task.maxWait))
	}
	defer cancel()
	for {
		select {
		case refusal := <-task.decision:
			if refusal != nil {
				return refusal
			}
		case <-waitCtx.Done():
		}
		if waitCtx.Err() != nil {
			return server.withdraw(task, errWaitEnded(ctx, task))
		}
		if sent, refusal := server.dispatch(waitCtx, task); sent || refusal != nil {
			return refusal
		}
	}
}

// errWaitEnded returns why a request no longer waits.
func errWaitEnded(ctx context.Context, task *task) *fault.Fault {
	if ctx.Err() != nil {
		return errCallerLeftQueue()
	}
	return fault.New(fault.WaitExceeded, fault.NotRun,
		"the request waited for its longest wait of %v; come back after the time in retry-after", task.maxWait).
		WithRetryAfter(time.Second)
}

// withdraw removes a request that was not dispatched from the queue, or frees
// its running slot.
func (server *Server) withdraw(task *task, reason *fault.Fault) *fault.Fault {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.queue.Remove(task.entry)
	server.unschedule(task)
	server.schedule()
	return reason
}

// refuseTask records that a request was not sent to the upstream, and refuses
// it.
func (server *Server) refuseTask(task *task, responder *responder, refusal *fault.Fault) error {
	server.mu.Lock()
	server.attempts.End(time.Now(), task.attempt, refusal.Ran(), uint32(refusal.Status()))
	server.mu.Unlock()
	return responder.refuse(refusal)
}

// closeTask ends the handling of a request: it returns tokens that were not
// dispatched, and wakes Drain after the last request.
func (server *Server) closeTask(task *task) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.attempts.End(time.Now(), task.attempt, fault.NotRun, 0)
	server.refund(task)
	server.inFlight--
	if server.inFlight == 0 {
		select {
		case server.idle <- struct{}{}:
		default:
		}
	}
}
