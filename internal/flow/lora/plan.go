package lora

import (
	"slices"
	"time"
)

// Next returns the order to send now, if there is one.
func (planner *Planner) Next() (Order, bool) {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	planner.expireDemands()
	if !planner.reported || planner.engine.Busy {
		return Order{}, false
	}
	model, slots := planner.target()
	if model == "" {
		return Order{}, false
	}
	if !slices.Contains(planner.engine.Models, model) {
		return planner.newOrder(Load, model, Adapter{})
	}
	return planner.adapterOrder(model, slots)
}

func (planner *Planner) newOrder(operation Operation, model string, adapter Adapter) (Order, bool) {
	return Order{Operation: operation, Model: model, Adapter: adapter, Sequence: planner.engine.Sequence}, true
}

// adapterOrder returns the order that loads the next adapter, or one that frees
// a slot for it.
func (planner *Planner) adapterOrder(model string, slots int) (Order, bool) {
	if !planner.mayLoad() {
		return Order{}, false
	}
	wanted, ok := planner.nextLoad()
	if !ok {
		return Order{}, false
	}
	if planner.replaces(wanted) || planner.slotsTaken() < slots {
		return planner.newOrder(Load, model, wanted)
	}
	victim, ok := planner.victim()
	if !ok {
		return Order{}, false
	}
	return planner.newOrder(Unload, model, victim)
}

// mayLoad reports whether one more load may become pending.
func (planner *Planner) mayLoad() bool {
	pending := len(planner.engine.Pending)
	if pending == 0 {
		return true
	}
	latest := planner.latestDemand()
	return pending < planner.config.MaxPending && latest != nil && pending+latest.PendingElsewhere < planner.config.StoreConcurrency
}

// slotsTaken returns the number of adapter slots that resident and pending
// adapters take. An adapter pending in another version takes the slot of the
// resident one.
func (planner *Planner) slotsTaken() int {
	names := make(map[string]bool)
	for _, adapter := range planner.engine.Resident {
		names[adapter.Name] = true
	}
	pending := 0
	for _, adapter := range planner.engine.Pending {
		if !names[adapter.Name] {
			pending++
		}
	}
	return len(names) + pending
}

// replaces reports whether another version of the adapter is resident, whose
// slot a load takes.
func (planner *Planner) replaces(wanted Adapter) bool {
	return slices.ContainsFunc(planner.engine.Resident, func(adapter Adapter) bool { return adapter.Name == wanted.Name })
}

// target returns the model that the latest demand names, and its adapter slots.
func (planner *Planner) target() (string, int) {
	latest := planner.latestDemand()
	if latest == nil {
		return "", 0
	}
	return latest.Model, latest.Slots
}

// latestDemand returns the demand received last, or nil.
func (planner *Planner) latestDemand() *demand {
	var latest *demand
	for _, demand := range planner.demands {
		if latest == nil || demand.heardAt.After(latest.heardAt) {
			latest = demand
		}
	}
	return latest
}

// newestVersions returns the newest version of each adapter that a demand names. An entry
// instance that has not heard of it names an earlier one.
func (planner *Planner) newestVersions() map[string]uint32 {
	newest := make(map[string]uint32)
	for _, demand := range planner.demands {
		for _, use := range demand.Uses {
			newest[use.Adapter.Name] = max(newest[use.Adapter.Name], use.Adapter.Version)
		}
	}
	return newest
}

// missing returns the waiting requests of each adapter that is neither resident
// nor pending, in the newest version that is named.
func (planner *Planner) missing() map[Adapter]waiters {
	missing, newest := make(map[Adapter]waiters), planner.newestVersions()
	for _, demand := range planner.demands {
		for _, use := range demand.Uses {
			if use.Waiting > 0 && !planner.residentOrPending(use.Adapter) {
				wanted := Adapter{Name: use.Adapter.Name, Version: newest[use.Adapter.Name]}
				missing[wanted] = missing[wanted].plus(use)
			}
		}
	}
	return missing
}

// residentOrPending reports whether the adapter is resident or pending, in the
// wanted version or a newer one.
func (planner *Planner) residentOrPending(wanted Adapter) bool {
	return AnySatisfies(planner.engine.Resident, wanted) || AnySatisfies(planner.engine.Pending, wanted)
}

// victim returns the least recently used resident adapter among those that no
// request uses and that have been idle for MinIdle.
func (planner *Planner) victim() (Adapter, bool) {
	inUse := make(map[string]bool)
	for _, demand := range planner.demands {
		for _, use := range demand.Uses {
			inUse[use.Adapter.Name] = true
		}
	}
	now := time.Now()
	var oldest Adapter
	for _, adapter := range planner.engine.Resident {
		lastUsed := planner.lastUsed[adapter.Name]
		if inUse[adapter.Name] || now.Sub(lastUsed) < planner.config.MinIdle {
			continue
		}
		if oldest.Name == "" || lastUsed.Before(planner.lastUsed[oldest.Name]) {
			oldest = adapter
		}
	}
	return oldest, oldest.Name != ""
}
