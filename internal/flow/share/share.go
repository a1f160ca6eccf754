// Package share holds an organisation's rate over all entry instances without a
// coordinator: each instance keeps a copy of the organisation's token bucket,
// takes its own requests from it at once and those of the others as it hears of
// them. The copies differ by what was spent within one exchange. An instance
// that does not hear from the others takes no more than its part of the rate.
package share

import (
	"math"
	"sync"
	"time"
)

// Defaults of Config.
const (
	// DefaultSilence is how long another instance may be silent before its part
	// of the rate is left to it.
	DefaultSilence = 450 * time.Millisecond
	// DefaultInitial is the part of the burst that all instances together may
	// spend at once after they started anew. What was spent before is not known.
	DefaultInitial = 0.4
	// DefaultUse is the part of rate and burst that is given out. The rest
	// covers what the instances spend between two exchanges.
	DefaultUse = 1.0
)

// Config configures a Ledger. Zero values mean the defaults.
type Config struct {
	Silence time.Duration
	Initial float64
	Use     float64
}

// Limit is the rate of one organisation, in its own units.
type Limit struct {
	// Rate is in units per second; 0 means no limit.
	Rate  float64
	Burst float64
}

// Ledger holds the buckets of all organisations as one instance sees them. Its
// methods may be called concurrently.
type Ledger struct {
	config Config

	mutex     sync.Mutex
	start     time.Time
	instances int
	buckets   map[string]*bucket
	peers     map[string]*peer
}

type bucket struct {
	limit Limit
	level float64
	// own is what this instance has spent since its start.
	own   float64
	drawn time.Time
}

// peer is another entry instance.
type peer struct {
	start int64
	heard time.Time
	spent map[string]float64
}

// New returns an empty Ledger.
func New(config Config) *Ledger {
	if config.Silence == 0 {
		config.Silence = DefaultSilence
	}
	if config.Initial == 0 {
		config.Initial = DefaultInitial
	}
	if config.Use == 0 {
		config.Use = DefaultUse
	}
	return &Ledger{config: config, start: time.Now(), buckets: make(map[string]*bucket), peers: make(map[string]*peer)}
}

// Take spends cost of an organisation's bucket. If the bucket does not hold it,
// Take spends nothing and returns how long it takes to fill so far.
func (ledger *Ledger) Take(organisation string, limit Limit, cost float64) (time.Duration, bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	bucket := ledger.refill(organisation, limit)
	if bucket.level < math.Min(cost, limit.Burst*ledger.config.Use) {
		rate := limit.Rate * ledger.part()
		return time.Duration((cost - bucket.level) / rate * float64(time.Second)), false
	}
	bucket.level -= cost
	bucket.own += cost
	return 0, true
}

// Return gives back what a request took that did not run.
func (ledger *Ledger) Return(organisation string, cost float64) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if bucket, ok := ledger.buckets[organisation]; ok {
		bucket.level = math.Min(bucket.level+cost, bucket.limit.Burst*ledger.config.Use)
		bucket.own -= cost
	}
}

// SetInstances records how many instances share the rates. Until it is known,
// new buckets start empty.
func (ledger *Ledger) SetInstances(count int) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if ledger.instances > 0 || count <= 0 {
		return
	}
	ledger.instances = count
	for _, bucket := range ledger.buckets {
		bucket.level += ledger.initial(bucket.limit)
	}
}

// initial returns what a new bucket holds: this instance's part of what all may
// spend although the burst may have been spent just before.
func (ledger *Ledger) initial(limit Limit) float64 {
	if ledger.instances == 0 {
		return 0
	}
	return limit.Burst * ledger.config.Initial / float64(ledger.instances)
}

// refill brings a bucket to the present.
func (ledger *Ledger) refill(organisation string, limit Limit) *bucket {
	now := time.Now()
	found, ok := ledger.buckets[organisation]
	if !ok {
		found = &bucket{limit: limit, drawn: ledger.start, level: ledger.initial(limit)}
		ledger.buckets[organisation] = found
	}
	if found.limit != limit {
		found.limit = limit
		found.level = math.Min(found.level, limit.Burst)
	}
	elapsed := now.Sub(found.drawn).Seconds()
	found.drawn = now
	use := ledger.config.Use
	found.level = math.Min(found.level+elapsed*limit.Rate*use*ledger.part(), limit.Burst*use)
	return found
}

// part returns the part of the rate that this instance may count on: all of it
// while it hears the others, since what they spend is taken off.
func (ledger *Ledger) part() float64 {
	now := time.Now()
	silent, heard := 0, 1
	for _, peer := range ledger.peers {
		if now.Sub(peer.heard) > ledger.config.Silence {
			silent++
		} else {
			heard++
		}
	}
	return float64(heard) / float64(heard+silent)
}

// Gone records that another instance has ended, so that its part of the rate is
// free. Silence alone does not show this: it may serve behind a partition.
func (ledger *Ledger) Gone(name string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	delete(ledger.peers, name)
}

// Heard records what another instance says it spent since its start.
func (ledger *Ledger) Heard(name string, start int64, spent map[string]float64) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	known, ok := ledger.peers[name]
	if !ok {
		// What it spent before it was known is in no bucket yet: a bucket of
		// this instance that is as old holds at most what was left over.
		ledger.peers[name] = &peer{start: start, heard: time.Now(), spent: spent}
		return
	}
	if known.start != start {
		known.start, known.spent = start, nil
	}
	for organisation, total := range spent {
		if bucket, ok := ledger.buckets[organisation]; ok {
			bucket.level -= total - known.spent[organisation]
		}
	}
	known.heard, known.spent = time.Now(), spent
}

// Spent returns what this instance spent for each organisation since its start.
func (ledger *Ledger) Spent() map[string]float64 {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	spent := make(map[string]float64, len(ledger.buckets))
	for organisation, bucket := range ledger.buckets {
		spent[organisation] = bucket.own
	}
	return spent
}

// Level returns what an organisation's bucket holds, for metrics.
func (ledger *Ledger) Level(organisation string) float64 {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	bucket, ok := ledger.buckets[organisation]
	if !ok {
		return 0
	}
	return bucket.level
}

// Peers returns how many other instances are heard, and how many are silent.
func (ledger *Ledger) Peers() (heard, silent int) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	now := time.Now()
	for _, peer := range ledger.peers {
		if now.Sub(peer.heard) > ledger.config.Silence {
			silent++
		} else {
			heard++
		}
	}
	return heard, silent
}
