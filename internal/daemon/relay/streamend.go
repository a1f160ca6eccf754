package relay

import (
	"context"
	"errors"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// errEndedWithUpstream means that a stream without a length or chunks may have ended because
// its upstream did.
var errEndedWithUpstream = errors.New("the stream ended with its connection, and its upstream may have ended")

// checkEnd returns an error if a stream without a length or chunks, whose connection has just
// ended between two events, may not be whole: the engine may have ended. It is whole if the
// loader says that the engine went on after that. Of an engine that has left the list while it
// drained, which is once its requests have ended, the end of the connection tells; so it does of
// one whose loader does not report, if no other engine can continue the stream.
func (proxyRequest *proxyRequest) checkEnd(ctx context.Context) error {
	relay, ended := proxyRequest.relay, connection{proxyRequest.connection.upstream, time.Now()}
	switch {
	case proxyRequest.service.Engine == nil, relay.leftDraining(ended.upstream):
		return nil
	case !relay.store.instances.Contains(ended.upstream.ID):
		return errEndedWithUpstream
	}
	for until := time.Now().Add(identityTimeout); ; {
		changed := relay.stateChanged.next()
		late := !time.Now().Before(until)
		switch identity := proxyRequest.identifyAt(ended); {
		case identity == picker.Confirmed, identity == picker.Unreported && late && !proxyRequest.resumable():
			return nil
		case identity == picker.Replaced, relay.picker.Crashed(ended.upstream.ID), ctx.Err() != nil, late:
			return errEndedWithUpstream
		}
		awaitChange(ctx, changed, min(incarnationAskInterval, time.Until(until)))
	}
}

// leftDraining reports whether an upstream has left the list and had said before that it drains.
func (relay *Relay) leftDraining(upstream fleet.Upstream) bool {
	until, cordoned := relay.cordon.Cordoned(cordon.Incarnation{ID: upstream.ID, StartedAt: upstream.StartedAt})
	announced := cordoned && until.IsZero()
	return !relay.store.instances.Contains(upstream.ID) && (announced || relay.store.instances.LeftDraining(upstream))
}
