package relay

import (
	"context"
	"errors"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/picker"
)

// errEndedWithUpstream means that a stream without a length or chunks may have ended because
// its upstream did.
var errEndedWithUpstream = errors.New("the stream ended with its connection, and its upstream may have ended")

// checkEnd returns an error if a stream without a length or chunks, whose connection has just
// ended between two events, may not be whole: the engine may have ended. It is whole if the
// loader says that the engine went on after that. Of an engine that is not listed any more,
// which leaves once its requests have ended, the end of the connection tells.
func (proxyRequest *proxyRequest) checkEnd(ctx context.Context) error {
	relay, ended := proxyRequest.relay, connection{proxyRequest.connection.upstream, time.Now()}
	if proxyRequest.service.Engine == nil || !proxyRequest.resumable() || !relay.store.instances.Contains(ended.upstream.ID) {
		return nil
	}
	for until := time.Now().Add(identityTimeout); ; {
		changed := relay.stateChanged.next()
		switch identity := proxyRequest.identifyAt(ended); {
		case identity == picker.Confirmed:
			return nil
		case identity == picker.Replaced, relay.picker.Crashed(ended.upstream.ID), ctx.Err() != nil, !time.Now().Before(until):
			return errEndedWithUpstream
		}
		awaitChange(ctx, changed, min(incarnationAskInterval, time.Until(until)))
	}
}
