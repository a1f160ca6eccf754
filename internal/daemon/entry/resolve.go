package entry

import (
	"context"
	"errors"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// cancelTimeout bounds a Cancel call, which may outlive its request.
const cancelTimeout = 2 * time.Second

// resolve determines what became of an attempt that did not finish, and cancels
// the attempt where its work may still run.
func (attempt *attempt) resolve(ctx context.Context, result result) result {
	request := attempt.job.exchange.request
	switch {
	case result.outcome == finished, result.outcome == refused:
		return result
	case result.outcome == callerGone, request.Context().Err() != nil:
		attempt.count("callers-gone")
		attempt.cancelInBackground()
		return attempt.callerGoneResult()
	case result.outcome == failed:
		return result
	case attempt.job.idempotent():
		if !attempt.mayResumeHere(result) {
			attempt.cancelInBackground()
		}
	default:
		result = attempt.cancelAndQuery(result)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && result.fault.Kind() != fault.OutcomeUnknown {
		result.fault = fault.New(fault.DeadlineExceeded, result.fault.Ran(), "the request took longer than the limit of this instance; ask for less or come back later")
	}
	return result
}

// mayResumeHere reports whether the interrupted response may still be resumed at
// this upstream, so that its work must not be cancelled.
func (attempt *attempt) mayResumeHere(result result) bool {
	sink := attempt.job.sink
	return result.outcome == interrupted && !result.unresponsive && sink.committed() && sink.resumable() && attempt.resumeFrom < attempt.job.nextToken
}

// cancelInBackground cancels the attempt without keeping the caller waiting.
func (attempt *attempt) cancelInBackground() {
	entry := attempt.entry()
	request := attempt.cancelRequest()
	entry.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if _, err := entry.callCancel(ctx, attempt.address, request); err != nil {
			entry.config.Counters.Add("cancels-lost", 1)
		}
	})
}

func (attempt *attempt) cancelRequest() *wirepb.CancelRequest {
	return &wirepb.CancelRequest{RequestId: attempt.job.exchange.id, Attempt: attempt.number, Incarnation: attempt.incarnation}
}

// cancelAndQuery cancels an attempt that may not run twice and asks whether it
// has run. Only the incarnation that the attempt was sent to can say that it has
// not, because only its tombstone refuses a request that arrives after the
// cancellation.
func (attempt *attempt) cancelAndQuery(result result) result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(attempt.job.exchange.request.Context()), cancelTimeout)
	defer cancel()
	response, err := attempt.entry().callCancel(ctx, attempt.address, attempt.cancelRequest())
	sameIncarnation := err == nil && attempt.incarnation != 0 && response.GetIncarnation() == attempt.incarnation
	switch {
	case sameIncarnation && response.GetRan() == wirepb.Ran_RAN_NOT_RUN:
		result.outcome, result.fault, result.tryElsewhere = refused, result.fault.WithRan(fault.NotRun), true
		return result
	case sameIncarnation && response.GetRan() == wirepb.Ran_RAN_RAN:
		result.fault = attempt.outcomeUnknown(fault.DidRun, "the request ran, but its answer was lost")
	default:
		result.fault = attempt.outcomeUnknown(fault.RunUnknown, "the answer was lost and the request may have run")
	}
	result.tryElsewhere = false
	return result
}

func (attempt *attempt) outcomeUnknown(ran fault.Execution, text string) *fault.Fault {
	attempt.count("outcomes-unknown")
	return fault.New(fault.OutcomeUnknown, ran, "%s; GET /v1/requests/%s tells what is known", text, attempt.job.exchange.id)
}

// queryIncarnation asks the side process for its incarnation by cancelling
// attempt 0, which no request uses. It reports whether the incarnation is known
// now.
func (attempt *attempt) queryIncarnation(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	response, err := attempt.entry().callCancel(ctx, attempt.address, &wirepb.CancelRequest{RequestId: attempt.job.exchange.id})
	if err != nil {
		return false
	}
	attempt.incarnation = response.GetIncarnation()
	return attempt.incarnation != 0
}
