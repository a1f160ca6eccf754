// Package permit keeps the requests to an upstream within the rate limit that the
// upstream names in its responses, over all instances together. Limits tracks the
// limits. An Allocator at one instance issues permits at the rate of a limit, and
// each instance sends a request only with a permit that its Client holds.
package permit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
)

// Rate is a number of requests per second.
type Rate float64

// Unlimited is the rate of an upstream that names no limit.
var Unlimited = Rate(math.Inf(1))

// Valid reports whether the rate is a number that is not negative.
func (rate Rate) Valid() bool { return rate >= 0 }

const (
	// DefaultRaiseDelay is how long a limit stays in force after it was last named,
	// although later responses name a higher one or none. Where responses differ,
	// the lowest limit holds.
	DefaultRaiseDelay = 4 * time.Second
	// DefaultAnnouncePeriod is how long a change is passed on with each report to
	// other instances.
	DefaultAnnouncePeriod = 2 * time.Second
	// endedRetention is how long the end of a limit is remembered, so that other
	// instances learn of it.
	endedRetention = 10 * time.Second
)

// LimitsConfig configures a Limits. Zero values mean the defaults.
type LimitsConfig struct {
	RaiseDelay     time.Duration
	AnnouncePeriod time.Duration
}

// Limits tracks the rate limits that upstreams name. Its methods may be called
// concurrently.
type Limits struct {
	config LimitsConfig

	mutex sync.Mutex
	byID  map[string]*limit
}

// Notice is the naming of a rate by a response of an upstream. Unlimited means
// that the response named no limit.
type Notice struct {
	Rate Rate
	At   time.Time
}

// limit holds what one incarnation of an upstream named.
type limit struct {
	startedAt int64
	// lowest is the lowest rate named within the raise delay, latest the last one
	// named.
	lowest, latest Notice
	// changedAt is when the rate in force last changed to inForce.
	inForce   Rate
	changedAt time.Time
}

// NewLimits returns a Limits without any limit.
func NewLimits(config LimitsConfig) *Limits {
	config.RaiseDelay = cmp.Or(config.RaiseDelay, DefaultRaiseDelay)
	config.AnnouncePeriod = cmp.Or(config.AnnouncePeriod, DefaultAnnouncePeriod)
	return &Limits{config: config, byID: make(map[string]*limit)}
}

// Record records the rate that a response named. It ignores a rate above the one
// in force if the request was sent before the latter was named, as the response
// may be older. It returns the rates in force before and after.
func (limits *Limits) Record(incarnation cordon.Incarnation, rate Rate, sentAt time.Time) (before, after Rate) {
	return limits.merge(incarnation, Notice{Rate: rate, At: time.Now()}, sentAt)
}

// Merge records a naming that another instance has passed on. It returns the
// rates in force before and after.
func (limits *Limits) Merge(incarnation cordon.Incarnation, notice Notice) (before, after Rate) {
	return limits.merge(incarnation, notice, notice.At)
}

func (limits *Limits) merge(incarnation cordon.Incarnation, notice Notice, sentAt time.Time) (before, after Rate) {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	now := time.Now()
	if !notice.Rate.Valid() {
		return Unlimited, Unlimited
	}
	known := limits.limitFor(incarnation, notice.Rate)
	if known == nil {
		return Unlimited, Unlimited
	}
	before = known.rate(now, limits.config.RaiseDelay)
	if notice.Rate <= before || !sentAt.Before(known.lowest.At) {
		known.record(notice, limits.config.RaiseDelay)
	}
	after = known.rate(now, limits.config.RaiseDelay)
	if after != known.inForce {
		known.inForce, known.changedAt = after, now
	}
	return before, after
}

// limitFor returns what is known of an incarnation, or nil if a later one is known
// or if it names no limit and has named none before.
func (limits *Limits) limitFor(incarnation cordon.Incarnation, rate Rate) *limit {
	known, ok := limits.byID[incarnation.ID]
	switch {
	case ok && incarnation.StartedAt < known.startedAt:
		return nil
	case ok && incarnation.StartedAt == known.startedAt:
		return known
	case rate == Unlimited:
		delete(limits.byID, incarnation.ID)
		return nil
	}
	known = &limit{startedAt: incarnation.StartedAt, lowest: Notice{Rate: Unlimited}, latest: Notice{Rate: Unlimited}, inForce: Unlimited}
	limits.byID[incarnation.ID] = known
	return known
}

// record updates the lowest and the latest rate named.
func (limit *limit) record(notice Notice, raiseDelay time.Duration) {
	if notice.At.After(limit.latest.At) {
		limit.latest = notice
	}
	if notice.At.After(limit.lowest.At) && (notice.Rate <= limit.lowest.Rate || notice.At.Sub(limit.lowest.At) >= raiseDelay) {
		limit.lowest = notice
	}
}

// rate returns the rate in force.
func (limit *limit) rate(now time.Time, raiseDelay time.Duration) Rate {
	if now.Sub(limit.lowest.At) < raiseDelay {
		return min(limit.lowest.Rate, limit.latest.Rate)
	}
	return limit.latest.Rate
}

// Rate returns the rate limit in force for an upstream.
func (limits *Limits) Rate(incarnation cordon.Incarnation) Rate {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	known, ok := limits.byID[incarnation.ID]
	if !ok || incarnation.StartedAt > known.startedAt {
		return Unlimited
	}
	return known.rate(time.Now(), limits.config.RaiseDelay)
}

// Count returns the number of upstreams with a limit in force.
func (limits *Limits) Count() int {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	count, now := 0, time.Now()
	for _, known := range limits.byID {
		if known.rate(now, limits.config.RaiseDelay) != Unlimited {
			count++
		}
	}
	return count
}

// Known is what an instance knows of an upstream's limit: the lowest rate named
// within the raise delay, and the last one named.
type Known struct {
	Incarnation    cordon.Incarnation
	Lowest, Latest Notice
	// Recent means that the limit in force has changed within AnnouncePeriod.
	Recent bool
}

// Known returns all limits, ordered by upstream, and forgets those that ended
// long ago.
func (limits *Limits) Known() []Known {
	limits.mutex.Lock()
	defer limits.mutex.Unlock()
	now := time.Now()
	maps.DeleteFunc(limits.byID, func(_ string, known *limit) bool {
		return known.latest.Rate == Unlimited && now.Sub(known.latest.At) > endedRetention
	})
	var all []Known
	for id, known := range limits.byID {
		lowest := known.lowest
		if now.Sub(lowest.At) >= limits.config.RaiseDelay {
			lowest = known.latest
		}
		all = append(all, Known{
			Incarnation: cordon.Incarnation{ID: id, StartedAt: known.startedAt},
			Lowest:      lowest, Latest: known.latest, Recent: now.Sub(known.changedAt) < limits.config.AnnouncePeriod,
		})
	}
	slices.SortFunc(all, func(a, b Known) int { return cmp.Compare(a.Incarnation.ID, b.Incarnation.ID) })
	return all
}
