// Package retry limits how often and how soon failed requests are retried. A Budget
// limits one instance by itself. Limits bounds the retries of all instances together:
// each has a Ledger of what all have sent, may retry for its own requests, and needs
// permits of a pool that one instance at a time allocates for the retries beyond.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// Defaults of Config.
const (
	DefaultRatio          = 0.1
	DefaultMinPerSecond   = 3
	DefaultInitialBackoff = 25 * time.Millisecond
	DefaultMaxBackoff     = 2 * time.Second
)

// Config configures a Budget. Zero values mean the defaults.
type Config struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// MinPerSecond is the number of retries per second that are always allowed,
	// so that an instance with few requests can retry at all.
	MinPerSecond float64
	// InitialBackoff is the largest backoff before the first retry; it doubles
	// with each retry up to MaxBackoff.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// Seed makes the jitter reproducible.
	Seed uint64
}

// Budget limits the retries of one entry instance, so that retries add little
// load to a failing service. Its methods may be called concurrently.
type Budget struct {
	config Config
	mutex  sync.Mutex
	random *rand.Rand
	// earned holds the retries from requests, and reserve the part of the
	// guaranteed minimum that requests did not earn. Both are capped, so that
	// quiet times do not save up for a burst of retries.
	earned    float64
	reserve   float64
	accruedAt time.Time
}

// maxEarned caps the earned retries: as many as ten seconds at 100 requests/s
// earn with the default ratio.
const maxEarned = 100

// roundingError is the floating-point error allowed in a sum of fractional
// retries.
const roundingError = 1e-9

// New returns a Budget, or a fault if a value is out of range.
func New(config Config) (*Budget, error) {
	setDefault(&config.Ratio, DefaultRatio)
	setDefault(&config.MinPerSecond, DefaultMinPerSecond)
	setDefault(&config.InitialBackoff, DefaultInitialBackoff)
	setDefault(&config.MaxBackoff, DefaultMaxBackoff)
	if config.Ratio < 0 || config.Ratio > 1 || config.MinPerSecond < 0 {
		return nil, fault.New(fault.Invalid, fault.NotRun,
			"retry budget of %v per request and %v per second; set the ratio to 0..1 and the minimum per second to at least 0", config.Ratio, config.MinPerSecond)
	}
	if config.InitialBackoff < 0 || config.MaxBackoff < config.InitialBackoff {
		return nil, fault.New(fault.Invalid, fault.NotRun,
			"retry backoff from %v to %v; set the initial backoff to at least 0 and the maximum to at least the initial one", config.InitialBackoff, config.MaxBackoff)
	}
	return &Budget{config: config, random: rand.New(rand.NewPCG(config.Seed, 0)), reserve: config.MinPerSecond, accruedAt: time.Now()}, nil
}

// RecordRequest records a request. Retries of a request are not recorded.
func (budget *Budget) RecordRequest() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.accrue()
	budget.earned = min(maxEarned, budget.earned+budget.config.Ratio)
	budget.reserve = max(0, budget.reserve-budget.config.Ratio)
}

// accrue adds the guaranteed minimum since the last call to the reserve.
func (budget *Budget) accrue() {
	now := time.Now()
	budget.reserve = min(max(1, budget.config.MinPerSecond), budget.reserve+now.Sub(budget.accruedAt).Seconds()*budget.config.MinPerSecond)
	budget.accruedAt = now
}

// Allow takes one retry from the budget and reports whether there was one.
func (budget *Budget) Allow() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.accrue()
	if budget.earned+budget.reserve < 1-roundingError {
		return false
	}
	taken := min(1, budget.earned)
	budget.earned -= taken
	budget.reserve = max(0, budget.reserve-(1-taken))
	return true
}

// Backoff returns how long to wait before a retry; attempt is 1 for the first
// one. The wait is uniform between zero and a limit that doubles with each
// attempt (full jitter), which spreads the retries of requests that failed
// together.
func (budget *Budget) Backoff(attempt int) time.Duration {
	limit := budget.config.MaxBackoff
	if shift := max(0, attempt-1); shift < 32 {
		limit = min(limit, budget.config.InitialBackoff<<shift)
	}
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return time.Duration(budget.random.Int64N(int64(limit) + 1))
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
