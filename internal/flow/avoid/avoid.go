// Package avoid keeps which upstreams have said that they want no requests: for
// good, since they are leaving, or for a time, since they have too much to do.
// What an upstream said holds for the start that said it, whatever the instance
// list says of it later.
package avoid

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Defaults of Config.
const (
	// DefaultKeep is how long after it was made or last looked up a note on an
	// upstream that is leaving is kept. Entries of the instance list may lapse
	// for shorter times and come back.
	DefaultKeep = 10 * time.Minute
	// DefaultUnlisted is how long a note may be about a start that the instance
	// list did not name yet.
	DefaultUnlisted = 30 * time.Second
	// DefaultFresh is how long a note is news for other instances.
	DefaultFresh = 2 * time.Second
	// LongestRest bounds the time for which an upstream is avoided at one word
	// of its own.
	LongestRest = 24 * time.Hour
)

// Config configures a Set. Zero values mean the defaults.
type Config struct {
	Keep     time.Duration
	Unlisted time.Duration
	Fresh    time.Duration
}

// Start is one start of an upstream.
type Start struct {
	ID string
	// Born is its time in Unix milliseconds, 0 if it is not known.
	Born int64
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
	config.Keep = cmp.Or(config.Keep, DefaultKeep)
	config.Unlisted = cmp.Or(config.Unlisted, DefaultUnlisted)
	config.Fresh = cmp.Or(config.Fresh, DefaultFresh)
	return &Set{config: config, notes: make(map[string]*note)}
}

// Leave records that an upstream is leaving, and reports whether that is new.
func (set *Set) Leave(start Start) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	known := set.note(start)
	if known == nil || known.leaving {
		return false
	}
	known.leaving, known.made = true, time.Now()
	return true
}

// Rest records that an upstream wants nothing for a time. Of several such times
// the one that ends last counts.
func (set *Set) Rest(start Start, length time.Duration) {
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
	if until := known.made.Add(min(length, LongestRest)); until.After(known.until) {
		known.until = until
	}
}

// note returns what is known of a start, or nil if a later one is known.
func (set *Set) note(start Start) *note {
	now := time.Now()
	maps.DeleteFunc(set.notes, func(_ string, known *note) bool { return known.over(now, set.config.Keep) })
	known, ok := set.notes[start.ID]
	switch {
	case ok && start.Born != 0 && start.Born < known.born:
		return nil
	case !ok || set.superseded(known, start, now):
		known = &note{born: start.Born}
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
func (set *Set) superseded(known *note, start Start, now time.Time) bool {
	if known.born == 0 || start.Born <= known.born {
		return false
	}
	return time.UnixMilli(start.Born).After(known.made) || now.Sub(known.made) > set.config.Unlisted
}

// Avoided reports whether nothing may be sent to an upstream, and until when; a
// zero time means for good.
func (set *Set) Avoided(start Start) (until time.Time, avoided bool) {
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

// News returns the upstreams of which it is new that they are leaving, ordered
// by id.
func (set *Set) News() []Start {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	now := time.Now()
	var news []Start
	for id, known := range set.notes {
		if known.leaving && now.Sub(known.made) < set.config.Fresh {
			news = append(news, Start{ID: id, Born: known.born})
		}
	}
	slices.SortFunc(news, func(a, b Start) int { return cmp.Compare(a.ID, b.ID) })
	return news
}
