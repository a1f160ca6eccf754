package relay

import (
	"sync"

	"jacinthfront.dev/jacinthfront/internal/flow/health"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// healthTracker tracks the health of the upstreams of all services.
type healthTracker struct {
	mutex    sync.Mutex
	services map[string]*health.Tracker
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
			// New cannot fail, as the default configuration is valid.
			tracked, _ = health.New(health.Config{})
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
