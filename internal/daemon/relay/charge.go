package relay

import (
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/bucket"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
)

// charge takes the request's cost from the organisation's token bucket, or returns
// a refusal if the bucket does not hold enough soon.
func (proxyRequest *proxyRequest) charge() *refusal {
	if proxyRequest.organisation == nil {
		return nil
	}
	proxyRequest.awaitStartup(proxyRequest.relay.limiter.Initialised)
	proxyRequest.waitClass = proxyRequest.relay.classOf(proxyRequest.route)
	// If the bucket holds enough soon, waiting takes less time than a retry by the
	// caller.
	until := time.Now().Add(proxyRequest.chargeWait())
	denial, ok := proxyRequest.take()
	for !ok && time.Now().Add(denial.Wait).Before(until) && proxyRequest.request.Context().Err() == nil {
		proxyRequest.sleep(denial.Wait)
		denial, ok = proxyRequest.take()
	}
	if ok {
		proxyRequest.relay.metrics.recordCharged(proxyRequest.waitClass, proxyRequest.cost())
		return nil
	}
	proxyRequest.relay.metrics.recordDenied(proxyRequest.waitClass)
	proxyRequest.logRateExceeded(denial)
	return proxyRequest.rateRefusal(denial)
}

// chargeWait returns how long the request may wait for its organisation's token bucket.
func (proxyRequest *proxyRequest) chargeWait() time.Duration {
	return proxyRequest.route.ResponseGoal / admissionWaitDivisor
}

func (proxyRequest *proxyRequest) rateRefusal(denial bucket.Denial) *refusal {
	return &refusal{http.StatusTooManyRequests, "the organisation's rate is used up", proxyRequest.chargeRetryAfter(denial)}
}

// classOf returns how long the callers of a route can wait, or bucket.Unclassified if
// those of all routes can wait equally long.
func (relay *Relay) classOf(route *routes.Route) bucket.Class {
	if config := relay.store.config(); config == nil || !config.CallerWaitsDiffer() {
		return bucket.Unclassified
	}
	return bucket.Class(route.CallerWait())
}

// take asks the organisation's token bucket for the request's cost.
func (proxyRequest *proxyRequest) take() (bucket.Denial, bool) {
	return proxyRequest.relay.limiter.TakeRequest(proxyRequest.organisation.Name, proxyRequest.limit(), proxyRequest.bucketRequest())
}

// bucketRequest returns what is asked of the organisation's token bucket.
func (proxyRequest *proxyRequest) bucketRequest() bucket.Request {
	return bucket.Request{Cost: proxyRequest.cost(), Class: proxyRequest.waitClass, Identity: proxyRequest.identity}
}

// chargeRetryAfter returns when the caller of a denied request may retry. Where classes
// differ, it is not before the bucket may let the request through, and spread over the
// time that the rate needs for all that was denied, so that not all callers retry at
// once. It is spread within the caller's remaining time if that suffices for the wait.
func (proxyRequest *proxyRequest) chargeRetryAfter(denial bucket.Denial) time.Duration {
	if proxyRequest.waitClass == bucket.Unclassified {
		return min(denial.Wait, maxRetryAfter)
	}
	spread := min(denial.Spread, maxRetryAfter)
	if remaining := time.Until(proxyRequest.deadline) - denial.Wait; remaining > 0 {
		spread = min(spread, remaining)
	}
	// The header gives milliseconds.
	return denial.Wait.Truncate(time.Millisecond) + time.Millisecond + rand.N(spread+1)
}

// logRateExceeded logs why the organisation's share of its rate did not suffice.
func (proxyRequest *proxyRequest) logRateExceeded(denial bucket.Denial) {
	limit := proxyRequest.limit()
	status := proxyRequest.relay.limiter.Status(proxyRequest.organisation.Name, limit)
	proxyRequest.log("relay: organisation's rate limit exceeded", zap.Float64("rate", limit.Rate), zap.Float64("burst", limit.Burst),
		zap.Float64("level", status.Level), zap.Float64("part", status.Fraction), zap.Int("instances-silent", status.SilentPeers),
		zap.Duration("caller-wait", time.Duration(proxyRequest.waitClass)), zap.Float64("reserve", denial.Reserve), zap.Duration("wait", denial.Wait))
}

func (proxyRequest *proxyRequest) limit() bucket.Limit {
	return bucket.Limit{Rate: proxyRequest.organisation.Rate, Burst: proxyRequest.organisation.Burst}
}

func (proxyRequest *proxyRequest) cost() float64 {
	if !proxyRequest.info.HasTokenCounts {
		return proxyRequest.organisation.Cost(0)
	}
	return proxyRequest.organisation.Cost(proxyRequest.info.PromptTokens + proxyRequest.info.MaxOutputTokens)
}

// refund gives the request's cost back to the token bucket if the request did not
// run.
func (proxyRequest *proxyRequest) refund() {
	if proxyRequest.organisation != nil && proxyRequest.organisation.Rate > 0 && proxyRequest.runs == 0 {
		proxyRequest.relay.limiter.RefundClass(proxyRequest.organisation.Name, proxyRequest.cost(), proxyRequest.waitClass)
	}
}
