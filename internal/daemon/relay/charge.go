package relay

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/bucket"
)

// charge takes the request's cost from the organisation's token bucket, or returns
// a refusal if the bucket does not hold enough soon.
func (proxyRequest *proxyRequest) charge() *refusal {
	if proxyRequest.organisation == nil {
		return nil
	}
	proxyRequest.awaitStartup(proxyRequest.relay.limiter.Initialised)
	// If the bucket holds enough soon, waiting takes less time than a retry by the
	// caller.
	until := time.Now().Add(proxyRequest.route.ResponseGoal / admissionWaitDivisor)
	wait, ok := proxyRequest.relay.limiter.Take(proxyRequest.organisation.Name, proxyRequest.limit(), proxyRequest.cost())
	for !ok && time.Now().Add(wait).Before(until) && proxyRequest.request.Context().Err() == nil {
		proxyRequest.sleep(wait)
		wait, ok = proxyRequest.relay.limiter.Take(proxyRequest.organisation.Name, proxyRequest.limit(), proxyRequest.cost())
	}
	if ok {
		return nil
	}
	proxyRequest.logRateExceeded()
	return &refusal{http.StatusTooManyRequests, "the organisation's rate is used up", min(wait, maxRetryAfter)}
}

// logRateExceeded logs why the organisation's share of its rate did not suffice.
func (proxyRequest *proxyRequest) logRateExceeded() {
	limit := proxyRequest.limit()
	status := proxyRequest.relay.limiter.Status(proxyRequest.organisation.Name, limit)
	proxyRequest.log("relay: organisation's rate limit exceeded", zap.Float64("rate", limit.Rate), zap.Float64("burst", limit.Burst),
		zap.Float64("level", status.Level), zap.Float64("part", status.Fraction), zap.Int("instances-silent", status.SilentPeers))
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
		proxyRequest.relay.limiter.Refund(proxyRequest.organisation.Name, proxyRequest.cost())
	}
}
