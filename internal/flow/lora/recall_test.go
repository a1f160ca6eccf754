package lora

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// bring orders an adapter at an engine of one place and reports it after a time.
func bring(planner *Planner, number int, took time.Duration) CompletedLoad {
	planner.RecordOrder(Order{Operation: Load, Model: "m", Adapter: adapter(number)})
	time.Sleep(took)
	arrivals := planner.Observe(EngineState{Models: []string{"m"}, Resident: adapters(number)})
	if len(arrivals) != 1 {
		return CompletedLoad{}
	}
	return arrivals[0]
}

// TestRecall guards against relying on an engine to bring back more than it can:
// how far its memory reaches is learned from how long adapters take.
func TestRecall(t *testing.T) {
	const (
		slow  = 250 * time.Millisecond
		quick = 40 * time.Millisecond
	)
	tests := []struct {
		name   string
		guards string
		// again holds, for each adapter that is asked for again, whether the
		// engine brings it back quickly.
		again []bool
		reach int
	}{
		{"nothing seen", "an engine that is never asked to recall", nil, mostDropped},
		{"all quick", "a short memory assumed without a sign of it", []bool{true, true, true}, mostDropped},
		{"slow at once", "an engine without a memory that is relied on", []bool{false}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				planner := New(Config{})
				planner.Observe(EngineState{Models: []string{"m"}})
				for number := range 4 {
					if got := bring(planner, number, slow); got.FromCache || got.Depth != NeverEvicted {
						t.Errorf("adapter %d came as %+v from the store", number, got)
					}
				}
				for number, isQuick := range test.again {
					took := slow
					if isQuick {
						took = quick
					}
					want := CompletedLoad{Adapter: adapter(number), Took: took, Depth: 2, FromCache: isQuick}
					if diff := cmp.Diff(want, bring(planner, number, took)); diff != "" {
						t.Errorf("%s: arrival (-want +got):\n%s", test.guards, diff)
					}
				}
				if reach := planner.CacheCapacity(); reach != test.reach {
					t.Errorf("%s: reach %d, want %d", test.guards, reach, test.reach)
				}
			})
		})
	}
}

// TestRecallRestart guards against counting on what an engine held before it
// restarted empty.
func TestRecallRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planner := New(Config{})
		planner.Observe(EngineState{StartedAt: 1, Resident: adapters(1)})
		planner.Observe(EngineState{StartedAt: 1, Resident: adapters(2)})
		planner.Observe(EngineState{StartedAt: 2})
		if dropped := planner.Evicted(); len(dropped) > 0 {
			t.Errorf("%v counts as dropped after a restart", dropped)
		}
	})
}

func TestMemory(t *testing.T) {
	newer := Adapter{Name: "a1", Version: 2}
	tests := []struct {
		name   string
		guards string
		follow [][]Adapter
		over   []Adapter
		want   []Adapter
		of     Adapter
		depth  int
	}{
		{
			name: "order", guards: "an old adapter taken for a recent one",
			follow: [][]Adapter{adapters(1, 2), adapters(2), nil}, want: adapters(1, 2), of: adapter(1), depth: 1,
		},
		{
			name: "dropped twice", guards: "one adapter counted as two",
			follow: [][]Adapter{adapters(1), adapters(2), adapters(1), nil}, want: adapters(2, 1), of: adapter(1), depth: 0,
		},
		{
			name: "newer version", guards: "an older version brought back for a request that needs the newest",
			follow: [][]Adapter{adapters(1), nil}, want: adapters(1), of: newer, depth: NeverEvicted,
		},
		{
			name: "replaced in place", guards: "a version that was replaced counted as dropped",
			follow: [][]Adapter{adapters(1), {newer}}, of: adapter(1), depth: NeverEvicted,
		},
		{
			name: "taken over", guards: "a restarted process that has all fetched again",
			follow: [][]Adapter{adapters(3), nil}, over: adapters(1, 2), want: adapters(1, 2, 3), of: adapter(2), depth: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			memory := new(EvictionHistory)
			var held []Adapter
			for _, now := range test.follow {
				memory.Update(held, now)
				held = now
			}
			if test.over != nil {
				memory.Prepend(test.over)
			}
			if diff := cmp.Diff(test.want, memory.Dropped()); diff != "" {
				t.Errorf("%s: dropped (-want +got):\n%s", test.guards, diff)
			}
			if got := memory.Depth(test.of); got != test.depth {
				t.Errorf("%s: depth %d, want %d", test.guards, got, test.depth)
			}
		})
	}
}
