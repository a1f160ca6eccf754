// Package bucket holds an organisation's rate over all entry instances without a
// coordinator: each instance keeps a copy of the organisation's token bucket,
// takes its own requests from it at once and those of the others as it hears of
// them. The copies differ by what was spent within one exchange. An instance
// that does not hear from the others takes no more than its part of the rate.
package bucket

import (
	"cmp"
	"math"
	"sync"
	"time"
)

// Defaults of Config.
const (
	// DefaultPeerTimeout is how long another instance may be silent before its part
	// of the rate is left to it.
	DefaultPeerTimeout = 450 * time.Millisecond
	// DefaultInitial is the part of the burst that all instances together may
	// spend at once after all started anew. What was spent before is not known.
	DefaultInitial = 0.6
	// DefaultUse is the part of rate and burst that is given out. The rest
	// covers what the instances spend between two exchanges.
	DefaultUse = 1.0
)

const (
	// paceTime is over how long spending is averaged.
	paceTime = 2 * time.Second
	// evenPart is the part of a rate that counts as spent evenly, so that an
	// organisation that was idle is split evenly.
	evenPart = 0.1
	// recentTime is how long after a start it matters what buckets held then.
	recentTime = 2 * time.Second
	// followTime is how long after its start an instance heeds what those that
	// started earlier say of the buckets.
	followTime = 10 * time.Second
	// leastPart bounds the part of a rate that an instance has from below.
	leastPart = 0.01
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

// Limiter holds the buckets of all organisations as one instance sees them. Its
// methods may be called concurrently.
type Limiter struct {
	config Config

	mutex sync.Mutex
	start time.Time
	// since is the time from which the buckets count: the start of this
	// instance, or of the one whose buckets it took over.
	since     time.Time
	instances int
	// settled means that it is decided what new buckets hold, and adopted that
	// the buckets of another instance were taken over.
	settled bool
	adopted bool
	buckets map[string]*bucket
	peers   map[string]*peer
}

type bucket struct {
	limit Limit
	level float64
	// own is what this instance has spent since its start, and pace how fast.
	own   float64
	pace  pace
	drawn time.Time
}

// New returns an empty Ledger.
func New(config Config) *Limiter {
	config.Silence = cmp.Or(config.Silence, DefaultPeerTimeout)
	config.Initial = cmp.Or(config.Initial, DefaultInitial)
	config.Use = cmp.Or(config.Use, DefaultUse)
	now := time.Now()
	return &Limiter{config: config, start: now, since: now, buckets: make(map[string]*bucket), peers: make(map[string]*peer)}
}

// Take spends cost of an organisation's bucket. If the bucket does not hold it,
// Take spends nothing and returns how long it takes to fill so far.
func (ledger *Limiter) Take(organisation string, limit Limit, cost float64) (time.Duration, bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	bucket := ledger.refill(organisation, limit)
	if lacking := math.Min(cost, limit.Burst*ledger.config.Use) - bucket.level; lacking > 0 {
		rate := limit.Rate * ledger.config.Use * ledger.part(organisation, limit)
		return time.Duration(lacking / rate * float64(time.Second)), false
	}
	bucket.level -= cost
	bucket.own += cost
	bucket.pace.add(cost)
	return 0, true
}

// Status is what an instance knows of an organisation's share.
type Status struct {
	// Level is what may be spent at once, Part the part of the rate that this
	// instance counts on.
	Level    float64
	Fraction float64
	// SilentPeers is the number of instances that are not heard.
	SilentPeers int
}

// Status returns what is known of an organisation's share.
func (ledger *Limiter) Status(organisation string, limit Limit) Status {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	bucket := ledger.refill(organisation, limit)
	standing := Status{Level: bucket.level, Fraction: ledger.part(organisation, limit)}
	for _, peer := range ledger.peers {
		if peer.silent {
			standing.SilentPeers++
		}
	}
	return standing
}

// Refund gives back what a request took that did not run.
func (ledger *Limiter) Refund(organisation string, cost float64) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if bucket, ok := ledger.buckets[organisation]; ok {
		bucket.level = math.Min(bucket.level+cost, bucket.limit.Burst*ledger.config.Use)
		bucket.own -= cost
	}
}

// refill brings a bucket to the present.
func (ledger *Limiter) refill(organisation string, limit Limit) *bucket {
	found, ok := ledger.buckets[organisation]
	if !ok {
		found = ledger.create(organisation, limit)
		ledger.buckets[organisation] = found
	}
	if found.limit != limit {
		found.limit = limit
		found.level = math.Min(found.level, limit.Burst)
	}
	ledger.fill(found, organisation)
	return found
}

// fill adds to a bucket what its rate gave since it was drawn from.
func (ledger *Limiter) fill(bucket *bucket, organisation string) {
	now := time.Now()
	elapsed := now.Sub(bucket.drawn).Seconds()
	bucket.drawn = now
	use, limit := ledger.config.Use, bucket.limit
	bucket.level = math.Min(bucket.level+elapsed*limit.Rate*use*ledger.part(organisation, limit), limit.Burst*use)
}
