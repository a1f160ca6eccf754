package lora

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/order"
)

// weighing returns the use of an adapter that requests of one priority wait for.
func weighing(number, count, late, priority int) AdapterUse {
	weight := order.Weight(priority, 0)
	return AdapterUse{Adapter: adapter(number), Waiting: count, Late: late, Weight: (count - late) * weight, LateWeight: late * weight}
}

// TestWeights checks which adapter is loaded first where priorities differ; each
// case says which failure it guards against.
func TestWeights(t *testing.T) {
	tests := []struct {
		name, guards string
		uses         []AdapterUse
		waited       time.Duration
		loads        int
		want         Adapter
	}{
		{
			name: "urgent", guards: "an adapter of more but less urgent requests before one of urgent ones",
			uses: []AdapterUse{weighing(1, 3, 0, 2), weighing(2, 1, 0, 0)}, want: adapter(2),
		},
		{
			name: "its turn", guards: "an adapter of less urgent requests that is never loaded",
			uses: []AdapterUse{weighing(1, 1, 1, 2), weighing(2, 1, 0, 0)}, waited: oldestAfter, loads: oldestTurn - 1, want: adapter(1),
		},
		{
			name: "before its turn", guards: "late requests that make all others late",
			uses: []AdapterUse{weighing(1, 1, 1, 2), weighing(2, 1, 0, 0)}, waited: oldestAfter, loads: oldestTurn - 2, want: adapter(2),
		},
		{
			name: "equal priorities", guards: "another order than by the number of requests where all are equal",
			uses: []AdapterUse{weighing(1, 1, 1, 2), weighing(2, 2, 0, 2)}, waited: oldestAfter, loads: oldestTurn, want: adapter(2),
		},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			planner := New(Config{})
			planner.Observe(EngineState{Models: []string{"m"}})
			planner.SetDemand(Demand{Entry: "entry", Model: "m", Slots: slots, Uses: test.uses[:1]})
			for range test.loads {
				planner.RecordOrder(Order{Operation: Load, Model: "m", Adapter: adapter(9)})
			}
			time.Sleep(test.waited)
			planner.SetDemand(Demand{Entry: "entry", Model: "m", Slots: slots, Uses: test.uses})
			order, _ := planner.Next()
			if diff := cmp.Diff(test.want, order.Adapter); diff != "" {
				t.Errorf("%s: guards against %s: adapter (-want +got):\n%s", test.name, test.guards, diff)
			}
		})
	}
}

// TestOldestTurn guards against an adapter of less urgent requests that is never loaded
// while those of urgent ones are waited for as long as well.
func TestOldestTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planner := New(Config{})
		planner.Observe(EngineState{Models: []string{"m"}})
		uses := []AdapterUse{weighing(1, 1, 1, 2)}
		demand := func() { planner.SetDemand(Demand{Entry: "entry", Model: "m", Slots: slots, Uses: uses}) }
		demand()
		time.Sleep(time.Millisecond)
		for number := 2; number <= 2+oldestTurn; number++ {
			uses = append(uses, weighing(number, 1, 1, 0))
		}
		demand()
		time.Sleep(oldestAfter)
		demand()
		var loaded []Adapter
		for range oldestTurn {
			order, _ := planner.Next()
			planner.RecordOrder(order)
			loaded = append(loaded, order.Adapter)
			uses = slices.DeleteFunc(slices.Clone(uses), func(use AdapterUse) bool { return use.Adapter == order.Adapter })
			demand()
		}
		if diff := cmp.Diff([]Adapter{adapter(2), adapter(3), adapter(4), adapter(1)}, loaded); diff != "" {
			t.Errorf("loaded (-want +got):\n%s", diff)
		}
	})
}
