package picker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/flow/rank"
)

const (
	// weightSteps is the number of weights per doubling of the work factor.
	weightSteps = 3
	// weightExponent is the power of the speed by which an engine is weighted. A faster
	// engine has more capacity, and its streams pause less.
	weightExponent = 3
)

// loadTarget returns the upstream that should load an adapter. One where it is
// already pending or requested comes first. Otherwise the upstreams are tried
// in rendezvous order, so that all instances tend to choose the same one and an
// engine gets the same adapters again: the next one is taken while its wait is
// shorter by more than SpillThreshold. Engines that are lastingly faster rank
// first for more adapters, and each one is then compared with the shortest wait.
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
		return slices.MinFunc(awaiting, compareLastingCost), true
	}
	slices.SortFunc(available, func(a, b candidate) int {
		return rank.CompareWeighted(adapter.Name, a.member(), b.member())
	})
	if slices.ContainsFunc(available, func(candidate candidate) bool { return candidate.member().Weight != available[0].member().Weight }) {
		return picker.firstNearLeast(available), true
	}
	first := available[0]
	for _, next := range available[1:] {
		if first.loadWait() <= next.loadWait()+picker.config.SpillThreshold {
			break
		}
		first = next
	}
	return first, true
}

// reloadTarget returns the upstream with the least lasting cost among those that can
// reload the adapter from their local cache and have a slot for it.
func reloadTarget(candidates []candidate, adapter lora.Adapter) (candidate, bool) {
	reloaders := slices.DeleteFunc(slices.Clone(candidates), func(candidate candidate) bool {
		return candidate.full || !candidate.canReload(adapter) || !candidate.hasSlotFor(adapter)
	})
	if len(reloaders) == 0 {
		return candidate{}, false
	}
	return slices.MinFunc(reloaders, compareLastingCost), true
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

// firstNearLeast returns the first upstream whose wait is at most SpillThreshold longer than
// the shortest one. Where weights differ, the next upstreams in the order are mostly fast too
// and fill up together, while others further back are idle.
func (picker *Picker) firstNearLeast(ordered []candidate) candidate {
	least := slices.MinFunc(ordered, func(a, b candidate) int { return cmp.Compare(a.loadWait(), b.loadWait()) }).loadWait()
	return ordered[slices.IndexFunc(ordered, func(candidate candidate) bool { return candidate.loadWait() <= least+picker.config.SpillThreshold })]
}

// member returns the upstream as a member of the rendezvous order. Its weight is coarse, so
// that it seldom changes.
func (candidate candidate) member() rank.Member {
	member := rank.Member{Name: candidate.spec.ID, Weight: 1}
	if lasting := candidate.work.Lasting; lasting > 0 {
		step := math.Round(math.Log2(lasting) * weightSteps)
		member.Weight = math.Exp2(-weightExponent * step / weightSteps)
	}
	return member
}

// loadWait returns the expected wait of a request whose adapter has to be
// loaded, without the load itself.
func (candidate candidate) loadWait() time.Duration {
	return candidate.wait + time.Duration(candidate.report.QueuedLoads)*adapterLoadTime
}
