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

const (
	// paceTime is over how long spending is averaged.
	paceTime = 2 * time.Second
	// evenPart is the part of a rate that counts as spent evenly, so that an
	// organisation that was idle is split evenly.
	evenPart = 0.1
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
	// own is what this instance has spent since its start, and pace how fast.
	own   float64
	pace  pace
	drawn time.Time
}

// peer is another entry instance.
type peer struct {
	start  int64
	heard  time.Time
	silent bool
	spent  map[string]float64
	paces  map[string]*pace
	// kept is the part of each organisation's rate that is left to the instance
	// while it is silent.
	kept map[string]float64
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
		rate := limit.Rate * ledger.part(organisation, limit)
		return time.Duration((cost - bucket.level) / rate * float64(time.Second)), false
	}
	bucket.level -= cost
	bucket.own += cost
	bucket.pace.add(cost)
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
	found.level = math.Min(found.level+elapsed*limit.Rate*use*ledger.part(organisation, limit), limit.Burst*use)
	return found
}

// part returns the part of an organisation's rate that this instance may count
// on: all of it while it hears the others, since what they spend is taken off.
// A silent instance keeps the part that it spent before, so that both sides of a
// partition together stay within the rate and each can go on as it did.
func (ledger *Ledger) part(organisation string, limit Limit) float64 {
	now := time.Now()
	for _, peer := range ledger.peers {
		if !peer.silent && now.Sub(peer.heard) > ledger.config.Silence {
			peer.silent = true
			peer.kept = make(map[string]float64)
		}
	}
	part := 1.0
	for _, peer := range ledger.peers {
		if !peer.silent {
			continue
		}
		kept, ok := peer.kept[organisation]
		if !ok {
			kept = ledger.proportion(peer, organisation, limit)
			peer.kept[organisation] = kept
		}
		part -= kept
	}
	return max(part, leastPart)
}

// proportion returns the part of an organisation's recent spending that was an
// instance's. Where little was spent, all count alike.
func (ledger *Ledger) proportion(peer *peer, organisation string, limit Limit) float64 {
	base := limit.Rate * evenPart / float64(1+len(ledger.peers))
	sum := base
	if bucket, ok := ledger.buckets[organisation]; ok {
		sum += bucket.pace.at(peer.heard)
	}
	for _, other := range ledger.peers {
		sum += base + other.pace(organisation).at(peer.heard)
	}
	return (base + peer.pace(organisation).at(peer.heard)) / sum
}

func (peer *peer) pace(organisation string) *pace {
	found, ok := peer.paces[organisation]
	if !ok {
		found = &pace{}
		peer.paces[organisation] = found
	}
	return found
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
		ledger.peers[name] = &peer{start: start, heard: time.Now(), spent: spent, paces: make(map[string]*pace)}
		return
	}
	if known.start != start {
		known.start, known.spent = start, nil
	}
	for organisation, total := range spent {
		more := total - known.spent[organisation]
		known.pace(organisation).add(more)
		if bucket, ok := ledger.buckets[organisation]; ok {
			bucket.level -= more
		}
	}
	known.heard, known.silent, known.spent = time.Now(), false, spent
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

// pace is an exponentially weighted average of units per second.
type pace struct {
	value float64
	since time.Time
}

func (pace *pace) add(units float64) {
	now := time.Now()
	pace.value = pace.at(now) + units/paceTime.Seconds()
	pace.since = now
}

// at returns the average at a time.
func (pace *pace) at(now time.Time) float64 {
	elapsed := max(now.Sub(pace.since), 0)
	return pace.value * math.Exp(-elapsed.Seconds()/paceTime.Seconds())
}
