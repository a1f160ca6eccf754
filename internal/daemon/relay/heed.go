package relay

import (
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// heed takes over what an upstream says of itself in an answer, before the
// answer is passed on. An answer to another request counts too.
func (flight *flight) heed(upstream fleet.Upstream, answer ResponseInfo) {
	start := cordon.Incarnation{ID: upstream.ID, StartedAt: upstream.StartedAt}
	if answer.RetryAfter > 0 {
		flight.relay.avoided.SetBackoff(start, answer.RetryAfter)
		flight.relay.metrics.count("upstreams-resting")
		flight.log("fleet: upstream wants nothing for a time", zap.String("resting", upstream.ID), zap.Duration("rest", answer.RetryAfter))
		flight.relay.changed.fire()
	}
	if answer.Leaving {
		flight.relay.leaving(start, "")
	}
}

// leaving records that an upstream said that it is leaving, to this instance or
// to the one with the address told. Requests that wait there look elsewhere.
func (relay *Relay) leaving(start cordon.Incarnation, told string) {
	if !relay.avoided.MarkDraining(start) {
		return
	}
	relay.metrics.count("upstreams-leaving")
	relay.config.Logger.Info("fleet: upstream says that it is leaving",
		zap.String("upstream", start.ID), zap.Int64("born", start.StartedAt), zap.String("told", told))
	relay.changed.fire()
	relay.readList()
	relay.kick()
}

// heardLeaving takes over which upstreams told another entry instance that they
// are leaving.
func (relay *Relay) heardLeaving(usage *wirepb.Usage) {
	for _, upstream := range usage.GetLeaving() {
		relay.leaving(cordon.Incarnation{ID: upstream.GetId(), StartedAt: upstream.GetBorn()}, usage.GetEntry())
	}
}

// encodeLeaving encodes the upstreams of which it is new that they are leaving.
func encodeLeaving(starts []cordon.Incarnation) []*wirepb.Leaving {
	var encoded []*wirepb.Leaving
	for _, start := range starts {
		encoded = append(encoded, &wirepb.Leaving{Id: start.ID, Born: start.StartedAt})
	}
	return encoded
}
