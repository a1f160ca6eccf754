package picker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// dropping is a report of an engine that dropped the adapters.
func dropping(serial uint64, backlog int64, adapters ...lora.Adapter) Report {
	told := report(serial, backlog)
	told.CacheCapacity, told.Dropped = 128, adapters
	return told
}

func TestRecaller(t *testing.T) {
	older := lora.Adapter{Name: wanted.Name, Version: 1}
	full := dropping(1, 0, wanted)
	full.FreeAdapterSlots = 0
	short := dropping(1, 0, wanted, lora.Adapter{Name: "a7"})
	short.CacheCapacity = 1
	tests := []struct {
		name    string
		guards  string
		reports []Report
		result  Result
		id      string
	}{
		{
			name: "before a fetch", guards: "an adapter fetched from the store although an engine recalls it",
			reports: []Report{report(1, 0), report(1, 0), dropping(1, 2000, wanted), report(1, 0)}, result: AdapterMissing, id: "i-2",
		},
		{
			name: "after a holder", guards: "an adapter brought back beside an engine that holds it",
			reports: []Report{report(1, 500, wanted), dropping(1, 0, wanted)}, result: Found, id: "i-0",
		},
		{
			name: "before a crowded holder", guards: "a wait that a quick recall elsewhere saves",
			reports: []Report{report(1, 6000, wanted), dropping(1, 0, wanted)}, result: AdapterMissing, id: "i-1",
		},
		{
			name: "crowded itself", guards: "a wait longer than a fetch to an idle engine",
			reports: []Report{report(1, 0), dropping(1, 9000, wanted)}, result: AdapterMissing, id: "i-0",
		},
		{
			name: "older version", guards: "a version that was replaced counted as recalled",
			reports: []Report{dropping(1, 3000, older), report(1, 0, wanted)}, result: Found, id: "i-1",
		},
		{
			name: "no place", guards: "an engine whose places are all in use",
			reports: []Report{full, report(1, 0)}, result: AdapterMissing, id: "i-1",
		},
		{
			name: "out of reach", guards: "an adapter that the engine has to fetch as well",
			reports: []Report{short, report(1, 0, wanted)}, result: Found, id: "i-1",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := newBoard(test.reports...).Choose(need())
				if got.Result != test.result || got.Upstream.ID != test.id {
					t.Errorf("%s: %v at %s, want %v at %s", test.guards, got.Result, got.Upstream.ID, test.result, test.id)
				}
			})
		})
	}
}

// store is a fleet of engines whose adapters come from one store.
type store struct {
	places  int
	engines []*shelf
	serial  uint64
	fetched int
}

// shelf is what one engine holds, the adapter used last at the end, and what it
// held since its start.
type shelf struct {
	held []lora.Adapter
	ever map[string]bool
}

// serve has an adapter used at an engine.
func (store *store) serve(number int, adapter lora.Adapter) {
	shelf := store.engines[number]
	shelf.held = slices.DeleteFunc(shelf.held, func(held lora.Adapter) bool { return held == adapter })
	if !shelf.ever[adapter.Name] {
		store.fetched++
		shelf.ever[adapter.Name] = true
	}
	shelf.held = append(shelf.held, adapter)
	shelf.held = slices.Clone(shelf.held[max(len(shelf.held)-store.places, 0):])
}

func (store *store) tell(board *Picker, random *rand.Rand) {
	for number, shelf := range store.engines {
		store.serial++
		told := report(store.serial, random.Int64N(6000), shelf.held...)
		told.CacheCapacity = 128
		board.RecordReport(engine(number).ID, told)
	}
}

// TestReturningDemand plays the days of ctpl-front: a few hundred adapters are
// asked for by turns over places for a quarter of them, and demand moves away
// and returns. An engine that held an adapter brings it back by itself, so the
// store should bring hardly more than each adapter once.
func TestReturningDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(7, 7))
		fleetOf := &store{places: 5}
		board := New(Config{})
		var listed []fleet.Upstream
		for number := range 18 {
			listed = append(listed, engine(number))
			fleetOf.engines = append(fleetOf.engines, &shelf{ever: make(map[string]bool)})
		}
		board.SetUpstreams(listed)
		zipf := rand.NewZipf(random, 1.1, 4, 399)
		different := make(map[string]bool)
		for step := range 4000 {
			fleetOf.tell(board, random)
			shift := step / 500 % 3 * 130
			adapter := lora.Adapter{Name: fmt.Sprint("a", (int(zipf.Uint64())+shift)%400)}
			different[adapter.Name] = true
			choice := board.Choose(Request{Service: "advisor", Engine: true, Adapter: adapter, KVTokens: 1600})
			number := slices.IndexFunc(listed, func(upstream fleet.Upstream) bool { return upstream.ID == choice.Upstream.ID })
			if number < 0 {
				t.Fatalf("step %d: %v", step, choice.Result)
			}
			fleetOf.serve(number, adapter)
			time.Sleep(10 * time.Millisecond)
		}
		if most := len(different) * 5 / 4; fleetOf.fetched > most {
			t.Errorf("%d fetches for %d different adapters, want at most %d", fleetOf.fetched, len(different), most)
		}
	})
}

// TestMemoryOfStart guards against a restart of an engine after which it is
// thought to bring back what it held before.
func TestMemoryOfStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := newBoard(dropping(1, 0, wanted), report(1, 0))
		again := report(1, 0)
		again.StartedAt, again.CacheCapacity = 2000, 128
		moved := engine(0)
		moved.StartedAt = 2000
		board.SetUpstreams([]fleet.Upstream{moved, engine(1)})
		board.RecordReport("i-0", again)
		if diff := cmp.Diff(lora.NeverEvicted, board.upstreams["i-0"].memory.Depth(wanted)); diff != "" {
			t.Errorf("depth (-want +got):\n%s", diff)
		}
	})
}
