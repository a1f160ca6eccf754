package bucket

import (
	"math"
	"time"
)

// SetInstances records how many instances share the rates. Until it is known,
// or another instance has told what its buckets hold, new buckets start empty.
func (ledger *Limiter) SetInstances(count int) {
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

// Initialised reports whether it is decided what new buckets hold.
func (ledger *Limiter) Initialised() bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.settled
}

// grant returns what each instance may spend although the burst may have been
// spent just before it started.
func (ledger *Limiter) grant(limit Limit) float64 {
	if ledger.instances == 0 {
		return 0
	}
	return limit.Burst * ledger.config.Initial / float64(ledger.instances)
}

// granted returns the grants of this instance and of those that started with it.
func (ledger *Limiter) granted(limit Limit) float64 {
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
func (ledger *Limiter) create(organisation string, limit Limit) *bucket {
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

// meet records a start of another instance that was not known. Of what it spent
// before, that part counts which no bucket of this instance shows yet.
func (ledger *Limiter) meet(name string, statement Usage) *peer {
	known, restarted := ledger.peers[name]
	if !restarted {
		known = &peer{paces: make(map[string]*pace)}
		ledger.peers[name] = known
	}
	known.Usage = Usage{Start: statement.Start}
	recent := time.Since(ledger.since) < recentTime && statement.Uptime < recentTime
	known.granted = recent && ledger.settled == statement.Initialised
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
func (ledger *Limiter) adopt(statement Usage) {
	ledger.settled, ledger.adopted, ledger.instances = true, true, 1
	ledger.since = time.Now().Add(-statement.Uptime)
	for organisation, level := range statement.Levels {
		if bucket, ok := ledger.buckets[organisation]; ok {
			bucket.level, bucket.drawn = level-bucket.own, time.Now()
		}
	}
}

// follow bounds the buckets by what another instance says of them, while this
// one may not know of all that count on a part of the rates.
func (ledger *Limiter) follow(statement Usage) {
	if !ledger.adopted || !statement.Initialised || time.Since(ledger.start) > followTime {
		return
	}
	for organisation, level := range statement.Levels {
		if bucket, ok := ledger.buckets[organisation]; ok {
			ledger.fill(bucket, organisation)
			bucket.level = math.Min(bucket.level, level)
		}
	}
}
