// Package cordon tracks the upstreams that must get no requests because they
// said so: for good when they are draining, or for a time, as a backoff under
// overload. What an upstream said holds for the incarnation that said it,
// whatever the instance list shows later.
package cordon

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Defaults of Config.
const (
	// DefaultDrainRetention is how long the mark of a draining upstream is kept
	// after its last use. An entry of the instance list may expire and come
	// back, but within a shorter time.
	DefaultDrainRetention = 10 * time.Minute
	// DefaultListingDelay is how long after a mark was made the instance list
	// may still name an earlier incarnation than the one that made the mark.
	DefaultListingDelay = 30 * time.Second
	// DefaultAnnouncePeriod is how long a mark is passed on to other instances.
	DefaultAnnouncePeriod = 2 * time.Second
	// MaxBackoff bounds the backoff that an upstream can ask for.
	MaxBackoff = 24 * time.Hour
)

// Config configures a Set. Zero values mean the defaults.
type Config struct {
	DrainRetention time.Duration
	ListingDelay   time.Duration
	AnnouncePeriod time.Duration
}

// Incarnation is one run of an upstream, from its start to its end.
type Incarnation struct {
	ID string
	// StartedAt is the start in Unix milliseconds, 0 if unknown.
	StartedAt int64
}

// Set holds the cordoned upstreams. Its methods may be called concurrently.
type Set struct {
	config Config

	mutex sync.Mutex
	marks map[string]*mark
}

// mark holds what one incarnation of an upstream said of itself.
type mark struct {
	startedAt int64
	// madeAt is when the upstream last said so. It is compared with start times
	// and thus needs the wall clock.
	madeAt time.Time
	// usedAt is when the mark was last looked up.
	usedAt   time.Time
	draining bool
	// backoffUntil is the latest end of the backoffs asked for.
	backoffUntil time.Time
}

// New returns an empty Set.
func New(config Config) *Set {
	config.DrainRetention = cmp.Or(config.DrainRetention, DefaultDrainRetention)
	config.ListingDelay = cmp.Or(config.ListingDelay, DefaultListingDelay)
	config.AnnouncePeriod = cmp.Or(config.AnnouncePeriod, DefaultAnnouncePeriod)
	return &Set{config: config, marks: make(map[string]*mark)}
}

// MarkDraining records that an upstream is draining, and reports whether that
// is new.
func (set *Set) MarkDraining(incarnation Incarnation) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	known := set.markFor(incarnation)
	if known == nil || known.draining {
		return false
	}
	known.draining, known.madeAt = true, time.Now()
	return true
}

// SetBackoff records that an upstream wants no requests for a time. Of several
// backoffs the one that ends last counts.
func (set *Set) SetBackoff(incarnation Incarnation, length time.Duration) {
	if length <= 0 {
		return
	}
	set.mutex.Lock()
	defer set.mutex.Unlock()
	known := set.markFor(incarnation)
	if known == nil {
		return
	}
	known.madeAt = time.Now()
	if until := known.madeAt.Add(min(length, MaxBackoff)); until.After(known.backoffUntil) {
		known.backoffUntil = until
	}
}

// markFor returns the mark of an incarnation, which it creates if needed, or
// nil if a later incarnation is known.
func (set *Set) markFor(incarnation Incarnation) *mark {
	now := time.Now()
	maps.DeleteFunc(set.marks, func(_ string, known *mark) bool { return known.expired(now, set.config.DrainRetention) })
	known, ok := set.marks[incarnation.ID]
	switch {
	case ok && incarnation.StartedAt != 0 && incarnation.StartedAt < known.startedAt:
		return nil
	case !ok || set.superseded(known, incarnation, now):
		known = &mark{startedAt: incarnation.StartedAt}
		set.marks[incarnation.ID] = known
	}
	known.usedAt = now
	return known
}

// expired reports whether a mark no longer has an effect.
func (mark *mark) expired(now time.Time, retention time.Duration) bool {
	if mark.draining {
		return now.Sub(mark.usedAt) > retention
	}
	return !mark.backoffUntil.After(now)
}

// superseded reports whether an incarnation began after the one that made the
// mark. Until ListingDelay after the mark, an incarnation that began before the
// mark was made is taken for the one that made it, as it may be listed late.
func (set *Set) superseded(known *mark, incarnation Incarnation, now time.Time) bool {
	if known.startedAt == 0 || incarnation.StartedAt <= known.startedAt {
		return false
	}
	return time.UnixMilli(incarnation.StartedAt).After(known.madeAt) || now.Sub(known.madeAt) > set.config.ListingDelay
}

// Cordoned reports whether an upstream must get no requests, and until when; a
// zero time means for good.
func (set *Set) Cordoned(incarnation Incarnation) (until time.Time, cordoned bool) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	known, ok := set.marks[incarnation.ID]
	now := time.Now()
	if !ok || set.superseded(known, incarnation, now) {
		return time.Time{}, false
	}
	known.usedAt = now
	switch {
	case known.draining:
		return time.Time{}, true
	case known.backoffUntil.After(now):
		return known.backoffUntil, true
	default:
		return time.Time{}, false
	}
}

// RecentlyDraining returns the upstreams that were marked as draining within
// AnnouncePeriod, ordered by id.
func (set *Set) RecentlyDraining() []Incarnation {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	now := time.Now()
	var recent []Incarnation
	for id, known := range set.marks {
		if known.draining && now.Sub(known.madeAt) < set.config.AnnouncePeriod {
			recent = append(recent, Incarnation{ID: id, StartedAt: known.startedAt})
		}
	}
	slices.SortFunc(recent, func(a, b Incarnation) int { return cmp.Compare(a.ID, b.ID) })
	return recent
}
