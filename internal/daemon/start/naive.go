package start

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/daemon/entry"
	"jacinthfront.dev/jacinthfront/internal/daemon/side"
	"jacinthfront.dev/jacinthfront/internal/flow/quota"
	"jacinthfront.dev/jacinthfront/internal/flow/slots"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// useNaivePolicy configures a side process as the baseline of comparisons: first
// come, first served, eviction of the least recently used adapter, and no quota.
// Load permits stay, and so does the limit on concurrent loads, which follows the
// load times.
func useNaivePolicy(config *side.Config) {
	config.FirstComeFirstServed = true
	config.Limiter = nil
	// With use counts that decay at once, evictions depend on the last use alone.
	// With demands that are overdue at once, loads depend on the demands' age alone.
	config.Slots = slots.Config{HalfLife: time.Nanosecond, MaxLoadDeferral: time.Nanosecond}
}

// staticAdmission implements entry.Admission. Each entry instance admits an equal
// fixed part of an organisation's rate.
type staticAdmission struct{ *quota.StaticLimiter }

// Admit takes tokens from this instance's part of the organisation's rate, or
// returns the time after which they are available.
func (admission staticAdmission) Admit(now time.Time, entries int, organisation conf.OrganisationSpec, tokens conf.Tokens) (time.Duration, bool) {
	return admission.Take(now, entries, organisation, tokens)
}

// newAdmission returns nil, which leaves the limits to the side processes, except
// for the naive policy.
func newAdmission(policy string) entry.Admission {
	if policy == "naive" {
		return staticAdmission{quota.NewStaticLimiter()}
	}
	return nil
}
