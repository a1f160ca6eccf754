package relay

import (
	"context"
	"net/http"

	"go.uber.org/zap"
)

// maySend reports whether the request may still be sent: its time has not run out, and its
// caller is there.
func (proxyRequest *proxyRequest) maySend(ctx context.Context) bool {
	return ctx.Err() == nil && proxyRequest.confirmCaller() == nil
}

// confirmCaller returns an error if the caller has left.
func (proxyRequest *proxyRequest) confirmCaller() error {
	noticed := proxyRequest.request.Context().Err() != nil
	err := proxyRequest.caller.Confirm()
	if err != nil && !noticed {
		proxyRequest.relay.metrics.increment("callers-left-unnoticed")
	}
	return err
}

// abandon ends a request whose caller has left.
func (proxyRequest *proxyRequest) abandon() {
	unseen := proxyRequest.caller.Unseen()
	proxyRequest.relay.metrics.increment("caller-left")
	departureDelay.Observe(unseen)
	proxyRequest.log("relay: caller disconnected", zap.Duration("since-present", unseen), zap.Stringer("stage", proxyRequest.stage))
	panic(http.ErrAbortHandler)
}
