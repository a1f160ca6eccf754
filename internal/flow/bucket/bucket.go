// Package bucket limits the rate of each organisation over all entry instances
// without a coordinator. Each instance keeps a copy of the organisation's token
// bucket, takes its own requests off it at once, and takes off what the other
// instances spend as they report it. The copies differ by what is spent within
// one exchange. While another instance is silent, the fraction of the rate that
// it spent before is reserved for it.
//
// The limit over all side processes, which shards the buckets, is in package
// quota.
package bucket

import (
	"cmp"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults of Config.
const (
	// DefaultPeerTimeout is how long nothing may be heard of another instance
	// before it counts as silent and a fraction of the rate is reserved for it.
	DefaultPeerTimeout = 450 * time.Millisecond
	// DefaultInitialFraction is the fraction of the burst that all instances
	// together may spend at once after a restart of all of them, when nobody
	// knows what was spent before.
	DefaultInitialFraction = 0.6
	// DefaultUsableFraction is the fraction of rate and burst that requests may
	// use. The rest covers what the instances spend between two exchanges.
	DefaultUsableFraction = 1.0
)

const (
	// averagingTime is the time constant of the average spending rates.
	averagingTime = 2 * time.Second
	// evenFraction is the fraction of a rate that counts as spent equally by
	// all instances, so that the rate of an idle organisation is split equally.
	evenFraction = 0.1
	// startupTime is how long after its start an instance counts as just
	// started. Instances that start together each get a grant of the burst.
	startupTime = 2 * time.Second
	// capTime is how long after its start, or after it was stopped, an instance limits its
	// bucket levels to those that others report.
	capTime = 10 * time.Second
	// minFraction is the smallest fraction of a rate that an instance counts
	// on.
	minFraction = 0.01
)

// Config configures a Limiter. Zero values mean the defaults.
type Config struct {
	PeerTimeout     time.Duration
	InitialFraction float64
	UsableFraction  float64
	// Seed seeds the random numbers. 0 means a random seed.
	Seed uint64
}

// Limit is the rate limit of one organisation, in the units that it is charged
// in.
type Limit struct {
	// Rate is in units per second; 0 means no limit.
	Rate  float64
	Burst float64
}

// Limiter holds this instance's copy of the buckets of all organisations. Its
// methods may be called concurrently.
type Limiter struct {
	config Config

	mutex sync.Mutex
	start time.Time
	// fillStart is the time from which new buckets fill: the start of this
	// instance, or of the one whose levels it adopted.
	fillStart time.Time
	instances int
	// initialised means that the level of new buckets is known, and adopted
	// that the levels of another instance were adopted.
	initialised bool
	adopted     bool
	// cappedSince is since when the levels are limited to those that others report, for
	// capTime, or zero.
	cappedSince time.Time
	// creditAt is from when the buckets get what was withheld from them while this instance
	// was stopped, or zero.
	creditAt time.Time
	// recalled holds levels that ended instances told.
	recalled *Keeper
	buckets  map[string]*bucket
	peers    map[string]*peer
	// refused holds the requests of classes that were denied of late.
	refused *recentSet
	random  *rand.Rand
}

// bucket is this instance's copy of an organisation's token bucket.
type bucket struct {
	limit Limit
	level float64
	// spent is what this instance has spent since its start, and rate how fast
	// it spends.
	spent    float64
	rate     spendingRate
	filledAt time.Time
	// classes holds what this instance was asked for by requests that have a class.
	classes map[Class]*classUse
	// stagger is by which part of its range this instance's next request of a class that
	// can wait is staggered.
	stagger float64
	// withheld is what the bucket did not get of its rate since a part of it is reserved
	// for silent instances.
	withheld float64
}

// New returns a Limiter without buckets.
func New(config Config) *Limiter {
	config.PeerTimeout = cmp.Or(config.PeerTimeout, DefaultPeerTimeout)
	config.InitialFraction = cmp.Or(config.InitialFraction, DefaultInitialFraction)
	config.UsableFraction = cmp.Or(config.UsableFraction, DefaultUsableFraction)
	now := time.Now()
	return &Limiter{config: config, start: now, fillStart: now, recalled: NewKeeper(), buckets: make(map[string]*bucket), peers: make(map[string]*peer), refused: newRecentSet(), random: rand.New(rand.NewPCG(cmp.Or(config.Seed, rand.Uint64()), 0))}
}

// Take spends cost from an organisation's bucket. If the level does not
// suffice, it spends nothing and returns false and the time after which it
// would. A cost above the burst needs a full bucket.
func (limiter *Limiter) Take(organisation string, limit Limit, cost float64) (time.Duration, bool) {
	denial, ok := limiter.TakeRequest(organisation, limit, Request{Cost: cost})
	return denial.Wait, ok
}

// Status describes an organisation's bucket as this instance sees it.
type Status struct {
	// Level is what may be spent at once, and Fraction the fraction of the rate
	// that this instance counts on.
	Level    float64
	Fraction float64
	// SilentPeers is the number of other instances that have not reported within
	// PeerTimeout.
	SilentPeers int
}

// Status returns the status of an organisation's bucket.
func (limiter *Limiter) Status(organisation string, limit Limit) Status {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	bucket := limiter.currentBucket(organisation, limit)
	status := Status{Level: bucket.level, Fraction: limiter.fraction(organisation, limit)}
	for _, peer := range limiter.peers {
		if peer.silent {
			status.SilentPeers++
		}
	}
	return status
}

// Refund returns the cost of a request that did not run to its organisation's
// bucket.
func (limiter *Limiter) Refund(organisation string, cost float64) {
	limiter.RefundClass(organisation, cost, Unclassified)
}

// RefundClass is Refund for a request of a class.
func (limiter *Limiter) RefundClass(organisation string, cost float64, class Class) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if bucket, ok := limiter.buckets[organisation]; ok {
		bucket.level = math.Min(bucket.level+cost, bucket.limit.Burst*limiter.config.UsableFraction)
		bucket.spent -= cost
		bucket.spend(class, -cost)
	}
}

// currentBucket returns an organisation's bucket, refilled up to now and held
// to the present limit.
func (limiter *Limiter) currentBucket(organisation string, limit Limit) *bucket {
	found, ok := limiter.buckets[organisation]
	if !ok {
		found = limiter.newBucket(organisation, limit)
		limiter.buckets[organisation] = found
	}
	if found.limit != limit {
		found.limit = limit
		found.level = math.Min(found.level, limit.Burst)
	}
	limiter.refill(found, organisation)
	return found
}

// refill adds what the rate has given since the bucket was last refilled.
func (limiter *Limiter) refill(bucket *bucket, organisation string) {
	now := time.Now()
	elapsed := now.Sub(bucket.filledAt).Seconds()
	bucket.filledAt = now
	usable, limit := limiter.config.UsableFraction, bucket.limit
	fraction, refill := limiter.fraction(organisation, limit), elapsed*limit.Rate*usable
	bucket.level = math.Min(bucket.level+refill*fraction, limit.Burst*usable)
	bucket.withhold(refill*(1-fraction), limiter.creditAt.IsZero())
}
