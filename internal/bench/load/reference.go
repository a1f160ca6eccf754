package load

import (
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// reference is one token bucket for an organisation over the whole fleet. It
// tells which requests are within the organisation's rate.
type reference struct {
	mu    sync.Mutex
	rate  float64
	burst float64
	level float64
	last  time.Time
}

func newReference(rate, burst model.Tokens, now time.Time) *reference {
	return &reference{rate: float64(rate), burst: float64(burst), level: float64(burst), last: now}
}

// take reports whether the bucket holds the tokens, and takes them if it does.
func (reference *reference) take(now time.Time, tokens int) bool {
	reference.mu.Lock()
	defer reference.mu.Unlock()
	accrued := now.Sub(reference.last).Seconds() * reference.rate
	reference.level = min(reference.burst, reference.level+accrued)
	reference.last = now
	if reference.level < float64(tokens) {
		return false
	}
	reference.level -= float64(tokens)
	return true
}
