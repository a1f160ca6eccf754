package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/link/http1"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// isForeign reports whether a response names another request.
func (proxyRequest *proxyRequest) isForeign(info ResponseInfo) bool {
	return info.ID != "" && info.ID != proxyRequest.info.ID
}

// exchange sends the request to an upstream and returns its response, whose body the caller
// closes. It skips responses that name another request, such as copies of earlier ones: the
// response to the request itself follows them. Its errors are those of http1.Pool.Do and
// http1.Response.Next.
func (proxyRequest *proxyRequest) exchange(ctx context.Context, upstream fleet.Upstream) (*http1.Response, ResponseInfo, error) {
	relay := proxyRequest.relay
	response, err := relay.config.Pool.Do(ctx, upstream.Address, proxyRequest.upstreamRequest(upstream))
	for err == nil {
		info := relay.config.Protocol.ParseResponse(response.Status, response.Header)
		if !proxyRequest.isForeign(info) {
			return response, info, nil
		}
		relay.metrics.increment("foreign-responses")
		proxyRequest.log("relay: response belongs to another request", zap.String("answer", info.ID), zap.Int("status", response.Status),
			zap.Bool("reused", response.Reused), zap.String("address", upstream.Address))
		proxyRequest.applyNotices(upstream, info.staleNotices())
		response, err = response.Next(proxyRequest.foreignWait())
	}
	return nil, ResponseInfo{}, err
}

// foreignWait returns how long to wait for the response after one that names another
// request. The upstream may have written that one instead: then a request that may run
// again is sent to another upstream, and the caller of any other one is told in time.
func (proxyRequest *proxyRequest) foreignWait() time.Duration {
	wait := time.Until(proxyRequest.deadline) / 2
	if goal := proxyRequest.route.ResponseGoal; goal > 0 && proxyRequest.mayRepeat() {
		wait = min(wait, goal)
	}
	return wait
}
