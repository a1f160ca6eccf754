package start

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/daemon/entry"
	"jacinthfront.dev/jacinthfront/internal/daemon/side"
	"jacinthfront.dev/jacinthfront/internal/flow/quota"
	"jacinthfront.dev/jacinthfront/internal/flow/slots"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// useNaive configures a side process for comparison: first come, first served,
// eviction of the least recently used adapter, and no tokens of its own. Load
// permits and the feedback from load times stay as they are.
func useNaive(config *side.Config) {
	config.FirstComeFirstServed = true
	config.Limiter = nil
	// Use counts that decay at once leave the last use to decide on evictions,
	// and demands that are late at once leave their age to decide on loads.
	config.Slots = slots.Config{HalfLife: time.Nanosecond, MaxLoadDeferral: time.Nanosecond}
}

// staticShares implements entry.Admission by static division.
type staticShares struct{ *quota.StaticLimiter }

// Admit takes tokens from this instance's part.
func (shares staticShares) Admit(now time.Time, entries int, organisation conf.OrganisationSpec, tokens conf.Tokens) (time.Duration, bool) {
	return shares.Take(now, entries, organisation, tokens)
}

func newAdmission(policy string) entry.Admission {
	if policy == "naive" {
		return staticShares{quota.NewStaticLimiter()}
	}
	return nil
}
