// Package origin tells which software began a stream. What two software versions of an
// upstream write does not fit together, so a stream goes on only at the service and the
// version that began it, and one whose origin is not known does not go on.
package origin

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// DefaultMaxRecords is the default of Config.MaxRecords.
const DefaultMaxRecords = 1 << 16

// Origin is the software that began a stream. The zero value means that it is not known.
type Origin struct {
	Service string
	// Version is the version of the software, empty for upstreams that name none.
	Version string
}

// Known reports whether the origin is known.
func (origin Origin) Known() bool { return origin.Service != "" }

// Key identifies a stream among those of all instances.
type Key uint64

// String returns the key in hexadecimal.
func (key Key) String() string { return strconv.FormatUint(uint64(key), 16) }

// KeyOf returns the key of the stream whose first event was brought by a request of an
// organisation. Requests without an id have no key, which is 0.
func KeyOf(organisation, requestID string) Key {
	if requestID == "" {
		return 0
	}
	return Key(xxh3.HashString(organisation + "\x00" + requestID))
}

// Record is the origin of a stream and for how long that is kept.
type Record struct {
	Key      Key
	Origin   Origin
	Lifetime time.Duration
}

// Config configures a Ledger. Zero values mean the defaults.
type Config struct {
	// MaxRecords bounds the streams that are kept. Further ones are dropped.
	MaxRecords int
}

// Ledger keeps the origins of streams until their lifetimes end. Its methods may be
// called concurrently.
type Ledger struct {
	config Config

	mutex   sync.Mutex
	entries map[Key]*entry
	// prunedAt is when expired entries were last removed.
	prunedAt time.Time
}

// pruneInterval is the time between two removals of expired entries.
const pruneInterval = time.Second

// entry is the origin of one stream.
type entry struct {
	origin    Origin
	expiresAt time.Time
	// holders are the addresses that have been told of it. There are none if it is a copy of
	// what another instance keeps.
	holders []string
}

// New returns an empty Ledger.
func New(config Config) *Ledger {
	config.MaxRecords = cmp.Or(config.MaxRecords, DefaultMaxRecords)
	return &Ledger{config: config, entries: make(map[Key]*entry)}
}

// Record keeps a record and the holders that have been told of it, or a copy of a record
// that others keep if there are none. A record of another origin than the known one makes the
// stream's origin unknown: two requests had one id.
func (ledger *Ledger) Record(record Record, holders []string) {
	if record.Key == 0 || !record.Origin.Known() || record.Lifetime <= 0 {
		return
	}
	now := time.Now()
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.prune(now)
	known, ok := ledger.entries[record.Key]
	if !ok {
		if len(ledger.entries) >= ledger.config.MaxRecords {
			return
		}
		known = &entry{origin: record.Origin}
		ledger.entries[record.Key] = known
	}
	if known.origin != record.Origin {
		known.origin = Origin{}
	}
	if len(holders) > 0 {
		known.holders = holders
	}
	if expiresAt := now.Add(record.Lifetime); expiresAt.After(known.expiresAt) {
		known.expiresAt = expiresAt
	}
}

// Find returns the origin of a stream. found means that the ledger has a record of it,
// also if its origin is not known.
func (ledger *Ledger) Find(key Key) (record Record, found bool) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	known, ok := ledger.entries[key]
	if !ok || !time.Now().Before(known.expiresAt) {
		return Record{Key: key}, false
	}
	return Record{Key: key, Origin: known.origin, Lifetime: time.Until(known.expiresAt)}, true
}

// Orphans returns the records of which a holder is not among the present ones, ordered by
// key.
func (ledger *Ledger) Orphans(present map[string]bool) []Record {
	return ledger.heldBy(func(holder string) bool { return !present[holder] })
}

// HeldBy returns the records that a holder has been told of, ordered by key.
func (ledger *Ledger) HeldBy(holder string) []Record {
	return ledger.heldBy(func(other string) bool { return other == holder })
}

// Told returns the records that holders have been told of, ordered by key.
func (ledger *Ledger) Told() []Record {
	return ledger.heldBy(func(string) bool { return true })
}

// Copies returns the copies of records that others keep, ordered by key.
func (ledger *Ledger) Copies() []Record {
	return ledger.selected(func(known *entry) bool { return len(known.holders) == 0 })
}

// IsCopy reports whether the ledger has no more than a copy of the record of a stream.
func (ledger *Ledger) IsCopy(key Key) bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	known, ok := ledger.entries[key]
	return ok && len(known.holders) == 0
}

// heldBy returns the records of which a function selects a holder, ordered by key.
func (ledger *Ledger) heldBy(selected func(holder string) bool) []Record {
	return ledger.selected(func(known *entry) bool { return slices.ContainsFunc(known.holders, selected) })
}

// selected returns the records of known origin that a function selects, ordered by key.
func (ledger *Ledger) selected(selects func(known *entry) bool) []Record {
	now := time.Now()
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.prune(now)
	var records []Record
	for key, known := range ledger.entries {
		if known.origin.Known() && selects(known) {
			records = append(records, Record{Key: key, Origin: known.origin, Lifetime: known.expiresAt.Sub(now)})
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return records
}

// Len returns the number of records.
func (ledger *Ledger) Len() int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return len(ledger.entries)
}

// prune removes expired entries.
func (ledger *Ledger) prune(now time.Time) {
	if now.Sub(ledger.prunedAt) < pruneInterval && len(ledger.entries) < ledger.config.MaxRecords {
		return
	}
	ledger.prunedAt = now
	maps.DeleteFunc(ledger.entries, func(_ Key, known *entry) bool { return !now.Before(known.expiresAt) })
}
