package lora

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/speed"
)

const (
	// maxFetches is the number of load times from the weight store that are
	// kept.
	maxFetches = 16
	// cachedFraction is the fraction of the median load time from the weight
	// store below which a load counts as one from the engine's local cache.
	cachedFraction = 0.5
)

// NeverEvicted is the depth of an adapter that the engine has not evicted.
const NeverEvicted = -1

// CompletedLoad describes an adapter that has become resident after an order.
type CompletedLoad struct {
	Adapter Adapter
	// Took is the time from the order to the first report in which the adapter
	// is resident.
	Took time.Duration
	// Depth is the number of other adapters that the engine evicted after it
	// last evicted this one, or NeverEvicted, as of the order.
	Depth int
	// FromCache means that the engine loaded the adapter from its local cache.
	FromCache bool
}

// localCache estimates which evicted adapters the engine can load again from
// its local cache, which is fast and puts no load on the weight store.
type localCache struct {
	EvictionHistory
	resident []Adapter
	pending  map[Adapter]pendingLoad
	// fetchTimes holds the latest load times from the weight store.
	fetchTimes []time.Duration
	// capacity is the estimated size of the cache: an adapter with a lower
	// eviction depth loads from it.
	capacity int
}

// pendingLoad is an order to load an adapter that has not become resident yet.
type pendingLoad struct {
	orderedAt time.Time
	depth     int
}

func newLocalCache() *localCache {
	return &localCache{pending: make(map[Adapter]pendingLoad), capacity: maxEvicted}
}

// recordLoad records an order to load an adapter.
func (cache *localCache) recordLoad(adapter Adapter) {
	if _, ok := cache.pending[adapter]; !ok {
		cache.pending[adapter] = pendingLoad{orderedAt: time.Now(), depth: cache.Depth(adapter)}
	}
}

// observe records a report and returns the loads that completed since the
// previous one.
func (cache *localCache) observe(resident, pending []Adapter) []CompletedLoad {
	var completed []CompletedLoad
	for adapter, order := range cache.pending {
		switch {
		case AnySatisfies(resident, adapter):
			completed = append(completed, cache.complete(adapter, order))
			delete(cache.pending, adapter)
		case !AnySatisfies(pending, adapter) && time.Since(order.orderedAt) > orderTimeout:
			delete(cache.pending, adapter)
		}
	}
	cache.Update(cache.resident, resident)
	cache.resident = resident
	return completed
}

// orderTimeout is how long an order is tracked while the reports show its
// adapter neither as resident nor as pending.
const orderTimeout = 5 * time.Second

// complete decides whether an adapter was loaded from the local cache and
// adapts the estimated capacity of the cache.
func (cache *localCache) complete(adapter Adapter, order pendingLoad) CompletedLoad {
	load := CompletedLoad{Adapter: adapter, Took: time.Since(order.orderedAt), Depth: order.depth}
	median := speed.Median(cache.fetchTimes)
	load.FromCache = order.depth != NeverEvicted && median > 0 && load.Took.Seconds() < median.Seconds()*cachedFraction
	switch {
	case order.depth == NeverEvicted:
		cache.fetchTimes = append(cache.fetchTimes, load.Took)
		cache.fetchTimes = cache.fetchTimes[max(len(cache.fetchTimes)-maxFetches, 0):]
	case load.FromCache:
		cache.capacity = max(cache.capacity, order.depth+1)
	case median > 0:
		cache.capacity = min(cache.capacity, order.depth)
	}
	return load
}
