// Package cordon keeps which upstreams have said that they want no requests: for
// good, since they are leaving, or for a time, since they have too much to do.
// What an upstream said holds for the start that said it, whatever the instance
// list says of it later.
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
	// DefaultDrainRetention is how long after it was made or last looked up a note on an
	// upstream that is leaving is kept. Entries of the instance list may lapse
	// for shorter times and come back.
	DefaultDrainRetention = 10 * time.Minute
	// DefaultListingDelay is how long a note may be about a start that the instance
	// list did not name yet.
	DefaultListingDelay = 30 * time.Second
	// DefaultNewsAge is how long a note is news for other instances.
	DefaultNewsAge = 2 * time.Second
	// MaxBackoff bounds the time for which an upstream is avoided at one word
	// of its own.
	MaxBackoff = 24 * time.Hour
)

// Config configures a Set. Zero values mean the defaults.
type Config struct {
	DrainRetention time.Duration
	ListingDelay   time.Duration
	NewsAge        time.Duration
}

// Incarnation is one start of an upstream.
type Incarnation struct {
	ID string
	// StartedAt is its time in Unix milliseconds, 0 if it is not known.
	StartedAt int64
}

// Set holds the upstreams to avoid. Its methods may be called concurrently.
type Set struct {
	config Config

	mutex sync.Mutex
	notes map[string]*note
}

// note is what one start of an upstream said.
type note struct {
	born int64
	// made is when it said so last, with the time of day.
	made time.Time
	// used is when the note was last looked up.
	used    time.Time
	leaving bool
	// until is the end of the latest rest.
	until time.Time
}

// New returns an empty Set.
func New(config Config) *Set {
	config.DrainRetention = cmp.Or(config.DrainRetention, DefaultDrainRetention)
	config.ListingDelay = cmp.Or(config.ListingDelay, DefaultListingDelay)
	config.NewsAge = cmp.Or(config.NewsAge, DefaultNewsAge)
	return &Set{config: config, notes: make(map[string]*note)}
}

// MarkDraining records that an upstream is leaving, and reports whether that is new.
func (set *Set) MarkDraining(start Incarnation) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	known := set.note(start)
	if known == nil || known.leaving {
		return false
	}
	known.leaving, known.made = true, time.Now()
	return true
}

// SetBackoff records that an upstream wants nothing for a time. Of several such times
// the one that ends last counts.
func (set *Set) SetBackoff(start Incarnation, length time.Duration) {
	if length <= 0 {
		return
	}
	set.mutex.Lock()
	defer set.mutex.Unlock()
	known := set.note(start)
	if known == nil {
		return
	}
	known.made = time.Now()
	if until := known.made.Add(min(length, MaxBackoff)); until.After(known.until) {
		known.until = until
	}
}

// note returns what is known of a start, or nil if a later one is known.
func (set *Set) note(start Incarnation) *note {
	now := time.Now()
	maps.DeleteFunc(set.notes, func(_ string, known *note) bool { return known.over(now, set.config.DrainRetention) })
	known, ok := set.notes[start.ID]
	switch {
	case ok && start.StartedAt != 0 && start.StartedAt < known.born:
		return nil
	case !ok || set.superseded(known, start, now):
		known = &note{born: start.StartedAt}
		set.notes[start.ID] = known
	}
	known.used = now
	return known
}

// over reports whether a note says nothing any more.
func (note *note) over(now time.Time, keep time.Duration) bool {
	if note.leaving {
		return now.Sub(note.used) > keep
	}
	return !note.until.After(now)
}

// superseded reports whether a start came after what a note says. One that was
// listed late, and began before the note was made, is the one that made it.
func (set *Set) superseded(known *note, start Incarnation, now time.Time) bool {
	if known.born == 0 || start.StartedAt <= known.born {
		return false
	}
	return time.UnixMilli(start.StartedAt).After(known.made) || now.Sub(known.made) > set.config.ListingDelay
}

// Avoided reports whether nothing may be sent to an upstream, and until when; a
// zero time means for good.
func (set *Set) Avoided(start Incarnation) (until time.Time, avoided bool) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	known, ok := set.notes[start.ID]
	now := time.Now()
	if !ok || set.superseded(known, start, now) {
		return time.Time{}, false
	}
	known.used = now
	switch {
	case known.leaving:
		return time.Time{}, true
	case known.until.After(now):
		return known.until, true
	default:
		return time.Time{}, false
	}
}

// RecentlyDraining returns the upstreams of which it is new that they are leaving, ordered
// by id.
func (set *Set) RecentlyDraining() []Incarnation {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	now := time.Now()
	var news []Incarnation
	for id, known := range set.notes {
		if known.leaving && now.Sub(known.made) < set.config.NewsAge {
			news = append(news, Incarnation{ID: id, StartedAt: known.born})
		}
	}
	slices.SortFunc(news, func(a, b Incarnation) int { return cmp.Compare(a.ID, b.ID) })
	return news
}
