package ring

import (
	"math"
	"math/bits"
	"time"
)

const (
	// setSize is the number of entries in a set of the set-associative table. 8
	// entries of 16 bytes fill two cache lines.
	setSize = 8
	// tick is the resolution of times in entries.
	tick = 100 * time.Millisecond
	// minCount is the decayed count below which an entry is idle: that of one
	// request seven half-lives ago.
	minCount = 1.0 / 128
)

// PopularityConfig configures a Popularity.
type PopularityConfig struct {
	// Adapters is the expected number of adapters with an entry at the same
	// time.
	Adapters int
	// HalfLife is the time in which a request's share of the count halves.
	HalfLife time.Duration
	// Start is the time from which the times in entries count. It must not be
	// later than any request.
	Start time.Time
}

// Popularity estimates the request rate of each adapter by an exponentially
// decayed count in a table of fixed size. A new entry replaces the entry with the
// lowest count in its set. It is not safe for concurrent use.
type Popularity struct {
	sets     [][setSize]decayedCount
	start    time.Time
	halfLife float64 // in ticks
}

// decayedCount is the entry of one adapter. Its count was decayed up to the time
// updated, in ticks since the start.
type decayedCount struct {
	adapter uint64
	count   float32
	updated uint32
}

// NewPopularity returns an empty Popularity.
func NewPopularity(config PopularityConfig) *Popularity {
	// A quarter more entries than adapters keep full sets rare.
	sets := max(1, config.Adapters*5/4/setSize)
	width := bits.Len(uint(sets - 1))
	return &Popularity{
		sets:     make([][setSize]decayedCount, 1<<width),
		start:    config.Start,
		halfLife: float64(config.HalfLife) / float64(tick),
	}
}

// CountRequest counts a request for the adapter and returns the adapter's rate
// per second without it, since a single request does not indicate a rate.
func (popularity *Popularity) CountRequest(now time.Time, adapter uint64) float64 {
	moment := popularity.ticks(now)
	entry := popularity.findEntry(moment, adapter)
	count := float32(0)
	if entry.adapter == adapter {
		count = popularity.countAt(entry, moment)
	}
	*entry = decayedCount{adapter: adapter, count: count + 1, updated: moment}
	return popularity.rate(count)
}

// Rate returns the adapter's request rate per second, or 0 if it has no entry.
func (popularity *Popularity) Rate(now time.Time, adapter uint64) float64 {
	moment := popularity.ticks(now)
	if entry := popularity.findEntry(moment, adapter); entry.adapter == adapter {
		return popularity.rate(popularity.countAt(entry, moment))
	}
	return 0
}

// Len returns the number of entries that are not idle.
func (popularity *Popularity) Len(now time.Time) int {
	moment, count := popularity.ticks(now), 0
	for index := range popularity.sets {
		for entry := range popularity.sets[index] {
			if popularity.countAt(&popularity.sets[index][entry], moment) >= minCount {
				count++
			}
		}
	}
	return count
}

func (popularity *Popularity) ticks(now time.Time) uint32 {
	return uint32(now.Sub(popularity.start) / tick)
}

// findEntry returns the adapter's entry, or the entry that the adapter may
// replace.
func (popularity *Popularity) findEntry(moment uint32, adapter uint64) *decayedCount {
	set := &popularity.sets[adapter&uint64(len(popularity.sets)-1)]
	for index := range set {
		if set[index].adapter == adapter {
			return &set[index]
		}
	}
	least := &set[0]
	lowest := popularity.countAt(least, moment)
	for index := 1; index < setSize; index++ {
		if count := popularity.countAt(&set[index], moment); count < lowest {
			least, lowest = &set[index], count
		}
	}
	return least
}

func (popularity *Popularity) countAt(entry *decayedCount, moment uint32) float32 {
	if entry.updated == moment || entry.count == 0 {
		return entry.count
	}
	return entry.count * float32(math.Exp2(-float64(moment-entry.updated)/popularity.halfLife))
}

// rate converts a decayed count to requests per second.
func (popularity *Popularity) rate(count float32) float64 {
	return float64(count) * math.Ln2 / (popularity.halfLife * tick.Seconds())
}

// ReplicaCount returns the number of upstreams that should load an adapter with
// a request rate, if each serves perReplica requests per second. It is at least
// 1 and at most the given maximum.
func ReplicaCount(rate, perReplica float64, limit int) int {
	return int(min(float64(limit), 1+math.Floor(rate/perReplica)))
}
