package relay

import (
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/flow/permit"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// coldPermitShare is the part of the bound for a cold engine that permits use up.
	// Grants of its loader use the rest.
	coldPermitShare = 0.2
	// coldPermitWindow is the window of the bound for cold upstreams, and by how much
	// longer some requests are underway than others.
	coldPermitWindow = 1100 * time.Millisecond
	// maxColdBound keeps the bound within the range of the messages.
	maxColdBound = 1e9
)

// coldBound returns how many requests a cold upstream of a service may get in a second.
func coldBound(service *routes.Service, bounds Bounds) float64 {
	return min(max(service.ColdRate*float64(bounds.ColdOverage)+float64(bounds.ColdTolerance), 1), maxColdBound)
}

// coldGrants returns how many of them are admitted by the grants of its loader.
func coldGrants(bound float64) int { return max(int(bound*(1-coldPermitShare)), 1) }

// coldPermitRate returns the rate of the permits for a cold upstream.
func coldPermitRate(service *routes.Service, bounds Bounds) permit.Rate {
	bound := coldBound(service, bounds)
	if service.Engine != nil {
		bound -= float64(coldGrants(bound))
	}
	return permit.RateWithin(bound, coldPermitWindow)
}

// coldService returns the service of an upstream if it has a cold rate.
func (relay *Relay) coldService(name string) (*routes.Service, bool) {
	config := relay.store.config()
	if config == nil {
		return nil, false
	}
	service, ok := config.Service(name)
	return service, ok && service.ColdRate > 0
}

// updateCold records what the instance list says of cold upstreams. It forgets those of
// services that have no cold rate any longer.
func (relay *Relay) updateCold() {
	cold, list := relay.permits.cold, relay.store.instances
	unbounded := make(map[string]bool)
	defer cold.Keep(func(id string) bool { return list.Contains(id) && !unbounded[id] })
	for _, upstream := range list.Upstreams() {
		service, ok := relay.coldService(upstream.Service)
		if !ok {
			unbounded[upstream.ID] = true
			continue
		}
		entry := permit.ColdEntry{Said: upstream.ColdSaid, Remaining: upstream.ColdRemaining, SinceStart: service.ColdStart}
		if cold.SetEntry(incarnationOf(upstream), entry, coldPermitRate(service, *relay.bounds.Load())) {
			relay.logCold(upstream, "list")
		}
	}
}

// recordCold records for how long an upstream says in a response that it stays cold.
func (relay *Relay) recordCold(upstream fleet.Upstream, info ResponseInfo) {
	if info.MalformedCold != "" {
		relay.metrics.increment("cold-malformed")
		relay.config.Logger.Warn("cold: upstream named a malformed cold time", zap.String("upstream", upstream.ID), zap.String("value", info.MalformedCold))
	}
	service, ok := relay.coldService(upstream.Service)
	if !ok || info.Cold <= 0 {
		return
	}
	if relay.permits.cold.Extend(incarnationOf(upstream), info.Cold, coldPermitRate(service, *relay.bounds.Load())) {
		relay.logCold(upstream, "response")
		relay.stateChanged.notify()
	}
}

func (relay *Relay) logCold(upstream fleet.Upstream, source string) {
	incarnation := incarnationOf(upstream)
	relay.metrics.increment("cold-starts")
	relay.config.Logger.Info("cold: upstream is cold", zap.String("upstream", upstream.ID), zap.Int64("born", upstream.StartedAt),
		zap.Duration("for", relay.permits.cold.Remaining(incarnation)), zap.Float64("permits-per-second", float64(relay.permits.cold.Rate(incarnation))),
		zap.String("source", source))
}

// RequestRate implements picker.Cold.
func (relay *Relay) RequestRate(upstream fleet.Upstream) float64 {
	service, ok := relay.coldService(upstream.Service)
	switch {
	case !ok:
		return 0
	case relay.permits.cold.Remaining(incarnationOf(upstream)) > 0:
		return service.ColdRate
	case service.Engine != nil:
		return float64(coldGrants(coldBound(service, *relay.bounds.Load())))
	default:
		return 0
	}
}

// encodeColdLimit encodes the bound on the requests to an engine, nil if its service has
// no cold rate, and the present time for the grants that answer.
func (relay *Relay) encodeColdLimit(upstream fleet.Upstream) (limit *wirepb.ColdLimit, sentMicroseconds uint64) {
	service, ok := relay.coldService(upstream.Service)
	if !ok {
		return nil, 0
	}
	return &wirepb.ColdLimit{
		PerSecond: uint32(coldGrants(coldBound(service, *relay.bounds.Load()))), ColdRate: service.ColdRate,
		RemainingMs: uint32(relay.permits.cold.Remaining(incarnationOf(upstream)).Milliseconds()),
	}, uint64(relay.startMicro() + time.Since(relay.start).Microseconds())
}

// recordGrants records the grants in a loader's report. Those of a loader that bounds
// the requests to its engine are used only for a time.
func (relay *Relay) recordGrants(state *wirepb.EngineState) {
	if state.GetAnsweredUs() == 0 {
		relay.picker.RecordGrants(state.GetUpstream(), state.GetGranted())
		return
	}
	askedAt := relay.start.Add(time.Duration(int64(state.GetAnsweredUs())-relay.startMicro()) * time.Microsecond)
	until := askedAt.Add(admit.GrantLifetime)
	if len(state.GetGranted()) > 0 && !time.Now().Before(until) {
		relay.metrics.increment("cold-grants-expired")
	}
	relay.picker.RecordGrantsUntil(state.GetUpstream(), state.GetGranted(), askedAt, until)
}

// hearsMajority reports whether this instance knows of the others and hears most of
// them. Others may issue the permits of a cold upstream if it does not.
func (relay *Relay) hearsMajority() bool {
	return relay.peersKnown.Load() && relay.peers.hearsMajority()
}

// rateFor returns the rate of the permits for requests to an upstream: that of its
// named limit and, unless a loader admits the requests, that for a cold one.
func (permits *permits) rateFor(incarnation cordon.Incarnation, byGrant bool) permit.Rate {
	if byGrant {
		return permits.limits.Rate(incarnation)
	}
	return permits.rate(incarnation)
}

// rate returns the lower one of the rate limit that an upstream names and that of a cold
// upstream.
func (permits *permits) rate(incarnation cordon.Incarnation) permit.Rate {
	return min(permits.limits.Rate(incarnation), permits.cold.Rate(incarnation))
}

// coldHeld reports whether a cold upstream may not be sent anything.
func (permits *permits) coldHeld(incarnation cordon.Incarnation, byGrant bool) bool {
	rate := permits.cold.Rate(incarnation)
	return !byGrant && (rate == 0 || rate != permit.Unlimited && !permits.mayUseCold())
}

// renewAfterPause discards the permits for cold upstreams if this instance may have been
// stopped.
func (permits *permits) renewAfterPause() {
	permits.client.RenewAfterPause(func(incarnation cordon.Incarnation) bool { return permits.cold.Rate(incarnation) != permit.Unlimited })
}
