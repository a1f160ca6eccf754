package relay

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// acceptAfterStop is how long a stopping instance accepts connections from callers
	// that have not learned of the stop yet.
	acceptAfterStop = 2500 * time.Millisecond
	// acceptShare is the part of Bounds.GracePeriod that acceptAfterStop takes at most.
	acceptShare = 3
	// maxStopMargin is how long before the end of Bounds.GracePeriod a stop must be
	// complete, and maxAnswerMargin how long before that all requests must be answered.
	// stopShare and answerShare are the parts of the grace period that they take at most:
	// together a sixth.
	maxStopMargin   = 500 * time.Millisecond
	maxAnswerMargin = 200 * time.Millisecond
	stopShare       = 8
	answerShare     = 24
	// stopCheckInterval is the time between two checks whether a deadline of a stop has
	// come, which an earlier end of the grace period brings forward.
	stopCheckInterval = 20 * time.Millisecond
	// workMarginDivisor divides the longest recent work of a route. The quotient is added
	// to it for what a request may take.
	workMarginDivisor = 4
	// retryAfterStopping is sent with refusals of an instance that stops: others serve.
	retryAfterStopping = 50 * time.Millisecond
)

// errStopping is the cause with which requests are cancelled that are not answered when
// the instance must stop.
var errStopping = errors.New("the instance stops")

// plannedStop is the planned stop of an instance.
type plannedStop struct {
	// begun is nil until a stop begins.
	begun atomic.Pointer[stopBegin]
	// answering ends when all requests must be answered.
	answering    context.Context
	endAnswering context.CancelFunc
}

func newPlannedStop() *plannedStop {
	answering, end := context.WithCancel(context.Background())
	return &plannedStop{answering: answering, endAnswering: end}
}

// stopBegin is when a stop began, and the grace period at that time.
type stopBegin struct {
	at    time.Time
	grace time.Duration
}

// stopping reports whether a planned stop has begun.
func (relay *Relay) stopping() bool { return relay.stop.begun.Load() != nil }

// stopDeadline returns when the stop must be complete. A grace period that was shortened
// since brings it forward; a longer one counts from the next stop on.
func (relay *Relay) stopDeadline() time.Time {
	grace := relay.stopGrace()
	return relay.stop.begun.Load().at.Add(grace - min(maxStopMargin, grace/stopShare))
}

// stopGrace returns the grace period of the running stop.
func (relay *Relay) stopGrace() time.Duration {
	return min(relay.stop.begun.Load().grace, relay.bounds.Load().GracePeriod.Duration)
}

// answerDeadline returns when all requests must be answered.
func (relay *Relay) answerDeadline() time.Time {
	return relay.stopDeadline().Add(-min(maxAnswerMargin, relay.stopGrace()/answerShare))
}

// drain fails the readiness probe, serves callers that have not noticed it yet,
// and waits for running requests. Connections close after their next response:
// closing idle connections at once would drop requests that are on their way.
func (relay *Relay) drain() {
	grace := relay.bounds.Load().GracePeriod.Duration
	relay.stop.begun.Store(&stopBegin{at: time.Now(), grace: grace})
	relay.config.Logger.Info("relay: stopping", zap.Int64("running", relay.metrics.running.Load()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer cancel()
		waitUntil(relay.answerDeadline)
		relay.stop.endAnswering()
		waitUntil(relay.stopDeadline)
	}()
	time.Sleep(acceptTime(grace))
	relay.idleConnections.drain(ctx)
	if err := relay.callerServer.Shutdown(ctx); err != nil {
		relay.config.Logger.Warn("relay: requests aborted at the end of the grace period", zap.Int64("running", relay.metrics.running.Load()))
	}
}

// acceptTime returns how long after the begin of a stop connections are accepted.
func acceptTime(grace time.Duration) time.Duration { return min(acceptAfterStop, grace/acceptShare) }

// waitUntil waits until a time that may be brought forward.
func waitUntil(deadline func() time.Time) {
	for {
		remaining := time.Until(deadline())
		if remaining <= 0 {
			return
		}
		time.Sleep(min(remaining, stopCheckInterval))
	}
}

// withStop returns a context that is cancelled when all requests of a stopping instance
// must be answered.
func (relay *Relay) withStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	forget := context.AfterFunc(relay.stop.answering, func() { cancel(errStopping) })
	return ctx, func() {
		forget()
		cancel(nil)
	}
}

// stopRefusal returns the refusal of a request that a stopping instance cannot pass on
// any more, since its upstream may not answer before the stop, or nil.
func (proxyRequest *proxyRequest) stopRefusal() *refusal {
	relay := proxyRequest.relay
	if !relay.stopping() || time.Until(relay.answerDeadline()) >= proxyRequest.expectedWork() {
		return nil
	}
	return &refusal{http.StatusServiceUnavailable, "the instance stops before the request could be answered", retryAfterStopping}
}

// expectedWork returns how long the request may take at an upstream. For one that was read
// while the instance still accepted connections, that is the typical time of its route:
// all instances may be stopping, and a refusal helps only if others serve. Later ones must
// fit for certain, so they count with somewhat more than the longest recent time, or if
// none is known, with the time until their deadline.
func (proxyRequest *proxyRequest) expectedWork() time.Duration {
	relay := proxyRequest.relay
	begin := relay.stop.begun.Load()
	if proxyRequest.readAt.Sub(begin.at) < acceptTime(begin.grace) {
		return proxyRequest.typicalTotal - proxyRequest.streamed()
	}
	remaining := time.Until(proxyRequest.deadline)
	longest := relay.latencies.longest(proxyRequest.route.Name)
	if longest == 0 {
		return remaining
	}
	return min(longest+longest/workMarginDivisor-proxyRequest.streamed(), remaining)
}

// streamed returns for how long the request's stream has been forwarded.
func (proxyRequest *proxyRequest) streamed() time.Duration {
	if !proxyRequest.headersSent {
		return 0
	}
	return time.Since(proxyRequest.started) - proxyRequest.firstEvent
}
