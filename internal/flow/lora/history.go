package lora

import "slices"

// maxEvicted bounds the evicted adapters that a history holds.
const maxEvicted = 128

// EvictionHistory holds the adapters that an engine has evicted, in the order
// of their evictions. It is not safe for concurrent use.
type EvictionHistory struct {
	// evicted holds each adapter once, the last evicted one at the end.
	evicted []Adapter
}

// Update records that the resident adapters of the engine changed from before
// to now. An adapter that is resident in another version now does not count as
// evicted.
func (history *EvictionHistory) Update(before, now []Adapter) {
	for _, held := range before {
		if !containsName(now, held.Name) {
			history.evict(held)
		}
	}
}

// Prepend inserts evictions that another process has seen, as older than all
// that the history holds.
func (history *EvictionHistory) Prepend(evicted []Adapter) {
	known := history.evicted
	history.evicted = slices.Clone(evicted)
	for _, adapter := range known {
		history.evict(adapter)
	}
}

// Depth returns the number of adapters evicted after the last one that
// satisfies the wanted one, or NeverEvicted.
func (history *EvictionHistory) Depth(wanted Adapter) int {
	index := slices.IndexFunc(history.evicted, func(adapter Adapter) bool { return adapter.Satisfies(wanted) })
	if index < 0 {
		return NeverEvicted
	}
	return len(history.evicted) - 1 - index
}

// Evicted returns the evicted adapters, the last evicted one at the end.
func (history *EvictionHistory) Evicted() []Adapter { return slices.Clone(history.evicted) }

func (history *EvictionHistory) evict(adapter Adapter) {
	history.evicted = slices.DeleteFunc(history.evicted, func(known Adapter) bool { return known.Name == adapter.Name })
	history.evicted = append(history.evicted, adapter)
	history.evicted = history.evicted[max(len(history.evicted)-maxEvicted, 0):]
}

func containsName(adapters []Adapter, name string) bool {
	return slices.ContainsFunc(adapters, func(adapter Adapter) bool { return adapter.Name == name })
}
