package lora

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Next returns the order to give now, if there is one.
func (planner *Planner) Next() (Order, bool) {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	planner.forget()
	if !planner.known || planner.engine.Busy {
		return Order{}, false
	}
	model, slots := planner.wish()
	if model == "" {
		return Order{}, false
	}
	if !slices.Contains(planner.engine.Models, model) {
		return planner.order(Load, model, Adapter{})
	}
	return planner.adapterOrder(model, slots)
}

func (planner *Planner) order(operation Operation, model string, adapter Adapter) (Order, bool) {
	return Order{Operation: operation, Model: model, Adapter: adapter, Sequence: planner.engine.Sequence}, true
}

func (planner *Planner) adapterOrder(model string, slots int) (Order, bool) {
	if !planner.mayLoad() {
		return Order{}, false
	}
	wanted, ok := planner.wanted()
	if !ok {
		return Order{}, false
	}
	if planner.replaces(wanted) || planner.places() < slots {
		return planner.order(Load, model, wanted)
	}
	victim, ok := planner.victim()
	if !ok {
		return Order{}, false
	}
	return planner.order(Unload, model, victim)
}

// mayLoad reports whether one more adapter may be on its way.
func (planner *Planner) mayLoad() bool {
	pending := len(planner.engine.Pending)
	if pending == 0 {
		return true
	}
	latest := planner.latest()
	return pending < planner.config.Transit && latest != nil && pending+latest.PendingElsewhere < planner.config.Store
}

// places returns the number of places that are taken or promised.
func (planner *Planner) places() int {
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

func (planner *Planner) replaces(wanted Adapter) bool {
	return slices.ContainsFunc(planner.engine.Resident, func(adapter Adapter) bool { return adapter.Name == wanted.Name })
}

// wish returns the model that the latest demand names, and its places.
func (planner *Planner) wish() (string, int) {
	latest := planner.latest()
	if latest == nil {
		return "", 0
	}
	return latest.Model, latest.Slots
}

func (planner *Planner) latest() *demand {
	var latest *demand
	for _, demand := range planner.demands {
		if latest == nil || demand.heard.After(latest.heard) {
			latest = demand
		}
	}
	return latest
}

// shortage is how many requests wait for an adapter.
type shortage struct {
	onTime int
	late   int
}

// wanted returns the adapter to load next: the one with the most requests that
// can still meet their goal, then the one with the most that are late, then the
// one asked for first.
func (planner *Planner) wanted() (Adapter, bool) {
	missing := planner.missing()
	if len(missing) == 0 {
		return Adapter{}, false
	}
	return slices.MinFunc(slices.Collect(maps.Keys(missing)), func(a, b Adapter) int {
		return cmp.Or(
			cmp.Compare(missing[b].onTime, missing[a].onTime),
			cmp.Compare(missing[b].late, missing[a].late),
			planner.asked[a].Compare(planner.asked[b]),
			cmp.Compare(a.Name, b.Name),
			cmp.Compare(b.Version, a.Version),
		)
	}), true
}

// missing returns how many requests wait for each adapter that is neither there
// nor on its way.
func (planner *Planner) missing() map[Adapter]shortage {
	missing := make(map[Adapter]shortage)
	for _, demand := range planner.demands {
		for _, use := range demand.Uses {
			if use.Waiting > 0 && !planner.holds(use.Adapter) {
				sum := missing[use.Adapter]
				missing[use.Adapter] = shortage{onTime: sum.onTime + use.Waiting - use.Late, late: sum.late + use.Late}
			}
		}
	}
	return missing
}

// holds reports whether the adapter is there or on its way, in this version or
// a newer one.
func (planner *Planner) holds(wanted Adapter) bool {
	return AnySatisfies(planner.engine.Resident, wanted) || AnySatisfies(planner.engine.Pending, wanted)
}

// victim returns the adapter unused for longest among those that no entry
// instance uses.
func (planner *Planner) victim() (Adapter, bool) {
	busy := make(map[string]bool)
	for _, demand := range planner.demands {
		for _, use := range demand.Uses {
			busy[use.Adapter.Name] = true
		}
	}
	now := time.Now()
	var found Adapter
	for _, adapter := range planner.engine.Resident {
		used := planner.used[adapter.Name]
		if busy[adapter.Name] || now.Sub(used) < planner.config.Keep {
			continue
		}
		if found.Name == "" || used.Before(planner.used[found.Name]) {
			found = adapter
		}
	}
	return found, found.Name != ""
}
