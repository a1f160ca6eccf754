package start

import (
	"jacinthfront.dev/jacinthfront/internal/daemon/entry"
	"jacinthfront.dev/jacinthfront/internal/flow/health"
)

// serviceHealth implements entry.Health.
type serviceHealth struct{ *health.Tracker }

func newHealth(string) entry.Health {
	// The defaults pass every check.
	service, _ := health.New(health.Config{})
	return serviceHealth{service}
}

// Usable reports whether the upstream may get a request. One whose ejection is
// over may get a probe; taking it ejects the upstream until the outcome.
func (service serviceHealth) Usable(upstream string) bool {
	return service.State(upstream) != health.Ejected
}
