package lora

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// completeLoad orders an adapter and, after took, reports it as the only
// resident one.
func completeLoad(planner *Planner, number int, took time.Duration) CompletedLoad {
	planner.RecordOrder(Order{Operation: Load, Model: "m", Adapter: adapter(number)})
	time.Sleep(took)
	completed := planner.Observe(EngineState{Models: []string{"m"}, Resident: adapters(number)})
	if len(completed) != 1 {
		return CompletedLoad{}
	}
	return completed[0]
}

// TestCacheCapacity guards against assuming that an engine's local cache holds
// more than it does: its capacity is learned from how long loads take.
func TestCacheCapacity(t *testing.T) {
	const (
		fromStore = 250 * time.Millisecond
		fromCache = 40 * time.Millisecond
	)
	tests := []struct {
		name   string
		guards string
		// reloads holds, for each adapter that is loaded again, whether it
		// loads at the speed of the local cache.
		reloads  []bool
		capacity int
	}{
		{"no reload", "a capacity learned although nothing was loaded again", nil, maxEvicted},
		{"all from the cache", "a small cache assumed without a slow load", []bool{true, true, true}, maxEvicted},
		{"store at once", "reliance on the cache of an engine that has none", []bool{false}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				planner := New(Config{})
				planner.Observe(EngineState{Models: []string{"m"}})
				for number := range 4 {
					if got := completeLoad(planner, number, fromStore); got.FromCache || got.Depth != NeverEvicted {
						t.Errorf("adapter %d loaded from the store as %+v", number, got)
					}
				}
				for number, cached := range test.reloads {
					took := fromStore
					if cached {
						took = fromCache
					}
					want := CompletedLoad{Adapter: adapter(number), Took: took, Depth: 2, FromCache: cached}
					if diff := cmp.Diff(want, completeLoad(planner, number, took)); diff != "" {
						t.Errorf("%s: load (-want +got):\n%s", test.guards, diff)
					}
				}
				if capacity := planner.CacheCapacity(); capacity != test.capacity {
					t.Errorf("%s: capacity %d, want %d", test.guards, capacity, test.capacity)
				}
			})
		})
	}
}

// TestCacheRestart guards against counting adapters as cached that the engine
// held before a restart.
func TestCacheRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planner := New(Config{})
		planner.Observe(EngineState{StartedAt: 1, Resident: adapters(1)})
		planner.Observe(EngineState{StartedAt: 1, Resident: adapters(2)})
		planner.Observe(EngineState{StartedAt: 2})
		if evicted := planner.Evicted(); len(evicted) > 0 {
			t.Errorf("%v counts as evicted after a restart", evicted)
		}
	})
}

func TestEvictionHistory(t *testing.T) {
	newer := Adapter{Name: "a1", Version: 2}
	tests := []struct {
		name     string
		guards   string
		resident [][]Adapter
		older    []Adapter
		want     []Adapter
		wanted   Adapter
		depth    int
	}{
		{
			name: "order", guards: "an old adapter taken for a recent one",
			resident: [][]Adapter{adapters(1, 2), adapters(2), nil}, want: adapters(1, 2), wanted: adapter(1), depth: 1,
		},
		{
			name: "evicted twice", guards: "one adapter counted as two",
			resident: [][]Adapter{adapters(1), adapters(2), adapters(1), nil}, want: adapters(2, 1), wanted: adapter(1), depth: 0,
		},
		{
			name: "newer version", guards: "an older version counted on by a request that needs the newest",
			resident: [][]Adapter{adapters(1), nil}, want: adapters(1), wanted: newer, depth: NeverEvicted,
		},
		{
			name: "replaced in its slot", guards: "a replaced version counted as evicted",
			resident: [][]Adapter{adapters(1), {newer}}, wanted: adapter(1), depth: NeverEvicted,
		},
		{
			name: "prepended", guards: "a restarted process that does not know of earlier evictions",
			resident: [][]Adapter{adapters(3), nil}, older: adapters(1, 2), want: adapters(1, 2, 3), wanted: adapter(2), depth: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			history := new(EvictionHistory)
			var previous []Adapter
			for _, current := range test.resident {
				history.Update(previous, current)
				previous = current
			}
			if test.older != nil {
				history.Prepend(test.older)
			}
			if diff := cmp.Diff(test.want, history.Evicted()); diff != "" {
				t.Errorf("%s: evicted (-want +got):\n%s", test.guards, diff)
			}
			if got := history.Depth(test.wanted); got != test.depth {
				t.Errorf("%s: depth %d, want %d", test.guards, got, test.depth)
			}
		})
	}
}
