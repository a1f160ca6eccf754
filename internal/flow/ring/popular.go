package ring

import (
	"math"
	"math/bits"
	"time"
)

const (
	// setSize is the number of entries that share a set; 8 entries of 16 bytes
	// fill two cache lines.
	setSize = 8
	// tick is the resolution of the time in entries.
	tick = 100 * time.Millisecond
	// idleCount is the decayed count below which an entry counts as empty: one
	// request seven half-lives ago.
	idleCount = 1.0 / 128
)

// PopularityConfig configures a Popularity.
type PopularityConfig struct {
	// Adapters is the number of adapters that have an entry at the same time.
	Adapters int
	// HalfLife is the time in which the weight of a request halves.
	HalfLife time.Duration
	// Start is the time from which entries count.
	Start time.Time
}

// Popularity keeps a decayed request rate for each adapter in a table of fixed
// size. Idle entries give way to new ones, and in a full set the least popular
// one does. It is not safe for concurrent use.
type Popularity struct {
	sets     [][setSize]popular
	start    time.Time
	halfLife float64
}

// popular is the entry of one adapter; count was right at the time at.
type popular struct {
	adapter uint64
	count   float32
	at      uint32
}

// NewPopularity returns an empty Popularity.
func NewPopularity(config PopularityConfig) *Popularity {
	// A quarter more room keeps full sets rare.
	sets := max(1, config.Adapters*5/4/setSize)
	width := bits.Len(uint(sets - 1))
	return &Popularity{
		sets:     make([][setSize]popular, 1<<width),
		start:    config.Start,
		halfLife: float64(config.HalfLife) / float64(tick),
	}
}

// CountRequest counts a request for the adapter and returns its rate per second before
// this request: a single request says nothing about a rate.
func (popularity *Popularity) CountRequest(now time.Time, adapter uint64) float64 {
	at := popularity.ticks(now)
	entry := popularity.find(at, adapter)
	count := float32(0)
	if entry.adapter == adapter {
		count = popularity.decayed(entry, at)
	}
	*entry = popular{adapter: adapter, count: count + 1, at: at}
	return popularity.rate(count)
}

// Rate returns the adapter's rate per second.
func (popularity *Popularity) Rate(now time.Time, adapter uint64) float64 {
	at := popularity.ticks(now)
	if entry := popularity.find(at, adapter); entry.adapter == adapter {
		return popularity.rate(popularity.decayed(entry, at))
	}
	return 0
}

// Len returns the number of entries that are not idle.
func (popularity *Popularity) Len(now time.Time) int {
	at, count := popularity.ticks(now), 0
	for index := range popularity.sets {
		for entry := range popularity.sets[index] {
			if popularity.decayed(&popularity.sets[index][entry], at) >= idleCount {
				count++
			}
		}
	}
	return count
}

func (popularity *Popularity) ticks(now time.Time) uint32 {
	return uint32(now.Sub(popularity.start) / tick)
}

// find returns the adapter's entry, or the one that it may replace.
func (popularity *Popularity) find(at uint32, adapter uint64) *popular {
	set := &popularity.sets[adapter&uint64(len(popularity.sets)-1)]
	for index := range set {
		if set[index].adapter == adapter {
			return &set[index]
		}
	}
	least := &set[0]
	lowest := popularity.decayed(least, at)
	for index := 1; index < setSize; index++ {
		if count := popularity.decayed(&set[index], at); count < lowest {
			least, lowest = &set[index], count
		}
	}
	return least
}

func (popularity *Popularity) decayed(entry *popular, at uint32) float32 {
	if entry.at == at || entry.count == 0 {
		return entry.count
	}
	return entry.count * float32(math.Exp2(-float64(at-entry.at)/popularity.halfLife))
}

// rate converts a decayed count to requests per second.
func (popularity *Popularity) rate(count float32) float64 {
	return float64(count) * math.Ln2 / (popularity.halfLife * tick.Seconds())
}

// ReplicaCount returns the number of upstreams that should hold an adapter with
// this rate, when each carries perReplica requests per second.
func ReplicaCount(rate, perReplica float64, most int) int {
	return int(min(float64(most), 1+math.Floor(rate/perReplica)))
}
