package picker

import (
	"cmp"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/flow/rank"
)

// loadTarget returns the upstream that should load an adapter. One where it is
// already pending or requested comes first. Otherwise the upstreams are tried
// in rendezvous order, so that all instances tend to choose the same one and an
// engine gets the same adapters again: the next one is taken while its wait is
// shorter by more than SpillThreshold.
func (picker *Picker) loadTarget(candidates []candidate, adapter lora.Adapter) (candidate, bool) {
	available := slices.DeleteFunc(candidates, func(candidate candidate) bool { return candidate.full })
	if len(available) == 0 {
		return candidate{}, false
	}
	if withSlot := slices.DeleteFunc(slices.Clone(available), func(candidate candidate) bool { return !candidate.hasSlotFor(adapter) }); len(withSlot) > 0 {
		available = withSlot
	}
	awaiting := slices.DeleteFunc(slices.Clone(available), func(candidate candidate) bool { return !candidate.awaits(adapter) })
	if len(awaiting) > 0 {
		return slices.MinFunc(awaiting, compareWait), true
	}
	slices.SortFunc(available, func(a, b candidate) int {
		return cmp.Compare(rank.Score(adapter.Name, b.spec.ID), rank.Score(adapter.Name, a.spec.ID))
	})
	first := available[0]
	for _, next := range available[1:] {
		if first.loadWait() <= next.loadWait()+picker.config.SpillThreshold {
			break
		}
		first = next
	}
	return first, true
}

// reloadTarget returns the upstream with the shortest wait among those that can
// reload the adapter from their local cache and have a slot for it.
func reloadTarget(candidates []candidate, adapter lora.Adapter) (candidate, bool) {
	reloaders := slices.DeleteFunc(slices.Clone(candidates), func(candidate candidate) bool {
		return candidate.full || !candidate.canReload(adapter) || !candidate.hasSlotFor(adapter)
	})
	if len(reloaders) == 0 {
		return candidate{}, false
	}
	return slices.MinFunc(reloaders, compareWait), true
}

// hasSlotFor reports whether the upstream has a free adapter slot or already
// awaits the adapter. Without a report it is assumed to have one.
func (upstream *upstream) hasSlotFor(adapter lora.Adapter) bool {
	return upstream.reportedAt.IsZero() || upstream.report.FreeAdapterSlots > 0 || upstream.awaits(adapter)
}

// canReload reports whether the engine is expected to have the adapter in its
// local cache.
func (upstream *upstream) canReload(adapter lora.Adapter) bool {
	depth := upstream.evicted.Depth(adapter)
	return depth != lora.NeverEvicted && depth < upstream.report.CacheCapacity
}

// loadWait returns the expected wait of a request whose adapter has to be
// loaded, without the load itself.
func (candidate candidate) loadWait() time.Duration {
	return candidate.wait + time.Duration(candidate.report.QueuedLoads)*adapterLoadTime
}
