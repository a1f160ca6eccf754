package relay

import (
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/health"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

const (
	// maxEjection is the longest time for which an upstream whose answers fail gets no
	// request.
	maxEjection = 4 * time.Second
	// healthProbeTimeout is how long the outcome of the one request is awaited that an
	// ejected upstream gets.
	healthProbeTimeout = 2 * time.Second
)

// healthTracker tracks the health of the upstreams of all services.
type healthTracker struct {
	mutex    sync.Mutex
	services map[string]*health.Tracker
}

// admits reports whether a request may be sent to an upstream. One that is ejected gets one
// request at a time, which shows whether it is still at fault.
func (healthTracker *healthTracker) admits(upstream fleet.Upstream) bool {
	tracked := healthTracker.service(upstream.Service)
	return tracked == nil || tracked.TryProbe(upstream.ID)
}

// Usable implements picker.Health.
func (healthTracker *healthTracker) Usable(service, id string) bool {
	tracked := healthTracker.service(service)
	if tracked == nil {
		return true
	}
	return tracked.State(id) != health.Ejected
}

// service returns the health of a service's upstreams, or nil if none is tracked.
func (healthTracker *healthTracker) service(name string) *health.Tracker {
	healthTracker.mutex.Lock()
	defer healthTracker.mutex.Unlock()
	return healthTracker.services[name]
}

// setUpstreams replaces the upstreams whose health is tracked.
func (healthTracker *healthTracker) setUpstreams(upstreams []fleet.Upstream) {
	ids := make(map[string][]string)
	for _, upstream := range upstreams {
		ids[upstream.Service] = append(ids[upstream.Service], upstream.ID)
	}
	healthTracker.mutex.Lock()
	defer healthTracker.mutex.Unlock()
	for service, members := range ids {
		tracked, ok := healthTracker.services[service]
		if !ok {
			// New cannot fail, as the configuration is valid.
			tracked, _ = health.New(health.Config{MaxEjection: maxEjection, ProbeTimeout: healthProbeTimeout})
			healthTracker.services[service] = tracked
		}
		tracked.SetUpstreams(members)
	}
}

// record records whether a request to an upstream succeeded, and reports whether
// the upstream was ejected by a failure.
func (healthTracker *healthTracker) record(service, id string, succeeded bool) (ejected bool) {
	tracked := healthTracker.service(service)
	switch {
	case tracked == nil:
		return false
	case succeeded:
		tracked.RecordSuccess(id)
		return false
	default:
		return tracked.RecordFailure(id)
	}
}
