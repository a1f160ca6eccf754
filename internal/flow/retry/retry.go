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
	DefaultPart    = 0.1
	DefaultMinimum = 3
	DefaultFirst   = 25 * time.Millisecond
	DefaultLongest = 2 * time.Second
)

// Config configures a Budget. Zero values mean the defaults.
type Config struct {
	// Part is the number of retries that each request earns.
	Part float64
	// Minimum is the number of retries per second that is always allowed, so
	// that an instance with few requests can retry at all.
	Minimum float64
	// First is the backoff before the first retry; it doubles up to Longest.
	First   time.Duration
	Longest time.Duration
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
	setDefault(&config.Part, DefaultPart)
	setDefault(&config.Minimum, DefaultMinimum)
	setDefault(&config.First, DefaultFirst)
	setDefault(&config.Longest, DefaultLongest)
	if config.Part < 0 || config.Part > 1 || config.Minimum < 0 {
		return nil, fault.New(fault.Invalid, fault.NotRun,
			"retry budget of %v per request and %v per second; set the part to 0..1 and the minimum to at least 0", config.Part, config.Minimum)
	}
	if config.First < 0 || config.Longest < config.First {
		return nil, fault.New(fault.Invalid, fault.NotRun,
			"retry backoff from %v to %v; set the first to at least 0 and the longest to at least the first", config.First, config.Longest)
	}
	return &Budget{config: config, random: rand.New(rand.NewPCG(config.Seed, 0)), spare: config.Minimum, at: time.Now()}, nil
}

// Request records a request, not counting its retries.
func (budget *Budget) Request() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.accrue()
	budget.earned = min(earnedLimit, budget.earned+budget.config.Part)
	budget.spare = max(0, budget.spare-budget.config.Part)
}

func (budget *Budget) accrue() {
	now := time.Now()
	budget.spare = min(max(1, budget.config.Minimum), budget.spare+now.Sub(budget.at).Seconds()*budget.config.Minimum)
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
	limit := budget.config.Longest
	if shift := max(0, attempt-1); shift < 32 {
		limit = min(limit, budget.config.First<<shift)
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
