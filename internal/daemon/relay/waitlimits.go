package relay

import (
	"context"
	"net/http"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/picker"
)

const (
	// admissionWaitDivisor divides a route's response-time goal. The quotient is how
	// long a request waits for a usable upstream, or for its organisation's token
	// bucket, before it is refused.
	admissionWaitDivisor = 8
	// permitWaitDivisor divides the remaining time of a request. The quotient is the
	// longest expected wait for a permit with which the request waits for one.
	permitWaitDivisor = 2
	// maxPermitRetryAfter limits the time after which a caller is told to retry when
	// rate limits are used up.
	maxPermitRetryAfter = time.Minute
	// refusalMargin is how long before a caller gives up a refusal is sent.
	refusalMargin = 100 * time.Millisecond
)

// setTypicalLatencies sets the route's typical latencies, each limited to half of
// the caller's timeout. Thanks to the limit, requests are sent even after long
// latencies were recorded, and newer latencies can replace them.
func (proxyRequest *proxyRequest) setTypicalLatencies() {
	firstEvent, total := proxyRequest.relay.latencies.typical(proxyRequest.route.Name)
	timeout := proxyRequest.deadline.Sub(proxyRequest.started)
	proxyRequest.typicalFirstEvent = min(firstEvent, timeout/2)
	if proxyRequest.route.CallerStreamTimeout > 0 {
		proxyRequest.typicalFirstEvent = min(proxyRequest.typicalFirstEvent, proxyRequest.route.CallerStreamTimeout/2)
	}
	proxyRequest.typicalTotal = min(total, timeout/2)
}

// latestSend returns when the request must be sent to meet its response-time
// goal, or zero if it has none. A request that continues a stream has none, since
// it goes before other requests.
func (proxyRequest *proxyRequest) latestSend() time.Time {
	if proxyRequest.resumes() || proxyRequest.route.ResponseGoal <= 0 {
		return time.Time{}
	}
	return proxyRequest.started.Add(proxyRequest.route.ResponseGoal - min(proxyRequest.typicalFirstEvent, proxyRequest.route.ResponseGoal/2))
}

// late reports whether the request misses its response-time goal.
func (proxyRequest *proxyRequest) late() bool {
	latest := proxyRequest.latestSend()
	return !latest.IsZero() && !time.Now().Before(latest)
}

// remainingWait returns how long the request may still wait and be answered before
// its caller gives up.
func (proxyRequest *proxyRequest) remainingWait() time.Duration {
	remaining := time.Until(proxyRequest.deadline) - proxyRequest.typicalTotal
	if proxyRequest.route.Streaming && proxyRequest.route.CallerStreamTimeout > 0 {
		remaining = min(remaining, time.Until(proxyRequest.started.Add(proxyRequest.route.CallerStreamTimeout))-proxyRequest.typicalFirstEvent-refusalMargin)
	}
	return remaining
}

// recordWait adds the time since the last check to the wait for the adapter, if
// the adapter is missing.
func (proxyRequest *proxyRequest) recordWait(choice picker.Choice) {
	now := time.Now()
	if !proxyRequest.checkedAt.IsZero() && choice.Result == picker.AdapterMissing {
		proxyRequest.waitedAdapter += now.Sub(proxyRequest.checkedAt)
	}
	proxyRequest.checkedAt = now
}

// waitRefusal returns the refusal of a request that has waited too long, or nil if
// it may go on waiting.
func (proxyRequest *proxyRequest) waitRefusal(ctx context.Context, choice picker.Choice, waited time.Duration) *refusal {
	if ctx.Err() != nil {
		return &refusal{http.StatusServiceUnavailable, "the time ran out before an upstream took the request", retryAfterFull}
	}
	switch {
	case choice.Result == picker.Evacuated:
		return evacuatedRefusal(maxRetryAfter)
	case choice.Result == picker.NoUpstream && choice.RetryAfter > proxyRequest.backoffLimit():
		// Another instance may serve the request sooner.
		return &refusal{http.StatusServiceUnavailable, "the upstreams take nothing for a time", min(choice.RetryAfter, maxRetryAfter)}
	case choice.Result == picker.RateLimited && !proxyRequest.mayAwaitPermit(choice.RetryAfter):
		return &refusal{http.StatusServiceUnavailable, "the upstreams' rate limits are used up", min(choice.RetryAfter, maxPermitRetryAfter)}
	case proxyRequest.headersSent:
		// The caller has a part of the response. A retry would not bring it the rest
		// sooner.
		return nil
	case choice.Result == picker.NoUpstream && waited > proxyRequest.route.ResponseGoal/admissionWaitDivisor:
		return &refusal{http.StatusServiceUnavailable, "no upstream is ready", retryAfterFull}
	case proxyRequest.service.Engine == nil && choice.Result == picker.Full && waited > proxyRequest.route.ResponseGoal/admissionWaitDivisor:
		return &refusal{http.StatusServiceUnavailable, "all upstreams are full", retryAfterFull}
	case proxyRequest.service.Engine != nil && proxyRequest.remainingWait() <= 0:
		return timeoutRefusal(choice)
	}
	return nil
}

// timeoutRefusal returns the refusal of a request that cannot be answered before
// its caller gives up.
func timeoutRefusal(choice picker.Choice) *refusal {
	switch choice.Result {
	case picker.Starting:
		return &refusal{http.StatusServiceUnavailable, "the engines are still loading their model", retryAfterStarting}
	case picker.AdapterMissing:
		return &refusal{http.StatusServiceUnavailable, "the adapter could not be loaded in time", retryAfterFull}
	case picker.Found:
		return &refusal{http.StatusServiceUnavailable, "the turn could not come in time", retryAfterFull}
	default:
		return &refusal{http.StatusServiceUnavailable, "all upstreams are full", retryAfterFull}
	}
}

// mayAwaitPermit reports whether the request may wait for a permit that is expected
// after a time. Once it waits, those that come later do not delay it, and it waits
// as long as it can be answered.
func (proxyRequest *proxyRequest) mayAwaitPermit(expected time.Duration) bool {
	remaining := proxyRequest.remainingWait()
	switch {
	case proxyRequest.headersSent:
		return expected <= time.Until(proxyRequest.deadline)
	case proxyRequest.awaitsPermit:
		return remaining > 0
	default:
		return expected <= remaining/permitWaitDivisor
	}
}

// joinPermitQueue makes the request wait for a permit in its turn.
func (proxyRequest *proxyRequest) joinPermitQueue(number uint64) {
	proxyRequest.awaitsPermit = true
	proxyRequest.relay.permits.queue.add(proxyRequest.service.Name, number, proxyRequest.headersSent)
}

// leavePermitQueue ends what joinPermitQueue began.
func (proxyRequest *proxyRequest) leavePermitQueue(number uint64) {
	if proxyRequest.awaitsPermit {
		proxyRequest.awaitsPermit = false
		proxyRequest.relay.permits.queue.remove(proxyRequest.service.Name, number)
	}
}

// backoffLimit returns how long the request may wait for an upstream's backoff to
// end.
func (proxyRequest *proxyRequest) backoffLimit() time.Duration {
	if proxyRequest.headersSent {
		return time.Until(proxyRequest.deadline)
	}
	return proxyRequest.route.ResponseGoal / admissionWaitDivisor
}
