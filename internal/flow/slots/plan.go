package slots

import (
	"cmp"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// Demand tells how many requests wait for an adapter.
type Demand struct {
	Ref             AdapterRef
	Class           model.Class
	WaitingRequests int
	// OldestArrival is the arrival of the longest-waiting request.
	OldestArrival time.Time
}

// Order asks the engine for a load, after the eviction of Evict if it is set.
// An order without Load only evicts and is not answered by Finish.
type Order struct {
	Load  AdapterRef
	Evict AdapterRef
}

// Plan returns the orders to give to the engine now. Each is answered by one
// call of Finish. Demands name loaded adapters too, whose waiting requests
// put off their eviction.
func (table *Table) Plan(now time.Time, demands []Demand) []Order {
	orders, _ := table.PlanAtMost(now, demands, len(demands))
	return orders
}

// PlanAtMost is Plan with a bound on the orders that load, and reports whether
// the bound held one back.
func (table *Table) PlanAtMost(now time.Time, demands []Demand, most int) (orders []Order, more bool) {
	waiting := make(map[AdapterRef]bool, len(demands))
	wanted := demands[:0:0]
	for _, demand := range demands {
		if _, known := table.slots[demand.Ref]; known {
			waiting[demand.Ref] = true
		} else if !table.backingOff(now, demand.Ref) {
			wanted = append(wanted, demand)
		}
	}
	slices.SortFunc(wanted, func(left, right Demand) int { return table.compare(now, left, right) })
	orders = table.trim(now)
	if len(wanted) == 0 {
		table.reopen()
	}
	for _, demand := range wanted {
		if !table.throttle.allows(now) {
			break
		}
		late := table.late(now, demand)
		evict, ok := table.room(now, waiting, late)
		if !ok {
			if late {
				table.close(now, waiting)
			}
			continue
		}
		if most--; most < 0 {
			return orders, true
		}
		delete(table.slots, evict)
		table.slots[demand.Ref] = &slot{loading: true, started: now, lastUsed: now}
		table.throttle.start()
		orders = append(orders, Order{Load: demand.Ref, Evict: evict})
	}
	return orders, false
}

// trim evicts what the engine holds beyond its slots, which can be seen after
// orders whose replies were lost.
func (table *Table) trim(now time.Time) []Order {
	var orders []Order
	for len(table.slots) > table.size {
		ref, ok := table.least(now, func(_ AdapterRef, slot *slot) bool { return slot.pins == 0 })
		if !ok {
			break
		}
		delete(table.slots, ref)
		orders = append(orders, Order{Evict: ref})
	}
	return orders
}

// late reports whether a demand has been put off long enough.
func (table *Table) late(now time.Time, demand Demand) bool {
	return now.Sub(demand.OldestArrival) >= table.config.MaxLoadDeferral
}

// lateFactor is how many deferrals a demand waits before its age alone puts it
// before demands with more waiting requests.
const lateFactor = 8

// compare orders demands by class, waiting requests and age.
func (table *Table) compare(now time.Time, left, right Demand) int {
	overdue := lateFactor * table.config.MaxLoadDeferral
	if now.Sub(left.OldestArrival) >= overdue || now.Sub(right.OldestArrival) >= overdue {
		if order := left.OldestArrival.Compare(right.OldestArrival); order != 0 {
			return order
		}
	}
	return cmp.Or(
		cmp.Compare(left.Class, right.Class),
		cmp.Compare(right.WaitingRequests, left.WaitingRequests),
		left.OldestArrival.Compare(right.OldestArrival),
		compareRefs(left.Ref, right.Ref),
	)
}

func compareRefs(left, right AdapterRef) int {
	return cmp.Or(cmp.Compare(left.Adapter, right.Adapter), cmp.Compare(left.Version, right.Version))
}

// room finds a place for one more adapter: a free slot, or the least valuable
// adapter that is not in use. Adapters with waiting requests are evicted only
// for a late demand.
func (table *Table) room(now time.Time, waiting map[AdapterRef]bool, late bool) (AdapterRef, bool) {
	if len(table.slots) < table.size {
		return AdapterRef{}, true
	}
	if len(table.slots) > table.size {
		return AdapterRef{}, false
	}
	return table.least(now, func(ref AdapterRef, slot *slot) bool {
		return slot.pins == 0 && (late || slot.closing || !waiting[ref])
	})
}

// close stops new pins of the least valuable adapter in use, unless enough
// slots are closing. Without it, a steady load on the loaded adapters would
// keep every slot pinned for ever. One slot closes at a time: closing up to half
// of them raised the waits for loads by half against the engine stand-in.
func (table *Table) close(now time.Time, waiting map[AdapterRef]bool) {
	for _, slot := range table.slots {
		if slot.closing {
			return
		}
	}
	ref, ok := table.least(now, func(ref AdapterRef, _ *slot) bool { return !waiting[ref] })
	if !ok {
		ref, ok = table.least(now, func(AdapterRef, *slot) bool { return true })
	}
	if ok {
		table.slots[ref].closing = true
	}
}

// reopen admits new pins everywhere once nothing waits for a slot.
func (table *Table) reopen() {
	for _, slot := range table.slots {
		slot.closing = false
	}
}

// least returns the adapter of least value among those that may go: by decayed
// use, then by oldest use.
func (table *Table) least(now time.Time, may func(AdapterRef, *slot) bool) (AdapterRef, bool) {
	var best AdapterRef
	var bestSlot *slot
	for ref, slot := range table.slots {
		if slot.loading || slot.keep.After(now) || !may(ref, slot) {
			continue
		}
		if bestSlot == nil || table.less(now, ref, slot, best, bestSlot) {
			best, bestSlot = ref, slot
		}
	}
	return best, bestSlot != nil
}

func (table *Table) less(now time.Time, ref AdapterRef, slot *slot, best AdapterRef, bestSlot *slot) bool {
	return cmp.Or(
		cmp.Compare(slot.value(now, table.config.HalfLife), bestSlot.value(now, table.config.HalfLife)),
		slot.lastUsed.Compare(bestSlot.lastUsed),
		compareRefs(ref, best),
	) < 0
}
