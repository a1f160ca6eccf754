package entry

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// maxHandbacks bounds how often one request is handed back by side processes
// that leave or change halves. These moves cost the upstreams nothing, so they
// are outside the retry budget; a planned stop hands back many at once.
const maxHandbacks = 8

// serve runs the job within the request limit and answers the caller.
func (job *job) serve() *fault.Fault {
	exchange := job.exchange
	if refusal := job.admit(); refusal != nil {
		return refusal
	}
	limit := exchange.arrived.Add(exchange.entry.config.Limits.RequestTimeout)
	ctx, cancel := context.WithDeadline(exchange.request.Context(), limit)
	defer cancel()
	exchange.entry.config.RetryBudget.RecordRequest()
	err := job.run(ctx)
	if err == nil {
		return nil
	}
	if job.doubtful && err.Ran() == fault.NotRun {
		err = err.WithRan(fault.RunUnknown)
	}
	if job.sink.committed() && job.sink.fail(err) {
		exchange.entry.config.Counters.Add("streams-ended-by-error", 1)
		return nil
	}
	return err
}

// admit asks the Admission for the tokens that the work may use.
func (job *job) admit() *fault.Fault {
	config := &job.exchange.entry.config
	tokens := conf.Tokens(job.template.GetPromptTokens() + job.template.GetMaxTokens())
	after, ok := config.Admission.Admit(time.Now(), config.InstanceSource.CountEntries(), job.exchange.organisation, tokens)
	if ok {
		return nil
	}
	return fault.New(fault.RateExceeded, fault.NotRun,
		"the organisation's part of its rate at this instance is used up; come back after the time in retry-after").WithRetryAfter(after)
}

// run makes attempts until one finishes or none is left.
func (job *job) run(ctx context.Context) *fault.Fault {
	var last *fault.Fault
	for number := uint32(1); ; number++ {
		attempt, err := job.nextAttempt(number)
		if err != nil {
			return firstFault(last, err)
		}
		end := job.try(ctx, attempt)
		if end.outcome == finished {
			return nil
		}
		last = end.fault
		job.doubtful = job.doubtful || last.Ran() != fault.NotRun
		if !job.mayContinue(ctx, end) || !job.pause(ctx, end) {
			return last
		}
		job.prepare(attempt, end)
	}
}

func firstFault(last, err *fault.Fault) *fault.Fault {
	if last != nil {
		return last
	}
	return err
}

// try makes one attempt and settles what is known of its effect.
func (job *job) try(ctx context.Context, attempt *attempt) result {
	defer job.service.policy.RequestEnded(attempt.upstream)
	if !job.idempotent() && attempt.incarnation == 0 && !attempt.learnIncarnation(ctx) {
		job.service.health.RecordFailure(attempt.upstream)
		return attempt.unreachableResult()
	}
	end := attempt.run(ctx)
	switch {
	case end.outcome == finished:
		job.service.health.RecordSuccess(attempt.upstream)
	case end.unhealthy && ctx.Err() == nil:
		job.service.health.RecordFailure(attempt.upstream)
	}
	return attempt.settle(ctx, end)
}

// mayContinue reports whether another attempt is allowed and useful.
func (job *job) mayContinue(ctx context.Context, end result) bool {
	limits := job.exchange.entry.config.Limits
	switch {
	case ctx.Err() != nil, !end.elsewhere:
		return false
	case job.sink.committed() && (!job.sink.resumable() || !job.idempotent()):
		return false
	case !job.idempotent() && end.fault.Ran() != fault.NotRun:
		return false
	case !job.sink.committed() && job.waitLeft() <= 0:
		return false
	case handedBack(end):
		return job.handbacks < maxHandbacks
	}
	return job.retries+1 < limits.MaxAttempts
}

func handedBack(end result) bool {
	if end.outcome != refused {
		return false
	}
	kind := end.fault.Kind()
	return kind == fault.Draining || kind == fault.WrongHalf
}

// pause takes the retry from the budget and waits for the backoff. It reports
// false when the budget is empty or the deadline too near.
func (job *job) pause(ctx context.Context, end result) bool {
	config := &job.exchange.entry.config
	if handedBack(end) {
		job.handbacks++
		config.Counters.Add("handbacks", 1)
		return true
	}
	if !config.RetryBudget.Allow() {
		config.Counters.Add("retries-denied", 1)
		return false
	}
	job.retries++
	config.Counters.Add("retries", 1)
	backoff := config.RetryBudget.Backoff(job.retries)
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= backoff {
		return false
	}
	select {
	case <-time.After(backoff):
		return true
	case <-ctx.Done():
		return false
	}
}

// prepare sets the job up for the next attempt.
func (job *job) prepare(attempt *attempt, end result) {
	job.tried = append(job.tried, attempt.upstream)
	job.rank++
	job.resumeAt = ""
	if !job.sink.committed() {
		job.sink.reset()
		job.next = 0
		return
	}
	if end.outcome == broken && !end.silent && attempt.from < job.next {
		job.resumeAt = attempt.upstream
	}
	job.exchange.entry.config.Counters.Add("resumes", 1)
}
