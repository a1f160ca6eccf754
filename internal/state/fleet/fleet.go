// Package fleet keeps the list of upstreams, which is read from the platform's
// instance list. It keeps upstreams whose entries expire because the instance
// list is unavailable.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// DefaultGracePeriod is how long lapsed entries are kept after an outage of the
// instance list, so that their upstreams can register again.
const DefaultGracePeriod = 2 * time.Second

// removedRetention is how long it is remembered that an upstream was removed.
const removedRetention = 10 * time.Minute

// Upstream is one listed upstream.
type Upstream struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// Remaining is the time until the upstream ends, 0 if it is not known.
	Remaining time.Duration
	// StartedAt is when the upstream started, in Unix milliseconds. Each
	// incarnation has another value.
	StartedAt int64
	// SoftwareVersion is the version of its software, empty if it names none.
	SoftwareVersion string
	// ColdSaid means that the entry says how long the upstream stays cold, which is
	// ColdRemaining.
	ColdSaid      bool
	ColdRemaining time.Duration
}

// Config configures a List. Zero values mean the defaults.
type Config struct {
	// GracePeriod is how long lapsed entries are kept after an outage.
	GracePeriod time.Duration
}

// List holds the upstreams. An entry is lapsed if it was removed from the
// instance list during an outage or within the grace period after one, but is
// still kept. The methods of a List may be called concurrently.
type List struct {
	config Config

	mutex     sync.Mutex
	upstreams map[string]Upstream
	// lapsed holds the ids of the lapsed entries.
	lapsed map[string]bool
	// removed holds the upstreams that were removed lately. restored means that the
	// next complete list comes from an earlier copy, which may hold them again.
	removed        map[string]removal
	restored       bool
	unavailable    bool
	availableSince time.Time
	generation     uint64
	// sorted holds the upstreams of the generation sortedGeneration, ordered by
	// id.
	sorted           []Upstream
	sortedGeneration uint64
}

// removal is the removal of an upstream's incarnation.
type removal struct {
	startedAt int64
	draining  bool
	at        time.Time
}

// New returns an empty List.
func New(config Config) *List {
	config.GracePeriod = cmp.Or(config.GracePeriod, DefaultGracePeriod)
	return &List{config: config, upstreams: make(map[string]Upstream), lapsed: make(map[string]bool), removed: make(map[string]removal)}
}

// sameIncarnation reports whether an entry is of the incarnation that started at a
// time. Without start times it may be of another one.
func sameIncarnation(startedAt int64, upstream Upstream) bool {
	return startedAt != 0 && startedAt == upstream.StartedAt
}

// Set adds or replaces an entry, which is not lapsed any more, and reports
// whether the entry is new or has changed. An incarnation that was draining stays so,
// as an earlier copy of the instance list may show it as it was before.
func (list *List) Set(upstream Upstream) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	delete(list.lapsed, upstream.ID)
	delete(list.removed, upstream.ID)
	if known, ok := list.upstreams[upstream.ID]; ok && known.Draining && sameIncarnation(known.StartedAt, upstream) {
		upstream.Draining = true
	}
	if list.upstreams[upstream.ID] == upstream {
		return false
	}
	list.upstreams[upstream.ID] = upstream
	list.generation++
	return true
}

// Remove records that an entry was removed from the instance list, and reports
// whether the upstream was removed here too. During an outage and in the grace
// period after it, the entry of an upstream that is not draining becomes lapsed
// instead and is kept until RemoveExpired removes it.
func (list *List) Remove(id string) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	upstream, ok := list.upstreams[id]
	if !ok {
		return false
	}
	if !upstream.Draining && (list.unavailable || time.Since(list.availableSince) < list.config.GracePeriod) {
		list.lapsed[id] = true
		return false
	}
	list.remove(id)
	return true
}

// Contains reports whether an upstream is in the list.
func (list *List) Contains(id string) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	_, ok := list.upstreams[id]
	return ok
}

// LeftDraining reports whether the incarnation of an upstream was draining when it was removed
// lately.
func (list *List) LeftDraining(upstream Upstream) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	removed, ok := list.removed[upstream.ID]
	return ok && removed.draining && removed.startedAt == upstream.StartedAt
}

// Lapsed reports whether the entry of an upstream is lapsed.
func (list *List) Lapsed(id string) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.lapsed[id]
}

func (list *List) remove(id string) {
	now := time.Now()
	maps.DeleteFunc(list.removed, func(_ string, removed removal) bool { return now.Sub(removed.at) > removedRetention })
	list.removed[id] = removal{startedAt: list.upstreams[id].StartedAt, draining: list.upstreams[id].Draining, at: now}
	delete(list.upstreams, id)
	delete(list.lapsed, id)
	list.generation++
}

// ReplaceAll records the complete instance list, as with Set for the entries in
// it and with Remove for all others. If it comes from an earlier copy, it ignores the
// upstreams that were removed since, until they register again. It returns their ids,
// and those of the lapsed entries, which the list lacks.
func (list *List) ReplaceAll(upstreams []Upstream) (ignored, lapsed []string) {
	present := make(map[string]bool, len(upstreams))
	for _, upstream := range upstreams {
		if list.outdated(upstream) {
			ignored = append(ignored, upstream.ID)
			continue
		}
		present[upstream.ID] = true
		list.Set(upstream)
	}
	for _, upstream := range list.Upstreams() {
		if !present[upstream.ID] && !list.Remove(upstream.ID) {
			lapsed = append(lapsed, upstream.ID)
		}
	}
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.restored = false
	return ignored, lapsed
}

// outdated reports whether an entry of a complete list is from before its upstream
// was removed.
func (list *List) outdated(upstream Upstream) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	removed, ok := list.removed[upstream.ID]
	return list.restored && ok && sameIncarnation(removed.startedAt, upstream)
}

// MarkUnavailable records that the instance list cannot be read.
func (list *List) MarkUnavailable() {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.unavailable = true
}

// MarkRestored records that the instance list was restored from an earlier copy. It
// lacks the upstreams that registered since, as after an outage, and shows others as
// they were.
func (list *List) MarkRestored() {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.unavailable, list.restored = true, true
}

// MarkAvailable records that the instance list was read. If that ends an outage,
// the grace period starts.
func (list *List) MarkAvailable() {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	if list.unavailable {
		list.unavailable = false
		list.availableSince = time.Now()
	}
}

// RemoveExpired removes the lapsed entries when the grace period has passed, and
// returns their ids.
func (list *List) RemoveExpired() []string {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	if list.unavailable || len(list.lapsed) == 0 || time.Since(list.availableSince) < list.config.GracePeriod {
		return nil
	}
	gone := slices.Sorted(maps.Keys(list.lapsed))
	for _, id := range gone {
		list.remove(id)
	}
	return gone
}

// Upstreams returns all upstreams, lapsed ones included, ordered by id. The
// result is shared and must not be changed.
func (list *List) Upstreams() []Upstream {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	if list.sorted != nil && list.sortedGeneration == list.generation {
		return list.sorted
	}
	ids := slices.Sorted(maps.Keys(list.upstreams))
	upstreams := make([]Upstream, 0, len(ids))
	for _, id := range ids {
		upstreams = append(upstreams, list.upstreams[id])
	}
	list.sorted, list.sortedGeneration = upstreams, list.generation
	return upstreams
}

// Generation returns a counter that grows with each change of the upstreams.
func (list *List) Generation() uint64 {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.generation
}
