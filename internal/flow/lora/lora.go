// Package lora decides which adapters the engine beside a loader holds: it
// turns what the entry instances ask for, and what the engine reports, into one
// order at a time. The engine's report is the truth; an order whose outcome is
// unknown counts as carried out until a report says otherwise.
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
	// DefaultLinger is how long a demand counts after the entry instance that
	// sent it was last heard.
	DefaultLinger = 1500 * time.Millisecond
	// DefaultTransit is the largest number of adapters on their way at once.
	DefaultTransit = 4
	// DefaultStore is the number of adapters on their way to all engines up to
	// which the weight store brings each at full speed. Beyond it an engine asks
	// for one at a time, so that the adapters most asked for come first.
	DefaultStore = 8
	// DefaultKeep is how long an adapter is kept after its last use, so that
	// requests on their way still find it.
	DefaultKeep = 300 * time.Millisecond
)

// Config configures a Planner. Zero values mean the defaults.
type Config struct {
	Linger  time.Duration
	Transit int
	Store   int
	Keep    time.Duration
}

// Adapter is an adapter in one version.
type Adapter struct {
	Name    string
	Version uint32
}

// Satisfies reports whether the adapter can answer for the wanted one: it is the
// same, in that version or a newer one.
func (adapter Adapter) Satisfies(wanted Adapter) bool {
	return adapter.Name == wanted.Name && adapter.Version >= wanted.Version
}

// AnySatisfies reports whether one of the adapters can answer for the wanted one.
func AnySatisfies(adapters []Adapter, wanted Adapter) bool {
	return slices.ContainsFunc(adapters, func(adapter Adapter) bool { return adapter.Satisfies(wanted) })
}

// EngineState is what the engine says of itself.
type EngineState struct {
	// StartedAt is its start in Unix milliseconds.
	StartedAt int64
	// Sequence counts the orders that it accepted since.
	Sequence int64
	// Busy means that it takes no other order at present.
	Busy bool
	// Models holds the models in memory.
	Models   []string
	Resident []Adapter
	Pending  []Adapter
}

// AdapterUse is how many requests of one entry instance use an adapter.
type AdapterUse struct {
	Adapter Adapter
	Running int
	Waiting int
	// Late is the part of Waiting that misses its response-time goal.
	Late int
}

// Demand is what one entry instance asks for.
type Demand struct {
	Entry string
	Model string
	// Slots is the number of places for adapters.
	Slots int
	// PendingElsewhere is the number of adapters on their way to other engines.
	PendingElsewhere int
	Uses             []AdapterUse
}

// Operation is what an order does.
type Operation uint8

const (
	// Load brings a model, or an adapter of a model that is there.
	Load Operation = iota
	// Unload makes room.
	Unload
)

// Order is one order to the engine. Sequence must be the engine's own for the
// order to be valid.
type Order struct {
	Operation Operation
	Model     string
	// Adapter is empty for an order that concerns the whole model.
	Adapter  Adapter
	Sequence int64
}

// Planner decides the orders for one engine. Its methods may be called
// concurrently.
type Planner struct {
	config Config

	mutex   sync.Mutex
	engine  EngineState
	known   bool
	demands map[string]*demand
	used    map[string]time.Time
	asked   map[Adapter]time.Time
	recall  *recall
}

type demand struct {
	Demand
	heard time.Time
}

// New returns a Planner that knows nothing yet.
func New(config Config) *Planner {
	config.Linger = cmp.Or(config.Linger, DefaultLinger)
	config.Transit = cmp.Or(config.Transit, DefaultTransit)
	config.Store = cmp.Or(config.Store, DefaultStore)
	config.Keep = cmp.Or(config.Keep, DefaultKeep)
	return &Planner{
		config:  config,
		demands: make(map[string]*demand),
		used:    make(map[string]time.Time),
		asked:   make(map[Adapter]time.Time),
		recall:  newRecall(),
	}
}

// Observe records a report of the engine and returns the adapters that have
// come since the last one.
func (planner *Planner) Observe(engine EngineState) []CompletedLoad {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	if planner.known && planner.engine.StartedAt != engine.StartedAt {
		clear(planner.used)
		planner.recall = newRecall()
	}
	planner.engine, planner.known = engine, true
	return planner.recall.observe(engine.Resident, engine.Pending)
}

// Evicted returns the adapters that the engine dropped, the latest one last.
func (planner *Planner) Evicted() []Adapter {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	return planner.recall.Dropped()
}

// CacheCapacity returns how many of the adapters dropped last the engine is thought to
// bring back by itself.
func (planner *Planner) CacheCapacity() int {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	return planner.recall.reach
}

// RecordOrder records that an order was given.
func (planner *Planner) RecordOrder(order Order) {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	if order.Operation == Load && order.Adapter.Name != "" {
		planner.recall.gave(order.Adapter)
	}
}

// SetDemand records what an entry instance asks for; it replaces what the instance
// asked for before.
func (planner *Planner) SetDemand(request Demand) {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	now := time.Now()
	planner.demands[request.Entry] = &demand{Demand: request, heard: now}
	for _, use := range request.Uses {
		planner.used[use.Adapter.Name] = now
		if _, ok := planner.asked[use.Adapter]; !ok && use.Waiting > 0 {
			planner.asked[use.Adapter] = now
		}
	}
}

// QueuedLoads returns the number of adapters that are on their way or still to be
// ordered.
func (planner *Planner) QueuedLoads() int {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	return len(planner.engine.Pending) + len(planner.missing())
}

// FreeSlots returns the number of places that no request uses or waits for.
func (planner *Planner) FreeSlots() int {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	_, slots := planner.wish()
	busy := make(map[string]bool)
	for _, demand := range planner.demands {
		for _, use := range demand.Uses {
			busy[use.Adapter.Name] = true
		}
	}
	return max(slots-len(busy), 0)
}

// forget drops the demands of entry instances that fell silent.
func (planner *Planner) forget() {
	now := time.Now()
	wanted := make(map[Adapter]bool)
	for entry, demand := range planner.demands {
		if now.Sub(demand.heard) > planner.config.Linger {
			delete(planner.demands, entry)
			continue
		}
		for _, use := range demand.Uses {
			wanted[use.Adapter] = wanted[use.Adapter] || use.Waiting > 0
		}
	}
	for adapter := range planner.asked {
		if !wanted[adapter] {
			delete(planner.asked, adapter)
		}
	}
}

// Entries returns the names of the entry instances that were heard lately.
func (planner *Planner) Entries() []string {
	planner.mutex.Lock()
	defer planner.mutex.Unlock()
	planner.forget()
	return slices.Sorted(maps.Keys(planner.demands))
}

// String returns the operation's name.
func (operation Operation) String() string {
	if operation == Unload {
		return "unload"
	}
	return "load"
}
