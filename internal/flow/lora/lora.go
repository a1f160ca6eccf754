// Package lora plans which adapters the engine of a loader loads and unloads,
// one order at a time, from the demands of the entry instances and the engine's
// reports. The reports are authoritative: an order without an answer is given
// again with the same sequence, which the engine accepts only once.
//
// The adapter slot table of a side process is in package slots.
package lora

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Defaults of Config.
const (
	// DefaultDemandTimeout is how long a demand counts after it was received.
	DefaultDemandTimeout = 1500 * time.Millisecond
	// DefaultMaxPending is the largest number of loads pending on one engine.
	DefaultMaxPending = 4
	// DefaultStoreConcurrency is the number of pending loads on all engines up
	// to which the weight store serves each at full speed. Beyond it an engine
	// loads one adapter at a time, so that those with the most waiting requests
	// come first.
	DefaultStoreConcurrency = 8
	// DefaultMinIdle is how long an adapter stays resident after its last use,
	// so that requests already dispatched to the engine still find it.
	DefaultMinIdle = 300 * time.Millisecond
)

// Config configures a Planner. Zero values mean the defaults.
type Config struct {
	DemandTimeout    time.Duration
	MaxPending       int
	StoreConcurrency int
	MinIdle          time.Duration
}

// Adapter identifies one version of an adapter.
type Adapter struct {
	Name    string
	Version uint32
}

// Satisfies reports whether the adapter can serve requests for the wanted one:
// it has the same name, and that version or a newer one.
func (adapter Adapter) Satisfies(wanted Adapter) bool {
	return adapter.Name == wanted.Name && adapter.Version >= wanted.Version
}

// AnySatisfies reports whether one of the adapters satisfies the wanted one.
func AnySatisfies(adapters []Adapter, wanted Adapter) bool {
	return slices.ContainsFunc(adapters, func(adapter Adapter) bool { return adapter.Satisfies(wanted) })
}

// EngineState is what an engine reports of itself.
type EngineState struct {
	// StartedAt is the engine's start in Unix milliseconds.
	StartedAt int64
	// Sequence counts the orders that it has accepted since then.
	Sequence int64
	// Busy means that the engine takes no other order at present.
	Busy bool
	// Models holds the loaded models.
	Models   []string
	Resident []Adapter
	Pending  []Adapter
}

// AdapterUse counts the requests of one entry instance that use an adapter.
type AdapterUse struct {
	Adapter Adapter
	Running int
	Waiting int
	// Late is the number of waiting requests that miss their response-time
	// goal.
	Late int
	// Bound is the number of waiting requests that no engine of another
	// software version may get, although some serve.
	Bound int
	// Weight and LateWeight are the sums of the weights, by order.Weight, of the
	// waiting requests on time and of the late ones. Both are 0 if all are among
	// the most urgent ones, or their weights are not known.
	Weight     int
	LateWeight int
}

// Demand is what one entry instance needs from the engine.
type Demand struct {
	Entry string
	Model string
	// Slots is the number of adapter slots of the engine.
	Slots int
	// PendingElsewhere is the number of loads pending on other engines.
	PendingElsewhere int
	Uses             []AdapterUse
}

// Operation is the kind of an order.
type Operation uint8

const (
	// Load loads a model, or an adapter of a loaded model.
	Load Operation = iota
	// Unload frees the slot of an adapter.
	Unload
)

// Order is a control call to the engine. The engine rejects it unless Sequence
// equals its own.
type Order struct {
	Operation Operation
	Model     string
	// Adapter is empty for an order that concerns a whole model.
	Adapter  Adapter
	Sequence int64
}

// Planner decides the orders to one engine. Its methods may be called
// concurrently.
type Planner struct {
	config Config

	mutex  sync.Mutex
	engine EngineState
	// reported means that engine holds a report.
	reported bool
	demands  map[string]*demand
	// lastUsed is when a demand last named an adapter, and waitingSince is when
	// the present wait of requests for an adapter began.
	lastUsed     map[string]time.Time
	waitingSince map[Adapter]time.Time
	cache        *localCache
	// loadsSinceOldest counts the loads since one went to the adapter that had
	// been waited for longest.
	loadsSinceOldest int
}

// demand is a Demand and the time at which it was received.
type demand struct {
	Demand
	heardAt time.Time
}

// New returns a Planner without reports or demands.
func New(config Config) *Planner {
	config.DemandTimeout = cmp.Or(config.DemandTimeout, DefaultDemandTimeout)
	config.MaxPending = cmp.Or(config.MaxPending, DefaultMaxPending)
	config.StoreConcurrency = cmp.Or(config.StoreConcurrency, DefaultStoreConcurrency)
	config.MinIdle = cmp.Or(config.MinIdle, DefaultMinIdle)
	return &Planner{
		config:       config,
		demands:      make(map[string]*demand),
		lastUsed:     make(map[string]time.Time),
		waitingSince: make(map[Adapter]time.Time),
		cache:        newLocalCache(),
	}
}

// Observe records a report of the engine and returns the loads that completed
// since the previous one. After a restart of the engine its earlier evictions
// and uses do not count.
func (planner *Planner) Observe(engine EngineState) []CompletedLoad {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	if planner.reported && planner.engine.StartedAt != engine.StartedAt {
		clear(planner.lastUsed)
		planner.cache = newLocalCache()
	}
	planner.engine, planner.reported = engine, true
	return planner.cache.observe(engine.Resident, engine.Pending)
}

// Evicted returns the adapters that the engine evicted, the last evicted one at
// the end.
func (planner *Planner) Evicted() []Adapter {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	return planner.cache.Evicted()
}

// CacheCapacity returns the estimated number of most recently evicted adapters
// that the engine can load from its local cache.
func (planner *Planner) CacheCapacity() int {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	return planner.cache.capacity
}

// RecordOrder records an order that the engine may have carried out.
func (planner *Planner) RecordOrder(order Order) {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	if order.Operation == Load && order.Adapter.Name != "" {
		planner.countLoad(order.Adapter)
		planner.cache.recordLoad(order.Adapter)
	}
}

// SetDemand replaces the demand of an entry instance.
func (planner *Planner) SetDemand(request Demand) {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	now := time.Now()
	planner.demands[request.Entry] = &demand{Demand: request, heardAt: now}
	for _, use := range request.Uses {
		planner.lastUsed[use.Adapter.Name] = now
		if _, ok := planner.waitingSince[use.Adapter]; !ok && use.Waiting > 0 {
			planner.waitingSince[use.Adapter] = now
		}
	}
}

// QueuedLoads returns the number of loads that are pending or still to be
// ordered.
func (planner *Planner) QueuedLoads() int {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	return len(planner.engine.Pending) + len(planner.missing())
}

// FreeSlots returns the number of adapter slots that no running or waiting
// request needs.
func (planner *Planner) FreeSlots() int {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	_, slots := planner.target()
	used := make(map[string]bool)
	for _, demand := range planner.demands {
		for _, use := range demand.Uses {
			used[use.Adapter.Name] = true
		}
	}
	return max(slots-len(used), 0)
}

// expireDemands removes the demands that were received more than DemandTimeout
// ago.
func (planner *Planner) expireDemands() {
	now := time.Now()
	wanted := make(map[Adapter]bool)
	for entry, demand := range planner.demands {
		if now.Sub(demand.heardAt) > planner.config.DemandTimeout {
			delete(planner.demands, entry)
			continue
		}
		for _, use := range demand.Uses {
			wanted[use.Adapter] = wanted[use.Adapter] || use.Waiting > 0
		}
	}
	for adapter := range planner.waitingSince {
		if !wanted[adapter] {
			delete(planner.waitingSince, adapter)
		}
	}
}

// Entries returns the entry instances with a demand that has not expired,
// sorted.
func (planner *Planner) Entries() []string {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	planner.expireDemands()
	return slices.Sorted(maps.Keys(planner.demands))
}

// String returns the operation's name.
func (operation Operation) String() string {
	if operation == Unload {
		return "unload"
	}
	return "load"
}
