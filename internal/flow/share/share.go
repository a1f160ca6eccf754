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

// Ledger holds the buckets of all organisations as one instance sees them. Its
// methods may be called concurrently.
type Ledger struct {
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

// Statement is what an instance says of its spending.
type Statement struct {
	// Start identifies the instance's start, and Uptime is the time for which
	// its buckets count.
	Start  int64
	Uptime time.Duration
	// Settled means that Levels holds all buckets.
	Settled bool
	// Spent is what it has spent since its start, and Levels what its buckets
	// hold, by organisation.
	Spent  map[string]float64
	Levels map[string]float64
}

// peer is another entry instance.
type peer struct {
	Statement
	// granted means that it started together with this instance, with a grant
	// of its own.
	granted bool
	heard   time.Time
	silent  bool
	paces   map[string]*pace
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
	now := time.Now()
	return &Ledger{config: config, start: now, since: now, buckets: make(map[string]*bucket), peers: make(map[string]*peer)}
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
	if lacking := math.Min(cost, limit.Burst*ledger.config.Use) - bucket.level; lacking > 0 {
		rate := limit.Rate * ledger.config.Use * ledger.part(organisation, limit)
		return time.Duration(lacking / rate * float64(time.Second)), false
	}
	bucket.level -= cost
	bucket.own += cost
	bucket.pace.add(cost)
	return 0, true
}

// Standing is what an instance knows of an organisation's share.
type Standing struct {
	// Level is what may be spent at once, Part the part of the rate that this
	// instance counts on.
	Level float64
	Part  float64
	// Silent is the number of instances that are not heard.
	Silent int
}

// Standing returns what is known of an organisation's share.
func (ledger *Ledger) Standing(organisation string, limit Limit) Standing {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	bucket := ledger.refill(organisation, limit)
	standing := Standing{Level: bucket.level, Part: ledger.part(organisation, limit)}
	for _, peer := range ledger.peers {
		if peer.silent {
			standing.Silent++
		}
	}
	return standing
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
// or another instance has told what its buckets hold, new buckets start empty.
func (ledger *Ledger) SetInstances(count int) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if ledger.settled || count <= 0 {
		return
	}
	ledger.settled, ledger.instances = true, count
	for _, bucket := range ledger.buckets {
		bucket.level = math.Min(bucket.level+ledger.granted(bucket.limit), bucket.limit.Burst)
	}
}

// Settled reports whether it is decided what new buckets hold.
func (ledger *Ledger) Settled() bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.settled
}

// grant returns what each instance may spend although the burst may have been
// spent just before it started.
func (ledger *Ledger) grant(limit Limit) float64 {
	if ledger.instances == 0 {
		return 0
	}
	return limit.Burst * ledger.config.Initial / float64(ledger.instances)
}

// granted returns the grants of this instance and of those that started with it.
func (ledger *Ledger) granted(limit Limit) float64 {
	sum := ledger.grant(limit)
	if ledger.adopted {
		return sum
	}
	for _, peer := range ledger.peers {
		if peer.granted {
			sum += ledger.grant(limit)
		}
	}
	return sum
}

// create returns a bucket filled since the start, with no more than what
// instances say that started earlier.
func (ledger *Ledger) create(organisation string, limit Limit) *bucket {
	created := &bucket{limit: limit, drawn: ledger.since, level: ledger.granted(limit)}
	for _, peer := range ledger.peers {
		if peer.granted && !ledger.adopted {
			created.level -= peer.Spent[organisation]
		}
	}
	ledger.fill(created, organisation)
	for _, peer := range ledger.peers {
		if level, ok := peer.Levels[organisation]; ok && !peer.granted && !peer.silent {
			created.level = math.Min(created.level, level)
		}
	}
	return created
}

// refill brings a bucket to the present.
func (ledger *Ledger) refill(organisation string, limit Limit) *bucket {
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
func (ledger *Ledger) fill(bucket *bucket, organisation string) {
	now := time.Now()
	elapsed := now.Sub(bucket.drawn).Seconds()
	bucket.drawn = now
	use, limit := ledger.config.Use, bucket.limit
	bucket.level = math.Min(bucket.level+elapsed*limit.Rate*use*ledger.part(organisation, limit), limit.Burst*use)
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

// Heard records what another instance says of its spending.
func (ledger *Ledger) Heard(name string, statement Statement) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	known, ok := ledger.peers[name]
	if !ok || known.Start != statement.Start {
		known = ledger.meet(name, statement)
	}
	for organisation, total := range statement.Spent {
		more := total - known.Spent[organisation]
		known.pace(organisation).add(more)
		if bucket, ok := ledger.buckets[organisation]; ok {
			bucket.level -= more
		}
	}
	if !ledger.settled && statement.Settled {
		ledger.adopt(statement)
	}
	ledger.follow(statement)
	known.heard, known.silent, known.Statement = time.Now(), false, statement
}

// follow bounds the buckets by what another instance says of them, while this
// one may not know of all that count on a part of the rates.
func (ledger *Ledger) follow(statement Statement) {
	if !ledger.adopted || !statement.Settled || time.Since(ledger.start) > followTime {
		return
	}
	for organisation, level := range statement.Levels {
		if bucket, ok := ledger.buckets[organisation]; ok {
			ledger.fill(bucket, organisation)
			bucket.level = math.Min(bucket.level, level)
		}
	}
}

// meet records a start of another instance that was not known. Of what it spent
// before, that part counts which no bucket of this instance shows yet.
func (ledger *Ledger) meet(name string, statement Statement) *peer {
	known, restarted := ledger.peers[name]
	if !restarted {
		known = &peer{paces: make(map[string]*pace)}
		ledger.peers[name] = known
	}
	known.Statement = Statement{Start: statement.Start}
	recent := time.Since(ledger.since) < recentTime && statement.Uptime < recentTime
	known.granted = recent && ledger.settled == statement.Settled
	switch {
	case known.granted:
		for _, bucket := range ledger.buckets {
			bucket.level += ledger.grant(bucket.limit)
		}
	case !restarted && statement.Uptime >= recentTime:
		known.Spent = statement.Spent
	}
	return known
}

// adopt takes over what the buckets of another instance hold.
func (ledger *Ledger) adopt(statement Statement) {
	ledger.settled, ledger.adopted, ledger.instances = true, true, 1
	ledger.since = time.Now().Add(-statement.Uptime)
	for organisation, level := range statement.Levels {
		if bucket, ok := ledger.buckets[organisation]; ok {
			bucket.level, bucket.drawn = level-bucket.own, time.Now()
		}
	}
}

// Statement returns what this instance says of its spending. The caller adds
// what identifies its start.
func (ledger *Ledger) Statement() Statement {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	statement := Statement{
		Uptime:  time.Since(ledger.since),
		Settled: ledger.settled,
		Spent:   make(map[string]float64, len(ledger.buckets)),
		Levels:  make(map[string]float64, len(ledger.buckets)),
	}
	for organisation, bucket := range ledger.buckets {
		statement.Spent[organisation] = bucket.own
		if ledger.settled {
			ledger.fill(bucket, organisation)
			statement.Levels[organisation] = bucket.level
		}
	}
	return statement
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
