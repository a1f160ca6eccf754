package slots

import (
	"cmp"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// Demand describes the requests that wait for an adapter.
type Demand struct {
	Ref             AdapterRef
	Class           conf.Class
	WaitingRequests int
	// OldestArrival is when the request that has waited the longest arrived.
	OldestArrival time.Time
}

// Order tells the engine to evict an adapter, unless Evict is zero, and then to
// load one, unless Load is zero.
type Order struct {
	Load  AdapterRef
	Evict AdapterRef
}

// Plan returns the orders to send to the engine now. The caller reports the end
// of each one that loads by LoadFinished or EvictionRefused. Demands include those
// for loaded adapters, whose eviction they defer.
func (table *Table) Plan(now time.Time, demands []Demand) []Order {
	orders, _ := table.PlanAtMost(now, demands, len(demands))
	return orders
}

// PlanAtMost is Plan with a maximum number of orders that load. It also reports
// whether the maximum held back a load.
func (table *Table) PlanAtMost(now time.Time, demands []Demand, maxLoads int) (orders []Order, more bool) {
	waiting := make(map[AdapterRef]bool, len(demands))
	wanted := demands[:0:0]
	for _, demand := range demands {
		if _, known := table.slots[demand.Ref]; known {
			waiting[demand.Ref] = true
		} else if !table.backingOff(now, demand.Ref) {
			wanted = append(wanted, demand)
		}
	}
	slices.SortFunc(wanted, func(left, right Demand) int { return table.compareDemands(now, left, right) })
	orders = table.evictExcess(now)
	if len(wanted) == 0 {
		table.stopDraining()
	}
	for _, demand := range wanted {
		if !table.limiter.allows(now) {
			break
		}
		if table.evicting[demand.Ref] > 0 {
			// The engine would keep the adapter for the load and then unload it.
			continue
		}
		overdue := table.overdue(now, demand)
		evict, ok := table.findSlot(now, waiting, overdue)
		if !ok {
			if overdue {
				table.drainSlot(now, waiting)
			}
			continue
		}
		if maxLoads--; maxLoads < 0 {
			return orders, true
		}
		delete(table.slots, evict)
		table.slots[demand.Ref] = &slot{loading: true, loadStarted: now, lastUsed: now}
		table.limiter.loadStarted()
		table.evictionStarted(evict)
		orders = append(orders, Order{Load: demand.Ref, Evict: evict})
	}
	return orders, false
}

// evictExcess evicts unused adapters while more are loaded than there are slots.
// That happens after Resize, and after orders whose replies were lost.
func (table *Table) evictExcess(now time.Time) []Order {
	var orders []Order
	for len(table.slots) > table.size {
		ref, ok := table.leastValuable(now, func(_ AdapterRef, slot *slot) bool { return slot.pins == 0 })
		if !ok {
			break
		}
		delete(table.slots, ref)
		table.evictionStarted(ref)
		orders = append(orders, Order{Evict: ref})
	}
	return orders
}

// overdue reports whether a demand has waited for the longest deferral.
func (table *Table) overdue(now time.Time, demand Demand) bool {
	return now.Sub(demand.OldestArrival) >= table.config.MaxLoadDeferral
}

// agePriorityFactor is the number of longest deferrals after which a demand's age
// takes precedence over its class and its number of waiting requests.
const agePriorityFactor = 8

// compareDemands orders demands by class, number of waiting requests and age, or
// by age alone if one of them has waited very long.
func (table *Table) compareDemands(now time.Time, left, right Demand) int {
	ageLimit := agePriorityFactor * table.config.MaxLoadDeferral
	if now.Sub(left.OldestArrival) >= ageLimit || now.Sub(right.OldestArrival) >= ageLimit {
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

// findSlot finds a slot for one more adapter. It returns the zero AdapterRef for a
// free slot, or else the least valuable unused adapter, which is to be evicted.
// Adapters with waiting requests are evicted only for an overdue demand.
func (table *Table) findSlot(now time.Time, waiting map[AdapterRef]bool, overdue bool) (AdapterRef, bool) {
	if len(table.slots) < table.size {
		return AdapterRef{}, true
	}
	if len(table.slots) > table.size {
		return AdapterRef{}, false
	}
	return table.leastValuable(now, func(ref AdapterRef, slot *slot) bool {
		return slot.pins == 0 && (overdue || slot.draining || !waiting[ref])
	})
}

// drainSlot makes the least valuable adapter in use admit no new pins. Otherwise
// a steady load on the loaded adapters could keep every slot pinned for ever. Only
// one slot drains at a time: draining up to half of them made the waits for loads
// half as long again against the engine simulator.
func (table *Table) drainSlot(now time.Time, waiting map[AdapterRef]bool) {
	for _, slot := range table.slots {
		if slot.draining {
			return
		}
	}
	ref, ok := table.leastValuable(now, func(ref AdapterRef, _ *slot) bool { return !waiting[ref] })
	if !ok {
		ref, ok = table.leastValuable(now, func(AdapterRef, *slot) bool { return true })
	}
	if ok {
		table.slots[ref].draining = true
	}
}

// stopDraining lets all slots admit new pins again, since no demand waits for a
// slot.
func (table *Table) stopDraining() {
	for _, slot := range table.slots {
		slot.draining = false
	}
}

// leastValuable returns the adapter with the lowest decayed use count among the
// eligible ones, and among equals the one that was used the longest ago.
func (table *Table) leastValuable(now time.Time, eligible func(AdapterRef, *slot) bool) (AdapterRef, bool) {
	var best AdapterRef
	var bestSlot *slot
	for ref, slot := range table.slots {
		if slot.loading || slot.keepUntil.After(now) || !eligible(ref, slot) {
			continue
		}
		if bestSlot == nil || table.less(now, ref, slot, best, bestSlot) {
			best, bestSlot = ref, slot
		}
	}
	return best, bestSlot != nil
}

// less reports whether an adapter is less valuable than the best one so far.
func (table *Table) less(now time.Time, ref AdapterRef, slot *slot, best AdapterRef, bestSlot *slot) bool {
	return cmp.Or(
		cmp.Compare(slot.value(now, table.config.HalfLife), bestSlot.value(now, table.config.HalfLife)),
		slot.lastUsed.Compare(bestSlot.lastUsed),
		compareRefs(ref, best),
	) < 0
}
