package picker

import (
	"cmp"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/flow/rank"
)

// target returns where an adapter should be brought: where it is already on its
// way, else the less loaded of the two upstreams that rank first for it, so that
// all instances tend to agree and an engine sees an adapter again.
func (board *Picker) target(candidates []candidate, adapter lora.Adapter) (candidate, bool) {
	open := slices.DeleteFunc(candidates, func(entry candidate) bool { return entry.full })
	if len(open) == 0 {
		return candidate{}, false
	}
	if roomy := slices.DeleteFunc(slices.Clone(open), func(entry candidate) bool { return !entry.roomy(adapter) }); len(roomy) > 0 {
		open = roomy
	}
	coming := slices.DeleteFunc(slices.Clone(open), func(entry candidate) bool { return !entry.coming(adapter) })
	if len(coming) > 0 {
		return slices.MinFunc(coming, byLoad), true
	}
	slices.SortFunc(open, func(a, b candidate) int {
		return cmp.Compare(rank.Score(adapter.Name, b.spec.ID), rank.Score(adapter.Name, a.spec.ID))
	})
	first := open[0]
	for _, entry := range open[1:] {
		if first.bringWait() <= entry.bringWait()+board.config.SpillThreshold {
			break
		}
		first = entry
	}
	return first, true
}

// leastRecaller returns the upstream with the shortest wait among those that
// bring an adapter back by themselves and have a place for it.
func leastRecaller(candidates []candidate, adapter lora.Adapter) (candidate, bool) {
	able := slices.DeleteFunc(slices.Clone(candidates), func(entry candidate) bool {
		return entry.full || !entry.recalls(adapter) || !entry.roomy(adapter)
	})
	if len(able) == 0 {
		return candidate{}, false
	}
	return slices.MinFunc(able, byLoad), true
}

// roomy reports whether the upstream has a place for an adapter, or has promised
// it one.
func (entry *upstream) roomy(adapter lora.Adapter) bool {
	return entry.reported.IsZero() || entry.report.FreeAdapterSlots > 0 || entry.coming(adapter)
}

// recalls reports whether the engine is thought to bring an adapter back by
// itself.
func (entry *upstream) recalls(adapter lora.Adapter) bool {
	depth := entry.memory.Depth(adapter)
	return depth != lora.NeverEvicted && depth < entry.report.CacheCapacity
}

// bringWait returns how long a request waits whose adapter has to be brought,
// apart from the time for its own.
func (candidate candidate) bringWait() time.Duration {
	return candidate.wait + time.Duration(candidate.report.QueuedLoads)*loadTime
}
