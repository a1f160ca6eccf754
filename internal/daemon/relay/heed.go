package relay

import (
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/avoid"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// heed takes over what an upstream says of itself in an answer, before the
// answer is passed on. An answer to another request counts too.
func (flight *flight) heed(upstream fleet.Upstream, answer Answer) {
	start := avoid.Start{ID: upstream.ID, Born: upstream.Born}
	if answer.Rest > 0 {
		flight.relay.avoided.Rest(start, answer.Rest)
		flight.relay.metrics.count("upstreams-resting")
		flight.log("fleet: upstream wants nothing for a time", zap.String("resting", upstream.ID), zap.Duration("rest", answer.Rest))
		flight.relay.changed.fire()
	}
	if answer.Leaving {
		flight.relay.leaving(start, "")
	}
}

// leaving records that an upstream said that it is leaving, to this instance or
// to the one with the address told. Requests that wait there look elsewhere.
func (relay *Relay) leaving(start avoid.Start, told string) {
	if !relay.avoided.Leave(start) {
		return
	}
	relay.metrics.count("upstreams-leaving")
	relay.config.Logger.Info("fleet: upstream says that it is leaving",
		zap.String("upstream", start.ID), zap.Int64("born", start.Born), zap.String("told", told))
	relay.changed.fire()
	relay.readList()
	relay.kick()
}

// heardLeaving takes over which upstreams told another entry instance that they
// are leaving.
func (relay *Relay) heardLeaving(usage *wirepb.Usage) {
	for _, upstream := range usage.GetLeaving() {
		relay.leaving(avoid.Start{ID: upstream.GetId(), Born: upstream.GetBorn()}, usage.GetEntry())
	}
}

// encodeLeaving encodes the upstreams of which it is new that they are leaving.
func encodeLeaving(starts []avoid.Start) []*wirepb.Leaving {
	var encoded []*wirepb.Leaving
	for _, start := range starts {
		encoded = append(encoded, &wirepb.Leaving{Id: start.ID, Born: start.Born})
	}
	return encoded
}
