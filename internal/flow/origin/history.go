package origin

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// History keeps when each software version of each service was last listed. Its methods
// may be called concurrently.
type History struct {
	mutex sync.Mutex
	// since is when the list began to be followed without a gap, and confirmedAt when it
	// was last confirmed as current.
	since, confirmedAt time.Time
	// seenAt holds when each version was last listed, and listed those that are listed now.
	seenAt map[Origin]time.Time
	listed map[Origin]bool
	// incompleteUntil is until when the list may lack upstreams that others know.
	incompleteUntil time.Time
}

// maxConfirmGap is the longest time between two confirmations of the list within which no
// version can have been listed and removed unseen.
const maxConfirmGap = 3 * time.Second

// HistoryRetention is how long a History keeps that a version was listed. It exceeds the
// longest time for which a stream may go on.
const HistoryRetention = 10 * time.Minute

// NewHistory returns an empty History.
func NewHistory() *History {
	return &History{seenAt: make(map[Origin]time.Time), listed: make(map[Origin]bool)}
}

// Observe records the software of all listed upstreams.
func (history *History) Observe(listed map[Origin]bool) {
	now := time.Now()
	history.mutex.Lock()
	defer history.mutex.Unlock()
	// What was listed until now was listed up to now.
	for origin := range history.listed {
		history.seenAt[origin] = now
	}
	for origin := range listed {
		history.seenAt[origin] = now
	}
	history.listed = maps.Clone(listed)
	maps.DeleteFunc(history.seenAt, func(origin Origin, at time.Time) bool {
		return !history.listed[origin] && now.Sub(at) > HistoryRetention
	})
}

// Add records that an upstream's software was listed, if only until the next record of the
// same upstream.
func (history *History) Add(software Origin) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.seenAt[software] = time.Now()
}

// MarkIncomplete records that the list may lack upstreams for a time that others know, as it
// was restored from an earlier copy.
func (history *History) MarkIncomplete(length time.Duration) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.incompleteUntil = time.Now().Add(length)
}

// Restart begins the history anew, as records of the list may have been missed.
func (history *History) Restart() {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.since, history.confirmedAt = time.Time{}, time.Time{}
}

// Confirm records a time at which the list was current. After a gap, the history begins
// anew.
func (history *History) Confirm(at time.Time) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	if at.Sub(history.confirmedAt) > maxConfirmGap {
		history.since = at
	}
	if at.After(history.confirmedAt) {
		history.confirmedAt = at
	}
}

// Reaches reports whether the list is followed now, and was all the time since another one.
func (history *History) Reaches(since time.Time) bool {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	return history.reaches(time.Now(), since)
}

func (history *History) reaches(now, since time.Time) bool {
	followed := !history.since.IsZero() && now.Sub(history.confirmedAt) <= maxConfirmGap && !now.Before(history.incompleteUntil)
	return followed && !history.since.After(since) && now.Sub(since) <= HistoryRetention
}

// Services returns the services that are kept, ordered by name.
func (history *History) Services() []string {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	services := make(map[string]bool)
	for origin := range history.seenAt {
		services[origin.Service] = true
	}
	return slices.Sorted(maps.Keys(services))
}

// Recall adds what was listed at any time since another one, as records of the list tell.
// What is not listed now counts as listed until now.
func (history *History) Recall(since time.Time, named map[Origin]bool) {
	now := time.Now()
	history.mutex.Lock()
	defer history.mutex.Unlock()
	if history.since.IsZero() || !since.Before(history.since) {
		return
	}
	history.since = since
	for origin := range named {
		history.seenAt[origin] = now
	}
}

// Sole returns the only origin that a stream of the given services can have which began at a
// time or later: the only one that was listed at any time since. It returns false if there
// were several, or if the history does not reach back so far.
func (history *History) Sole(services []string, since time.Time) (Origin, bool) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	if !history.reaches(time.Now(), since) {
		return Origin{}, false
	}
	wanted := make(map[string]bool, len(services))
	for _, service := range services {
		wanted[service] = true
	}
	var sole Origin
	for origin, at := range history.seenAt {
		if !wanted[origin.Service] || !history.listed[origin] && at.Before(since) {
			continue
		}
		if sole.Known() {
			return Origin{}, false
		}
		sole = origin
	}
	return sole, sole.Known()
}
