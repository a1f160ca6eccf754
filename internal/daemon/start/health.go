package start

import (
	"jacinthfront.dev/jacinthfront/internal/daemon/entry"
	"jacinthfront.dev/jacinthfront/internal/flow/health"
)

// serviceHealth implements entry.HealthTracker.
type serviceHealth struct{ *health.Tracker }

func newHealth(string) entry.HealthTracker {
	// The error is always nil: the defaults are valid.
	tracker, _ := health.New(health.Config{})
	return serviceHealth{tracker}
}

// Usable reports whether the upstream may get a request. An upstream whose ejection
// is over may get one request as a probe, and stays ejected for others until the
// probe's outcome is known.
func (service serviceHealth) Usable(upstream string) bool {
	return service.State(upstream) != health.Ejected
}
