// Package retry bounds how often and how soon failed requests are sent again.
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
	// Ratio is the number of retries that each request earns.
	Ratio float64
	// MinPerSecond is the number of retries per second that is always allowed, so
	// that an instance with few requests can retry at all.
	MinPerSecond float64
	// InitialBackoff is the backoff before the first retry; it doubles up to Longest.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// Seed makes the jitter reproducible.
	Seed uint64
}

// Budget limits the retries of one entry instance, so that a failing service
// gets little more load than its requests. Its methods may be called
// concurrently.
type Budget struct {
	config Config
	mutex  sync.Mutex
	random *rand.Rand
	// earned holds retries from requests, and spare those by which the minimum
	// is above what requests earned. Both are capped: a calm hour must not pay
	// for a burst of retries.
	earned float64
	spare  float64
	at     time.Time
}

// earnedLimit is how many earned retries are kept: those of the last requests
// of about ten seconds at 100 requests/s.
const earnedLimit = 100

// rounding is the error allowed in sums of parts of a retry.
const rounding = 1e-9

// New returns a Budget, or a fault if a value is out of range.
func New(config Config) (*Budget, error) {
	setDefault(&config.Ratio, DefaultRatio)
	setDefault(&config.MinPerSecond, DefaultMinPerSecond)
	setDefault(&config.InitialBackoff, DefaultInitialBackoff)
	setDefault(&config.MaxBackoff, DefaultMaxBackoff)
	if config.Ratio < 0 || config.Ratio > 1 || config.MinPerSecond < 0 {
		return nil, fault.New(fault.Invalid, fault.NotRun,
			"retry budget of %v per request and %v per second; set the part to 0..1 and the minimum to at least 0", config.Ratio, config.MinPerSecond)
	}
	if config.InitialBackoff < 0 || config.MaxBackoff < config.InitialBackoff {
		return nil, fault.New(fault.Invalid, fault.NotRun,
			"retry backoff from %v to %v; set the first to at least 0 and the longest to at least the first", config.InitialBackoff, config.MaxBackoff)
	}
	return &Budget{config: config, random: rand.New(rand.NewPCG(config.Seed, 0)), spare: config.MinPerSecond, at: time.Now()}, nil
}

// RecordRequest records a request, not counting its retries.
func (budget *Budget) RecordRequest() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.accrue()
	budget.earned = min(earnedLimit, budget.earned+budget.config.Ratio)
	budget.spare = max(0, budget.spare-budget.config.Ratio)
}

func (budget *Budget) accrue() {
	now := time.Now()
	budget.spare = min(max(1, budget.config.MinPerSecond), budget.spare+now.Sub(budget.at).Seconds()*budget.config.MinPerSecond)
	budget.at = now
}

// Allow takes one retry from the budget and reports whether there was one.
func (budget *Budget) Allow() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.accrue()
	if budget.earned+budget.spare < 1-rounding {
		return false
	}
	taken := min(1, budget.earned)
	budget.earned -= taken
	budget.spare = max(0, budget.spare-(1-taken))
	return true
}

// Backoff returns how long to wait before a retry. attempt is 1 for the first
// one. The wait is uniform between nothing and the doubled limit, which spreads
// the retries of requests that failed together.
func (budget *Budget) Backoff(attempt int) time.Duration {
	limit := budget.config.MaxBackoff
	if shift := max(0, attempt-1); shift < 32 {
		limit = min(limit, budget.config.InitialBackoff<<shift)
	}
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return time.Duration(budget.random.Int64N(int64(limit) + 1))
}

func setDefault[T comparable](value *T, other T) {
	var zero T
	if *value == zero {
		*value = other
	}
}
