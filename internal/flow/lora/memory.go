package lora

import "slices"

// mostDropped bounds the adapters that are remembered after they were dropped.
const mostDropped = 128

// EvictionHistory remembers which adapters an engine has dropped, in their order. It is
// not safe for concurrent use.
type EvictionHistory struct {
	// dropped holds each adapter once, the latest one last.
	dropped []Adapter
}

// Update records that the engine went from holding one set of adapters to
// holding another.
func (memory *EvictionHistory) Update(before, now []Adapter) {
	for _, held := range before {
		if !containsName(now, held.Name) {
			memory.drop(held)
		}
	}
}

// Prepend records adapters that another process remembers, which were dropped
// before all that is known here.
func (memory *EvictionHistory) Prepend(dropped []Adapter) {
	known := memory.dropped
	memory.dropped = slices.Clone(dropped)
	for _, adapter := range known {
		memory.drop(adapter)
	}
}

// Depth returns the number of adapters that were dropped after one that can
// answer for the wanted one, or Never.
func (memory *EvictionHistory) Depth(wanted Adapter) int {
	index := slices.IndexFunc(memory.dropped, func(adapter Adapter) bool { return adapter.Satisfies(wanted) })
	if index < 0 {
		return NeverEvicted
	}
	return len(memory.dropped) - 1 - index
}

// Dropped returns the adapters, the latest one last.
func (memory *EvictionHistory) Dropped() []Adapter { return slices.Clone(memory.dropped) }

func (memory *EvictionHistory) drop(adapter Adapter) {
	memory.dropped = slices.DeleteFunc(memory.dropped, func(known Adapter) bool { return known.Name == adapter.Name })
	memory.dropped = append(memory.dropped, adapter)
	memory.dropped = memory.dropped[max(len(memory.dropped)-mostDropped, 0):]
}

func containsName(adapters []Adapter, name string) bool {
	return slices.ContainsFunc(adapters, func(adapter Adapter) bool { return adapter.Name == name })
}
