// Package fleet keeps the list of upstreams as the platform's instance list
// tells it, also over times in which that list cannot be read.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// DefaultReturn is how long upstreams whose entries lapsed during an outage of
// the list have to come back after its end.
const DefaultReturn = 2 * time.Second

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
	// StartedAt is the start in Unix milliseconds; another value is another start.
	StartedAt int64
}

// Config configures a List. Zero values mean the defaults.
type Config struct {
	Return time.Duration
}

// List holds the upstreams. Its methods may be called concurrently.
type List struct {
	config Config

	mutex     sync.Mutex
	upstreams map[string]Upstream
	// lapsed holds entries that were removed around an outage.
	lapsed map[string]bool
	down   bool
	upAt   time.Time
	stamp  uint64
	// ordered holds the upstreams as they were at the stamp orderedAt.
	ordered   []Upstream
	orderedAt uint64
}

// New returns an empty List.
func New(config Config) *List {
	config.Return = cmp.Or(config.Return, DefaultReturn)
	return &List{config: config, upstreams: make(map[string]Upstream), lapsed: make(map[string]bool)}
}

// Set records an entry and reports whether it differs from what was known.
func (list *List) Set(upstream Upstream) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	delete(list.lapsed, upstream.ID)
	if list.upstreams[upstream.ID] == upstream {
		return false
	}
	list.upstreams[upstream.ID] = upstream
	list.stamp++
	return true
}

// Remove records that an entry was removed, and reports whether the upstream
// is gone. An entry that lapses during an outage or just after it is kept until
// Expire takes it.
func (list *List) Remove(id string) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	upstream, ok := list.upstreams[id]
	if !ok {
		return false
	}
	if !upstream.Draining && (list.down || time.Since(list.upAt) < list.config.Return) {
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

// Lapsed reports whether an upstream's entry was removed around an outage, and
// the upstream is kept for the present.
func (list *List) Lapsed(id string) bool {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.lapsed[id]
}

func (list *List) remove(id string) {
	delete(list.upstreams, id)
	delete(list.lapsed, id)
	list.stamp++
}

// ReplaceAll records a complete reading of the list: what is not in it was
// removed.
func (list *List) ReplaceAll(upstreams []Upstream) {
	present := make(map[string]bool, len(upstreams))
	for _, upstream := range upstreams {
		present[upstream.ID] = true
		list.Set(upstream)
	}
	for _, upstream := range list.Upstreams() {
		if !present[upstream.ID] {
			list.Remove(upstream.ID)
		}
	}
}

// MarkUnavailable records that the list cannot be read.
func (list *List) MarkUnavailable() {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.down = true
}

// MarkAvailable records that the list was read.
func (list *List) MarkAvailable() {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	if list.down {
		list.down = false
		list.upAt = time.Now()
	}
}

// RemoveExpired removes the lapsed entries whose time to return has passed, and
// returns their ids.
func (list *List) RemoveExpired() []string {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	if list.down || len(list.lapsed) == 0 || time.Since(list.upAt) < list.config.Return {
		return nil
	}
	gone := slices.Sorted(maps.Keys(list.lapsed))
	for _, id := range gone {
		list.remove(id)
	}
	return gone
}

// Upstreams returns all upstreams, ordered by id. The result is shared and must
// not be changed.
func (list *List) Upstreams() []Upstream {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	if list.ordered != nil && list.orderedAt == list.stamp {
		return list.ordered
	}
	ids := slices.Sorted(maps.Keys(list.upstreams))
	upstreams := make([]Upstream, 0, len(ids))
	for _, id := range ids {
		upstreams = append(upstreams, list.upstreams[id])
	}
	list.ordered, list.orderedAt = upstreams, list.stamp
	return upstreams
}

// Generation returns a number that grows with each change.
func (list *List) Generation() uint64 {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	return list.stamp
}
