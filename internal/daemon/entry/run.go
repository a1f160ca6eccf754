package entry

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// maxHandbacks bounds how often one request may be handed back by side processes
// that are draining or change halves. Handbacks cost the upstreams nothing, and a
// planned stop causes many at once, so they do not count against the retry
// budget.
const maxHandbacks = 8

// serve runs the job within the request timeout and responds to the caller.
func (job *job) serve() *fault.Fault {
	exchange := job.exchange
	if refusal := job.admit(); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadline(exchange.request.Context(), exchange.entry.answerLimit(exchange.arrived))
	defer cancel()
	exchange.entry.config.RetryBudget.RecordRequest()
	err := job.run(ctx)
	if err == nil {
		return nil
	}
	if job.mayHaveRun && err.Ran() == fault.NotRun {
		err = err.WithRan(fault.RunUnknown)
	}
	if job.sink.committed() && job.sink.fail(err) {
		exchange.entry.config.Counters.Add("streams-ended-by-error", 1)
		return nil
	}
	return err
}

// admit takes the tokens that the work may use from the organisation's rate.
func (job *job) admit() *fault.Fault {
	config := &job.exchange.entry.config
	tokens := conf.Tokens(job.template.GetPromptTokens() + job.template.GetMaxTokens())
	retryAfter, ok := config.Admission.Admit(time.Now(), config.InstanceSource.CountEntries(), job.exchange.organisation, tokens)
	if ok {
		return nil
	}
	return fault.New(fault.RateExceeded, fault.NotRun,
		"the organisation's part of its rate at this instance is used up; come back after the time in retry-after").WithRetryAfter(retryAfter)
}

// run makes attempts until one finishes or no other is allowed.
func (job *job) run(ctx context.Context) *fault.Fault {
	var last *fault.Fault
	for number := uint32(1); ; number++ {
		attempt, err := job.nextAttempt(number)
		if err != nil {
			return firstFault(last, err)
		}
		result := job.runAttempt(ctx, attempt)
		if result.outcome == finished {
			return nil
		}
		last = result.fault
		job.mayHaveRun = job.mayHaveRun || last.Ran() != fault.NotRun
		if !job.mayRetry(ctx, result) || !job.backOff(ctx, result) {
			return last
		}
		job.prepareRetry(attempt, result)
	}
}

func firstFault(last, err *fault.Fault) *fault.Fault {
	if last != nil {
		return last
	}
	return err
}

// runAttempt makes one attempt and, if it did not finish, determines whether it
// ran.
func (job *job) runAttempt(ctx context.Context, attempt *attempt) result {
	defer job.service.policy.RequestEnded(attempt.upstream)
	if !job.idempotent() && attempt.incarnation == 0 && !attempt.queryIncarnation(ctx) {
		job.service.health.RecordFailure(attempt.upstream)
		return attempt.unreachableResult()
	}
	result := attempt.run(ctx)
	switch {
	case result.outcome == finished:
		job.service.health.RecordSuccess(attempt.upstream)
	case result.unhealthy && ctx.Err() == nil:
		job.service.health.RecordFailure(attempt.upstream)
	}
	return attempt.resolve(ctx, result)
}

// mayRetry reports whether another attempt is allowed and may succeed.
func (job *job) mayRetry(ctx context.Context, result result) bool {
	limits := job.exchange.entry.config.Limits
	switch {
	case ctx.Err() != nil, !result.tryElsewhere:
		return false
	case job.sink.committed() && (!job.sink.resumable() || !job.idempotent()):
		return false
	case !job.idempotent() && result.fault.Ran() != fault.NotRun:
		return false
	case !job.sink.committed() && job.remainingWait() <= 0:
		return false
	case handedBack(result):
		return job.handbacks < maxHandbacks
	}
	return job.retries+1 < limits.MaxAttempts
}

func handedBack(result result) bool {
	if result.outcome != refused {
		return false
	}
	kind := result.fault.Kind()
	return kind == fault.Draining || kind == fault.WrongHalf
}

// backOff takes a retry from the budget and waits for its backoff. It reports
// false when the budget is empty or the backoff would exceed the deadline. A
// handback takes no retry and waits for nothing.
func (job *job) backOff(ctx context.Context, result result) bool {
	config := &job.exchange.entry.config
	if handedBack(result) {
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

// prepareRetry prepares the job for the next attempt.
func (job *job) prepareRetry(attempt *attempt, result result) {
	job.tried = append(job.tried, attempt.upstream)
	job.rendezvousRank++
	job.resumeUpstream = ""
	if !job.sink.committed() {
		job.sink.reset()
		job.nextToken = 0
		return
	}
	if result.outcome == interrupted && !result.unresponsive && attempt.resumeFrom < job.nextToken {
		job.resumeUpstream = attempt.upstream
	}
	job.exchange.entry.config.Counters.Add("resumes", 1)
}
