package relay

import (
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/flow/permit"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// applyNotices records what an upstream says of itself in its response headers, before the
// response is forwarded: its load, that it is draining, wants a backoff, or limits the rate
// of requests.
func (proxyRequest *proxyRequest) applyNotices(upstream fleet.Upstream, info ResponseInfo) {
	if info.Load >= 0 {
		proxyRequest.relay.picker.RecordLoad(upstream.ID, info.Load)
	}
	proxyRequest.recordWorkFactor(upstream, info)
	incarnation := incarnationOf(upstream)
	if info.RetryAfter > 0 {
		proxyRequest.relay.cordon.SetBackoff(incarnation, info.RetryAfter)
		proxyRequest.relay.metrics.increment("upstreams-resting")
		proxyRequest.log("fleet: upstream asked for a backoff", zap.String("resting", upstream.ID), zap.Duration("rest", info.RetryAfter))
		proxyRequest.relay.stateChanged.notify()
	}
	if info.Draining {
		proxyRequest.relay.recordDraining(incarnation, "")
	}
	proxyRequest.recordRateLimit(incarnation, info)
	proxyRequest.relay.recordCold(upstream, info)
}

// staleNotices returns what is still believed of a response that belongs to another
// request. It may be a copy of one that was written at any time before. A process that was
// draining stays so, and a limit is at worst too low for a time. A backoff may be over,
// the load and the work factor are others by now, and the upstream may no longer be cold.
func (info ResponseInfo) staleNotices() ResponseInfo {
	info.RetryAfter, info.Load = 0, -1
	info.Cold, info.MalformedCold = 0, ""
	info.WorkFactor, info.InvalidWorkFactor = 0, false
	return info
}

// recordWorkFactor records the work factor that an upstream stated. One that has changed is
// passed on to its loader at once.
func (proxyRequest *proxyRequest) recordWorkFactor(upstream fleet.Upstream, info ResponseInfo) {
	relay := proxyRequest.relay
	if info.InvalidWorkFactor {
		relay.metrics.increment("work-factors-invalid")
	}
	if info.WorkFactor > 0 && relay.picker.RecordFactor(upstream.ID, info.WorkFactor) {
		relay.metrics.increment("work-factors-changed")
		relay.reportSoon()
	}
}

// recordRateLimit records the rate limit that an upstream names in a response. Only
// a response to this request can end or raise a limit.
func (proxyRequest *proxyRequest) recordRateLimit(incarnation cordon.Incarnation, info ResponseInfo) {
	relay := proxyRequest.relay
	if info.MalformedRateLimit != "" {
		relay.metrics.increment("limits-malformed")
		proxyRequest.log("fleet: upstream named a malformed rate limit", zap.String("limited", incarnation.ID), zap.String("value", info.MalformedRateLimit))
		if info.RateLimit == permit.Unlimited {
			return
		}
	}
	var sentAt time.Time
	if info.ID == proxyRequest.info.ID {
		sentAt = proxyRequest.sentAt
	}
	before, after := relay.permits.limits.Record(incarnation, info.RateLimit, sentAt)
	relay.logRateLimit(incarnation, before, after, "")
}

// logRateLimit logs a change of the rate limit in force for an upstream. It was
// learned from the entry instance with the address peer, or from a response if peer
// is empty.
func (relay *Relay) logRateLimit(incarnation cordon.Incarnation, before, after permit.Rate, peer string) {
	if before == after {
		return
	}
	relay.metrics.increment("limits-changed")
	relay.config.Logger.Info("fleet: upstream changed its rate limit", zap.String("upstream", incarnation.ID), zap.Int64("born", incarnation.StartedAt),
		zap.Float64("before", float64(before)), zap.Float64("limit", float64(after)), zap.String("told", peer))
	relay.stateChanged.notify()
}

// recordDraining records that an upstream announced that it is draining, to this
// instance or to the entry instance with the address peer. Requests that wait at
// the upstream choose another one.
func (relay *Relay) recordDraining(incarnation cordon.Incarnation, peer string) {
	if !relay.cordon.MarkDraining(incarnation) {
		return
	}
	relay.metrics.increment("upstreams-leaving")
	relay.config.Logger.Info("fleet: upstream announced that it is draining",
		zap.String("upstream", incarnation.ID), zap.Int64("born", incarnation.StartedAt), zap.String("told", peer))
	relay.stateChanged.notify()
	relay.readInstancesSoon()
	relay.reportSoon()
}

// recordPeerDraining records the upstreams that announced to another entry instance
// that they are draining.
func (relay *Relay) recordPeerDraining(report *wirepb.Usage) {
	for _, upstream := range report.GetLeaving() {
		relay.recordDraining(cordon.Incarnation{ID: upstream.GetId(), StartedAt: upstream.GetBorn()}, report.GetEntry())
	}
}

// encodeDraining encodes upstreams that announced recently that they are draining.
func encodeDraining(incarnations []cordon.Incarnation) []*wirepb.Leaving {
	var encoded []*wirepb.Leaving
	for _, incarnation := range incarnations {
		encoded = append(encoded, &wirepb.Leaving{Id: incarnation.ID, Born: incarnation.StartedAt})
	}
	return encoded
}
