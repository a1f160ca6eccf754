package entry

import (
	"context"
	"errors"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// cancelTime bounds a Cancel call. It outlives the request that it belongs to.
const cancelTime = 2 * time.Second

// settle finds out what became of an attempt that did not finish.
func (attempt *attempt) settle(ctx context.Context, end result) result {
	request := attempt.job.exchange.request
	switch {
	case end.outcome == finished, end.outcome == refused:
		return end
	case end.outcome == gone, request.Context().Err() != nil:
		attempt.drop("callers-gone")
		attempt.cancelLater()
		return attempt.goneResult()
	case end.outcome == failed:
		return end
	case attempt.job.idempotent():
		if !attempt.resumesHere(end) {
			attempt.cancelLater()
		}
	default:
		end = attempt.resolve(end)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && end.fault.Kind() != fault.OutcomeUnknown {
		end.fault = fault.New(fault.DeadlineExceeded, end.fault.Ran(), "the request took longer than the limit of this instance; ask for less or come back later")
	}
	return end
}

// resumesHere reports whether the broken answer may still be resumed at this
// upstream, so that its work must not be cancelled.
func (attempt *attempt) resumesHere(end result) bool {
	sink := attempt.job.sink
	return end.outcome == broken && !end.silent && sink.committed() && sink.resumable() && attempt.from < attempt.job.next
}

// cancelLater cancels the attempt without keeping the caller waiting.
func (attempt *attempt) cancelLater() {
	entry := attempt.entry()
	request := attempt.cancelRequest()
	entry.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTime)
		defer cancel()
		if _, err := entry.askCancel(ctx, attempt.address, request); err != nil {
			entry.config.Counters.Add("cancels-lost", 1)
		}
	})
}

func (attempt *attempt) cancelRequest() *wirepb.CancelRequest {
	return &wirepb.CancelRequest{RequestId: attempt.job.exchange.id, Attempt: attempt.number, Incarnation: attempt.incarnation}
}

// resolve asks whether work that may not run twice has run. Only the
// incarnation that the attempt was sent to can say that it has not: it alone
// keeps the tombstone that stops a late arrival.
func (attempt *attempt) resolve(end result) result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(attempt.job.exchange.request.Context()), cancelTime)
	defer cancel()
	answer, err := attempt.entry().askCancel(ctx, attempt.address, attempt.cancelRequest())
	same := err == nil && attempt.incarnation != 0 && answer.GetIncarnation() == attempt.incarnation
	switch {
	case same && answer.GetRan() == wirepb.Ran_RAN_NOT_RUN:
		end.outcome, end.fault, end.elsewhere = refused, end.fault.WithRan(fault.NotRun), true
		return end
	case same && answer.GetRan() == wirepb.Ran_RAN_RAN:
		end.fault = attempt.lost(fault.DidRun, "the request ran, but its answer was lost")
	default:
		end.fault = attempt.lost(fault.RunUnknown, "the answer was lost and the request may have run")
	}
	end.elsewhere = false
	return end
}

func (attempt *attempt) lost(ran fault.Execution, text string) *fault.Fault {
	attempt.drop("outcomes-unknown")
	return fault.New(fault.OutcomeUnknown, ran, "%s; GET /v1/requests/%s tells what is known", text, attempt.job.exchange.id)
}

// learnIncarnation asks the side process who it is, by cancelling attempt 0,
// which no request ever uses.
func (attempt *attempt) learnIncarnation(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTime)
	defer cancel()
	answer, err := attempt.entry().askCancel(ctx, attempt.address, &wirepb.CancelRequest{RequestId: attempt.job.exchange.id})
	if err != nil {
		return false
	}
	attempt.incarnation = answer.GetIncarnation()
	return attempt.incarnation != 0
}
