package retry

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/permit"
)

const (
	// extraFraction is the part of Limits.Extra that is issued, and burstFraction the
	// part of that which may be used at once.
	extraFraction = 0.97
	burstFraction = 0.2
	// PermitLifetime is how long an instance may use a permit for a retry.
	PermitLifetime = 300 * time.Millisecond
	// maxUseDelay is how long after an instance was issued a permit the retry may be
	// sent: the delay of datagrams, and PermitLifetime until it is taken and again until
	// its request is sent.
	maxUseDelay = 2*PermitLifetime + 250*time.Millisecond
)

// Limits bounds the retries of all instances together. In any span as long as Window,
// they may send Ratio times as many retries as requests, and Extra more.
type Limits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// Pool returns the rate at which permits are issued for the retries that Extra allows,
// and how many accrue while none is wanted. In any span as long as Window no more than
// Extra permits are used, also if several allocators issue them one after the other.
// It returns false if Extra is too small.
func (limits Limits) Pool() (rate permit.Rate, burst float64, ok bool) {
	usable := limits.Extra * extraFraction
	burst = max(1, usable*burstFraction)
	rate = permit.Rate((usable - burst) / (limits.Window + maxUseDelay).Seconds())
	return rate, burst, rate >= permit.MinRate
}

// total returns how many retries all instances together may send in a span with requests.
func (limits Limits) total(requests uint64) float64 {
	return (limits.Ratio*float64(requests)+limits.Extra)*totalFraction + roundingError
}
