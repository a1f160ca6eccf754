// Package slots holds the adapter slot table of one engine: which adapters are
// loaded, which are in use, what to load next and what to evict for it.
package slots

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

// AdapterRef names an adapter in one version.
type AdapterRef struct {
	Adapter string
	Version uint32
}

// String returns the reference as callers write it.
func (ref AdapterRef) String() string {
	return ref.Adapter + "@" + strconv.FormatUint(uint64(ref.Version), 10)
}

// Hash returns the hash under which load reports name the adapter.
func (ref AdapterRef) Hash() uint64 { return xxh3.HashString(ref.String()) }

// Config sets up a Table. Zero fields take their defaults.
type Config struct {
	Slots int
	Seed  uint64
	// TargetLoadTime is the load time at which concurrency stays as it is.
	TargetLoadTime time.Duration
	// MaxConcurrentLoads bounds the loads in flight.
	MaxConcurrentLoads int
	// MaxLoadDeferral bounds how long requests for loaded adapters may put off
	// the load of another one.
	MaxLoadDeferral time.Duration
	// HalfLife is how fast use counts decay.
	HalfLife time.Duration
}

const (
	// defaultTarget is the weight store's load time while it is not overloaded.
	defaultTarget      = 250 * time.Millisecond
	defaultConcurrency = 8
	// defaultSwitchDeferral is one load time. Against the engine stand-in with 4
	// slots and 12 adapters, 100 ms answered 4% fewer requests in time, and
	// 500 ms about as many.
	defaultSwitchDeferral = 250 * time.Millisecond
	defaultHalfLife       = time.Minute
)

func (config Config) withDefaults() Config {
	if config.TargetLoadTime <= 0 {
		config.TargetLoadTime = defaultTarget
	}
	if config.MaxConcurrentLoads <= 0 {
		config.MaxConcurrentLoads = defaultConcurrency
	}
	if config.MaxLoadDeferral <= 0 {
		config.MaxLoadDeferral = defaultSwitchDeferral
	}
	if config.HalfLife <= 0 {
		config.HalfLife = defaultHalfLife
	}
	return config
}

// slot holds one adapter that is loading or loaded.
type slot struct {
	loading bool
	started time.Time
	// closing slots admit no new pins, so that they come free for another adapter.
	closing  bool
	pins     int
	use      float64
	lastUsed time.Time
	// keep is until when the adapter is not evicted, after the engine refused it.
	keep time.Time
}

func (slot *slot) value(now time.Time, halfLife time.Duration) float64 {
	return slot.use * math.Exp2(-float64(now.Sub(slot.lastUsed))/float64(halfLife))
}

// Table is the slot table of one engine. It is not safe for concurrent use.
type Table struct {
	config   Config
	slots    map[AdapterRef]*slot
	size     int
	failures map[AdapterRef]*failure
	throttle throttle
	random   *rand.Rand
}

// New returns a Table of an engine with nothing loaded.
func New(config Config) *Table {
	config = config.withDefaults()
	return &Table{
		config:   config,
		size:     config.Slots,
		slots:    map[AdapterRef]*slot{},
		failures: map[AdapterRef]*failure{},
		throttle: newThrottle(config),
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
	}
}

// Reset replaces the contents after the engine started anew. Pins and loads
// from before are void; Unpin and Finish of them are ignored by the caller.
func (table *Table) Reset(now time.Time, size int, loaded []AdapterRef) {
	table.size = size
	table.slots = make(map[AdapterRef]*slot, size)
	table.throttle.inFlight = 0
	for _, ref := range loaded {
		table.slots[ref] = &slot{lastUsed: now}
	}
}

// Resize follows a change of the number of slots. What exceeds it is evicted
// when it is not in use.
func (table *Table) Resize(size int) { table.size = size }

// Reconcile corrects the table after an order failed, when it is not known
// what the engine did: adapters that the engine holds are added, and those not
// in use that it lacks are dropped.
func (table *Table) Reconcile(now time.Time, loaded []AdapterRef) {
	held := make(map[AdapterRef]bool, len(loaded))
	for _, ref := range loaded {
		held[ref] = true
		if _, known := table.slots[ref]; !known {
			table.slots[ref] = &slot{lastUsed: now}
		}
	}
	for ref, slot := range table.slots {
		if !held[ref] && !slot.loading && slot.pins == 0 {
			delete(table.slots, ref)
		}
	}
}

// Size returns the number of slots.
func (table *Table) Size() int { return table.size }

// FreeSlots returns the number of slots without an adapter in use or loading.
func (table *Table) FreeSlots() int {
	free := table.size
	for _, slot := range table.slots {
		if slot.loading || slot.pins > 0 {
			free--
		}
	}
	return max(free, 0)
}

// LoadedAdapters returns the loaded adapters, at most limit of them.
func (table *Table) LoadedAdapters(limit int) []AdapterRef {
	refs := make([]AdapterRef, 0, min(limit, len(table.slots)))
	for ref, slot := range table.slots {
		if !slot.loading && len(refs) < limit {
			refs = append(refs, ref)
		}
	}
	return refs
}

// Ready reports whether a request for the adapter may start now.
func (table *Table) Ready(ref AdapterRef) bool {
	slot, ok := table.slots[ref]
	return ok && !slot.loading && !slot.closing
}

// Pin marks the adapter as in use by one more request and reports whether it
// was ready.
func (table *Table) Pin(now time.Time, ref AdapterRef) bool {
	if !table.Ready(ref) {
		return false
	}
	slot := table.slots[ref]
	slot.use = slot.value(now, table.config.HalfLife) + 1
	slot.lastUsed = now
	slot.pins++
	return true
}

// Unpin ends one use of the adapter.
func (table *Table) Unpin(ref AdapterRef) {
	if slot, ok := table.slots[ref]; ok && slot.pins > 0 {
		slot.pins--
	}
}
