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

// evicting returns the report of an engine that has evicted the adapters and
// keeps them in its local cache.
func evicting(serial uint64, backlog int64, adapters ...lora.Adapter) Report {
	evicted := report(serial, backlog)
	evicted.CacheCapacity, evicted.Evicted = 128, adapters
	return evicted
}

// TestReload checks when an engine that can reload an adapter from its local
// cache is preferred to one that has it, and to a fetch from the weight store.
func TestReload(t *testing.T) {
	older := lora.Adapter{Name: wanted.Name, Version: 1}
	full := evicting(1, 0, wanted)
	full.FreeAdapterSlots = 0
	smallCache := evicting(1, 0, wanted, lora.Adapter{Name: "a7"})
	smallCache.CacheCapacity = 1
	tests := []struct {
		name    string
		guards  string
		reports []Report
		result  Result
		id      string
	}{
		{
			name: "before a fetch", guards: "an adapter fetched from the weight store although an engine can reload it",
			reports: []Report{report(1, 0), report(1, 0), evicting(1, 2000, wanted), report(1, 0)}, result: AdapterMissing, id: "i-2",
		},
		{
			name: "after a holder", guards: "an adapter reloaded although another engine has it",
			reports: []Report{report(1, 500, wanted), evicting(1, 0, wanted)}, result: Found, id: "i-0",
		},
		{
			name: "before a busy holder", guards: "a wait that a quick reload elsewhere saves",
			reports: []Report{report(1, 6000, wanted), evicting(1, 0, wanted)}, result: AdapterMissing, id: "i-1",
		},
		{
			name: "busy itself", guards: "a wait longer than a fetch to an idle engine",
			reports: []Report{report(1, 0), evicting(1, 9000, wanted)}, result: AdapterMissing, id: "i-0",
		},
		{
			name: "older version", guards: "a replaced version counted as one that can be reloaded",
			reports: []Report{evicting(1, 3000, older), report(1, 0, wanted)}, result: Found, id: "i-1",
		},
		{
			name: "no free slot", guards: "an engine whose adapter slots are all in use",
			reports: []Report{full, report(1, 0)}, result: AdapterMissing, id: "i-1",
		},
		{
			name: "beyond the cache", guards: "an adapter that the engine would have to fetch as well",
			reports: []Report{smallCache, report(1, 0, wanted)}, result: Found, id: "i-1",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := newPicker(test.reports...).Choose(newRequest())
				if got.Result != test.result || got.Upstream.ID != test.id {
					t.Errorf("%s: %v at %s, want %v at %s", test.guards, got.Result, got.Upstream.ID, test.result, test.id)
				}
			})
		})
	}
}

// testFleet is a set of engines that fetch their adapters from one weight
// store.
type testFleet struct {
	adapterSlots int
	engines      []*testEngine
	serial       uint64
	fetches      int
}

// testEngine holds adapters, the one used last at the end, and the names of
// those that it has held since its start.
type testEngine struct {
	resident []lora.Adapter
	known    map[string]bool
}

// use uses an adapter at an engine, which fetches it if it never held it.
func (testFleet *testFleet) use(number int, adapter lora.Adapter) {
	testEngine := testFleet.engines[number]
	testEngine.resident = slices.DeleteFunc(testEngine.resident, func(held lora.Adapter) bool { return held == adapter })
	if !testEngine.known[adapter.Name] {
		testFleet.fetches++
		testEngine.known[adapter.Name] = true
	}
	testEngine.resident = append(testEngine.resident, adapter)
	testEngine.resident = slices.Clone(testEngine.resident[max(len(testEngine.resident)-testFleet.adapterSlots, 0):])
}

// report sends the picker a report of each engine with a random backlog.
func (testFleet *testFleet) report(picker *Picker, random *rand.Rand) {
	for number, testEngine := range testFleet.engines {
		testFleet.serial++
		next := report(testFleet.serial, random.Int64N(6000), testEngine.resident...)
		next.CacheCapacity = 128
		picker.RecordReport(engine(number).ID, next)
	}
}

// TestReturningDemand guards against repeated fetches when demand moves away
// from adapters and returns, as in scenario ctpl-front: a few hundred adapters
// compete for slots for a quarter of them. An engine can reload an adapter that
// it had before from its local cache, so the weight store should send each
// adapter little more than once.
func TestReturningDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(7, 7))
		simulated := &testFleet{adapterSlots: 5}
		picker := New(Config{})
		var listed []fleet.Upstream
		for number := range 18 {
			listed = append(listed, engine(number))
			simulated.engines = append(simulated.engines, &testEngine{known: make(map[string]bool)})
		}
		picker.SetUpstreams(listed)
		zipf := rand.NewZipf(random, 1.1, 4, 399)
		different := make(map[string]bool)
		for step := range 4000 {
			simulated.report(picker, random)
			shift := step / 500 % 3 * 130
			adapter := lora.Adapter{Name: fmt.Sprint("a", (int(zipf.Uint64())+shift)%400)}
			different[adapter.Name] = true
			choice := picker.Choose(Request{Service: "advisor", Engine: true, Adapter: adapter, KVTokens: 1600})
			number := slices.IndexFunc(listed, func(upstream fleet.Upstream) bool { return upstream.ID == choice.Upstream.ID })
			if number < 0 {
				t.Fatalf("step %d: %v", step, choice.Result)
			}
			simulated.use(number, adapter)
			time.Sleep(10 * time.Millisecond)
		}
		if most := len(different) * 5 / 4; simulated.fetches > most {
			t.Errorf("%d fetches for %d different adapters, want at most %d", simulated.fetches, len(different), most)
		}
	})
}

// TestReloadAfterRestart guards against a restarted engine that is expected to
// reload what it had before the restart from its local cache.
func TestReloadAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		picker := newPicker(evicting(1, 0, wanted), report(1, 0))
		restarted := report(1, 0)
		restarted.StartedAt, restarted.CacheCapacity = 2000, 128
		listed := engine(0)
		listed.StartedAt = 2000
		picker.SetUpstreams([]fleet.Upstream{listed, engine(1)})
		picker.RecordReport("i-0", restarted)
		if diff := cmp.Diff(lora.NeverEvicted, picker.upstreams["i-0"].evicted.Depth(wanted)); diff != "" {
			t.Errorf("depth (-want +got):\n%s", diff)
		}
	})
}
