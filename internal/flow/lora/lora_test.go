package lora

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

const slots = 4

func adapter(number int) Adapter { return Adapter{Name: fmt.Sprint("a", number), Version: 1} }

func adapters(numbers ...int) []Adapter {
	list := make([]Adapter, 0, len(numbers))
	for _, number := range numbers {
		list = append(list, adapter(number))
	}
	return list
}

func waiting(number, count int) AdapterUse {
	return AdapterUse{Adapter: adapter(number), Waiting: count}
}

func running(number, count int) AdapterUse {
	return AdapterUse{Adapter: adapter(number), Running: count}
}

func TestNext(t *testing.T) {
	tests := []struct {
		name             string
		guards           string
		engine           EngineState
		uses             []AdapterUse
		pendingElsewhere int
		want             Order
		none             bool
	}{
		{
			name: "model first", guards: "adapters ordered at an engine that restarted empty",
			engine: EngineState{Sequence: 3}, uses: []AdapterUse{waiting(1, 1)},
			want: Order{Operation: Load, Model: "m", Sequence: 3},
		},
		{
			name: "most waiting first", guards: "a rare adapter in front of a popular one after a cold start",
			engine: EngineState{Models: []string{"m"}}, uses: []AdapterUse{waiting(1, 1), waiting(2, 3)},
			want: Order{Operation: Load, Model: "m", Adapter: adapter(2)},
		},
		{
			name: "bound first", guards: "streams that only engines of their version can continue wait behind new ones, which others can begin",
			engine: EngineState{Models: []string{"m"}},
			uses:   []AdapterUse{waiting(1, 3), {Adapter: adapter(2), Waiting: 1, Bound: 1}},
			want:   Order{Operation: Load, Model: "m", Adapter: adapter(2)},
		},
		{
			name: "full", guards: "a load without a free slot, which crashes the engine",
			engine: EngineState{Models: []string{"m"}, Resident: adapters(1, 2, 3, 4)}, uses: []AdapterUse{waiting(5, 1), running(1, 1), running(2, 1), running(3, 1)},
			want: Order{Operation: Unload, Model: "m", Adapter: adapter(4)},
		},
		{
			name: "full with one pending", guards: "a pending adapter that is not counted",
			engine: EngineState{Models: []string{"m"}, Resident: adapters(1, 2, 3), Pending: adapters(4)}, uses: []AdapterUse{waiting(5, 1), running(1, 1), running(2, 1)},
			want: Order{Operation: Unload, Model: "m", Adapter: adapter(3)},
		},
		{
			name: "all in use", guards: "eviction of an adapter in use",
			engine: EngineState{Models: []string{"m"}, Resident: adapters(1, 2, 3, 4)}, uses: []AdapterUse{waiting(5, 1), running(1, 1), running(2, 1), running(3, 1), waiting(4, 1)},
			none: true,
		},
		{
			name: "older version", guards: "a request that waits forever for a version that was announced",
			engine: EngineState{Models: []string{"m"}, Resident: adapters(1, 2, 3, 4)},
			uses:   []AdapterUse{{Adapter: Adapter{Name: "a1", Version: 2}, Waiting: 1}},
			want:   Order{Operation: Load, Model: "m", Adapter: Adapter{Name: "a1", Version: 2}},
		},
		{
			name: "two versions", guards: "an earlier version that an entry instance behind the others wants, loaded after the newest one",
			engine: EngineState{Models: []string{"m"}},
			uses: []AdapterUse{
				{Adapter: Adapter{Name: "a1", Version: 1}, Waiting: 3}, {Adapter: Adapter{Name: "a1", Version: 2}, Waiting: 1}, waiting(2, 2),
			},
			want: Order{Operation: Load, Model: "m", Adapter: Adapter{Name: "a1", Version: 2}},
		},
		{
			name: "pending", guards: "an adapter ordered twice",
			engine: EngineState{Models: []string{"m"}, Pending: adapters(1)}, uses: []AdapterUse{waiting(1, 1)}, none: true,
		},
		{
			name: "busy", guards: "orders that a busy engine refuses",
			engine: EngineState{Models: []string{"m"}, Busy: true}, uses: []AdapterUse{waiting(1, 1)}, none: true,
		},
		{
			name: "store busy", guards: "48 pending loads after a cold start, each six times as slow",
			engine: EngineState{Models: []string{"m"}, Pending: adapters(2)}, uses: []AdapterUse{waiting(1, 1)}, pendingElsewhere: 8, none: true,
		},
		{
			name: "store free", guards: "an engine that loads one at a time although the store is idle",
			engine: EngineState{Models: []string{"m"}, Pending: adapters(2)}, uses: []AdapterUse{waiting(1, 1)}, pendingElsewhere: 3,
			want: Order{Operation: Load, Model: "m", Adapter: adapter(1)},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				planner := New(Config{})
				planner.Observe(test.engine)
				planner.SetDemand(Demand{Entry: "entry", Model: "m", Slots: slots, PendingElsewhere: test.pendingElsewhere, Uses: test.uses})
				got, ok := planner.Next()
				if ok == test.none {
					t.Fatalf("%s: order returned %v: %v", test.guards, ok, got)
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("%s: order (-want +got):\n%s", test.guards, diff)
				}
			})
		})
	}
}

// TestOverdue simulates the cold start of the scenario scale-1, where more adapters
// are needed than the weight store delivers in time. If the oldest went first,
// all requests would be late, so adapters with requests that can still meet
// their response-time goal come first.
func TestOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planner := New(Config{})
		planner.Observe(EngineState{Models: []string{"m"}})
		old := waiting(1, 2)
		planner.SetDemand(Demand{Entry: "entry", Model: "m", Slots: slots, Uses: []AdapterUse{old}})
		time.Sleep(time.Second)
		old.Late = old.Waiting
		planner.SetDemand(Demand{Entry: "entry", Model: "m", Slots: slots, Uses: []AdapterUse{old, waiting(2, 1)}})
		order, _ := planner.Next()
		if diff := cmp.Diff(adapter(2), order.Adapter); diff != "" {
			t.Errorf("adapter (-want +got):\n%s", diff)
		}
		planner.Observe(EngineState{Models: []string{"m"}, Resident: adapters(2)})
		order, _ = planner.Next()
		if diff := cmp.Diff(adapter(1), order.Adapter); diff != "" {
			t.Errorf("adapter when nothing else waits (-want +got):\n%s", diff)
		}
	})
}

// TestSilentEntry guards against keeping adapters resident for an entry
// instance that was killed.
func TestSilentEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		planner := New(Config{})
		planner.Observe(EngineState{Models: []string{"m"}, Resident: adapters(1, 2, 3, 4)})
		planner.SetDemand(Demand{Entry: "dead", Model: "m", Slots: slots, Uses: []AdapterUse{running(1, 1), running(2, 1), running(3, 1), running(4, 1)}})
		time.Sleep(DefaultDemandTimeout + time.Millisecond)
		planner.SetDemand(Demand{Entry: "entry", Model: "m", Slots: slots, Uses: []AdapterUse{waiting(5, 1)}})
		order, ok := planner.Next()
		if !ok || order.Operation != Unload {
			t.Errorf("got %v %v, want an unload", order, ok)
		}
	})
}

// unreliableEngine executes some orders without answering, some of them later.
type unreliableEngine struct {
	EngineState
	random  *rand.Rand
	delayed []Order
	maxHeld int
}

// receive takes an order and reports whether the engine answers it.
func (engine *unreliableEngine) receive(order Order) bool {
	switch engine.random.IntN(4) {
	case 0:
		return false
	case 1:
		engine.delayed = append(engine.delayed, order)
		return false
	default:
		engine.execute(order)
		return engine.random.IntN(4) > 0
	}
}

func (engine *unreliableEngine) execute(order Order) {
	if order.Sequence != engine.Sequence {
		return
	}
	engine.Sequence++
	if order.Operation == Unload {
		engine.Resident = slices.DeleteFunc(slices.Clone(engine.Resident), func(held Adapter) bool { return held == order.Adapter })
		return
	}
	engine.Pending = append(slices.Clone(engine.Pending), order.Adapter)
	engine.maxHeld = max(engine.maxHeld, len(engine.Resident)+len(engine.Pending))
}

func (engine *unreliableEngine) step() {
	if len(engine.Pending) > 0 && engine.random.IntN(3) == 0 {
		engine.Resident = append(slices.Clone(engine.Resident), engine.Pending[0])
		engine.Pending = slices.Clone(engine.Pending[1:])
	}
	if len(engine.delayed) > 0 && engine.random.IntN(8) == 0 {
		engine.execute(engine.delayed[0])
		engine.delayed = engine.delayed[1:]
	}
}

// TestLateOrders simulates orders that get no answer and are executed later, as
// under high load. The engine must never hold more adapters than it has slots,
// and must go on loading the adapters that requests wait for.
func TestLateOrders(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			engine := &unreliableEngine{EngineState: EngineState{Models: []string{"m"}}, random: rand.New(rand.NewPCG(seed, 1))}
			planner := New(Config{})
			served := 0
			for round := range 2000 {
				planner.Observe(engine.EngineState)
				planner.SetDemand(Demand{Entry: "entry", Model: "m", Slots: slots, Uses: []AdapterUse{waiting(round/50, 1)}})
				if order, ok := planner.Next(); ok {
					engine.receive(order)
				}
				engine.step()
				if slices.Contains(engine.Resident, adapter(round/50)) {
					served++
				}
				time.Sleep(20 * time.Millisecond)
			}
			if engine.maxHeld > slots {
				t.Errorf("seed %d: %d adapters in %d slots", seed, engine.maxHeld, slots)
			}
			if served < 1000 {
				t.Errorf("seed %d: the adapter needed was resident in %d of 2,000 rounds", seed, served)
			}
		})
	}
}
