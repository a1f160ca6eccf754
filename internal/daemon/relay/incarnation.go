package relay

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/origin"
	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// An upstream may start again under its id at another software version. Until its loader or
// the list shows that, a connection to it that was just opened may lead to either. So the
// software that writes a stream is known once the loader, or the engine itself, has confirmed
// the incarnation after the connection was opened.

const (
	// incarnationAskInterval is the least time between two asks of a loader.
	incarnationAskInterval = 30 * time.Millisecond
	// identityTimeout is how long the first event of an answer that continues a stream waits
	// for the answer of a loader or the engine.
	identityTimeout = picker.DefaultReportTTL
	// beginTimeout is how long the first event of a stream waits for it. The later ones do
	// not wait.
	beginTimeout = 50 * time.Millisecond
)

// errOtherIncarnation means that an answer cannot continue a stream, as another incarnation
// of the upstream may write it.
var errOtherIncarnation = errors.New("the stream cannot be resumed: the upstream may have restarted")

// incarnationAsks holds when each loader was last asked for the incarnation of its engine,
// by the ids of the engines.
type incarnationAsks struct {
	mutex   sync.Mutex
	askedAt map[string]time.Time
	// unansweredSince holds the first ask that was not answered, of those that followed each
	// other within a second.
	unansweredSince map[string]time.Time
}

// due reports whether an upstream's loader may be asked now, and counts it as asked.
func (asks *incarnationAsks) due(upstream string, now time.Time) bool {
	asks.mutex.Lock()
	defer asks.mutex.Unlock()
	pause := now.Sub(asks.askedAt[upstream])
	if pause < incarnationAskInterval {
		return false
	}
	if _, unanswered := asks.unansweredSince[upstream]; !unanswered || pause > time.Second {
		if asks.unansweredSince == nil {
			asks.unansweredSince = make(map[string]time.Time)
		}
		asks.unansweredSince[upstream] = now
	}
	asks.askedAt[upstream] = now
	return true
}

// recordAnswer records that an upstream's loader has answered.
func (asks *incarnationAsks) recordAnswer(upstream string) {
	asks.mutex.Lock()
	defer asks.mutex.Unlock()
	delete(asks.unansweredSince, upstream)
}

// unanswered returns for how long an upstream's loader has not answered.
func (asks *incarnationAsks) unanswered(upstream string, now time.Time) time.Duration {
	asks.mutex.Lock()
	defer asks.mutex.Unlock()
	since, ok := asks.unansweredSince[upstream]
	if !ok {
		return 0
	}
	return now.Sub(since)
}

// keep forgets the upstreams that a function does not select.
func (asks *incarnationAsks) keep(listed func(upstream string) bool) {
	asks.mutex.Lock()
	defer asks.mutex.Unlock()
	gone := func(upstream string, _ time.Time) bool { return !listed(upstream) }
	maps.DeleteFunc(asks.askedAt, gone)
	maps.DeleteFunc(asks.unansweredSince, gone)
}

// askIncarnation asks an upstream's loader which incarnation runs, and the upstream itself if
// its loader does not report or answer.
func (relay *Relay) askIncarnation(upstream fleet.Upstream, identity picker.Identity) {
	now := time.Now()
	due := relay.incarnationAsks.due(upstream.ID, now)
	if identity == picker.Unreported || relay.incarnationAsks.unanswered(upstream.ID, now) >= loaderPatience {
		relay.askEngine(upstream)
	}
	if !due {
		return
	}
	relay.sendDatagram(&wirepb.Datagram{Body: &wirepb.Datagram_IncarnationAsk{IncarnationAsk: &wirepb.IncarnationAsk{
		Entry: relay.config.DatagramAddress, Upstream: upstream.ID, AskedAt: relay.stamp(now),
	}}}, relay.loaderAddress(upstream))
}

// handleIncarnationAnswer records which incarnation of an upstream ran after the ask. An
// answer to an ask of an earlier run of this instance is ignored.
func (relay *Relay) handleIncarnationAnswer(answer *wirepb.IncarnationAnswer) {
	askedAt, ok := relay.stampedAt(answer.GetAskedAt())
	if !ok {
		return
	}
	relay.incarnationAsks.recordAnswer(answer.GetUpstream())
	relay.picker.RecordIncarnation(answer.GetUpstream(), answer.GetBorn(), askedAt)
	relay.stateChanged.notify()
}

// connection is the connection on which a response comes.
type connection struct {
	upstream fleet.Upstream
	// openedAt is when it was opened, zero if there is none.
	openedAt time.Time
}

// resumable reports whether the stream may go on after a break.
func (proxyRequest *proxyRequest) resumable() bool {
	return proxyRequest.route.Resumable || proxyRequest.continues
}

// identify returns which incarnation of an upstream is at the other end of the connection
// of the last response, and asks its loader or itself if that is not known.
func (proxyRequest *proxyRequest) identify() picker.Identity {
	return proxyRequest.identifyAt(proxyRequest.connection)
}

// identifyAt is identify for a connection.
func (proxyRequest *proxyRequest) identifyAt(connection connection) picker.Identity {
	if proxyRequest.service.Engine == nil {
		return picker.Confirmed
	}
	identity := proxyRequest.relay.picker.Identify(connection.upstream, connection.openedAt)
	if identity == picker.Unconfirmed || identity == picker.Unreported {
		proxyRequest.relay.askIncarnation(connection.upstream, identity)
	}
	return identity
}

// awaitBegin is awaitIdentity for an answer that begins a stream. It does not wait for a
// loader that does not report.
func (proxyRequest *proxyRequest) awaitBegin(ctx context.Context) picker.Identity {
	if identity := proxyRequest.identify(); identity == picker.Unreported {
		return identity
	}
	return proxyRequest.awaitIdentity(ctx, beginTimeout)
}

// awaitIdentity waits for a time until it is known which incarnation answers.
func (proxyRequest *proxyRequest) awaitIdentity(ctx context.Context, wait time.Duration) picker.Identity {
	for until := time.Now().Add(wait); ; {
		changed := proxyRequest.relay.stateChanged.next()
		identity := proxyRequest.identify()
		known := identity == picker.Confirmed || identity == picker.Replaced
		if known || ctx.Err() != nil || !time.Now().Before(until) {
			return identity
		}
		awaitChange(ctx, changed, min(incarnationAskInterval, time.Until(until)))
	}
}

// checkOrigin finds out which software writes a response, before an event of it is
// forwarded. If the response continues a stream, the error says why it cannot.
func (proxyRequest *proxyRequest) checkOrigin(ctx context.Context) error {
	switch {
	case proxyRequest.identified, !proxyRequest.resumable():
		return nil
	case proxyRequest.continues:
		if proxyRequest.awaitIdentity(ctx, identityTimeout) != picker.Confirmed {
			return errOtherIncarnation
		}
		proxyRequest.recordOrigin(proxyRequest.origin)
	case !proxyRequest.headersSent:
		identity := proxyRequest.awaitBegin(ctx)
		if ctx.Err() == nil {
			proxyRequest.recordBegin(identity)
		}
	default:
		// The connection may lead to the incarnation that was listed when it was opened, also if
		// that has ended and a later one is listed: its last events may not have been read yet.
		proxyRequest.recordBegin(proxyRequest.identify())
	}
	proxyRequest.active.bound.Store(!proxyRequest.identified)
	if !proxyRequest.headersSent && ctx.Err() != nil {
		// The stream may begin anew as long as no event was forwarded.
		return errOtherIncarnation
	}
	return nil
}

// recordBegin records which software began the stream, if that is known.
func (proxyRequest *proxyRequest) recordBegin(identity picker.Identity) {
	switch {
	case identity == picker.Confirmed:
		proxyRequest.recordOrigin(proxyRequest.relay.originOf(proxyRequest.connection.upstream))
	case !proxyRequest.headersSent:
		proxyRequest.relay.announceList(origin.Record{Key: proxyRequest.streamKey(), Origin: softwareOf(proxyRequest.connection.upstream)})
	}
}

// recordOrigin records which software began the stream.
func (proxyRequest *proxyRequest) recordOrigin(known origin.Origin) {
	proxyRequest.identified, proxyRequest.origin = true, known
	proxyRequest.relay.keepOrigin(origin.Record{
		Key: proxyRequest.streamKey(), Origin: known, Lifetime: proxyRequest.timeout() + keepMargin,
	})
}
