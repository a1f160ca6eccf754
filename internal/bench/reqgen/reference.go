package reqgen

import (
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// overRate is how long an organisation counts as above its rate after its
// bucket was empty: the longest wait of patient work, which may still be queued
// ahead of what follows.
const overRate = 30 * time.Second

// reference is one token bucket for an organisation over the whole fleet. It
// tells which requests are within the organisation's rate.
type reference struct {
	mu    sync.Mutex
	rate  float64
	burst float64
	level float64
	last  time.Time
	empty time.Time
}

func newReference(rate, burst conf.Tokens, now time.Time) *reference {
	return &reference{rate: float64(rate), burst: float64(burst), level: float64(burst), last: now}
}

// take takes the tokens if the bucket holds them. It reports whether the
// organisation is within its rate now and has been for some time.
func (reference *reference) take(now time.Time, tokens int) bool {
	reference.mu.Lock()
	defer reference.mu.Unlock()
	accrued := now.Sub(reference.last).Seconds() * reference.rate
	reference.level = min(reference.burst, reference.level+accrued)
	reference.last = now
	if reference.level < float64(tokens) {
		reference.empty = now
		return false
	}
	reference.level -= float64(tokens)
	return reference.empty.IsZero() || now.Sub(reference.empty) > overRate
}
