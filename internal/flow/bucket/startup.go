package bucket

import (
	"math"
	"time"
)

// SetInstances records how many instances share the rates, including this one.
// Until that is known, or levels were adopted from another instance, new
// buckets start empty.
func (limiter *Limiter) SetInstances(count int) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if limiter.initialised || count <= 0 {
		return
	}
	limiter.initialised, limiter.instances = true, count
	for organisation, bucket := range limiter.buckets {
		bucket.level = limiter.bounded(organisation, math.Min(bucket.level+limiter.startLevel(bucket.limit), bucket.limit.Burst))
	}
}

// Initialised reports whether the level of new buckets is known.
func (limiter *Limiter) Initialised() bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.initialised
}

// grant returns what each instance may spend right after its start, although
// the burst may have been spent just before.
func (limiter *Limiter) grant(limit Limit) float64 {
	if limiter.instances == 0 {
		return 0
	}
	return limit.Burst * limiter.config.InitialFraction / float64(limiter.instances)
}

// startLevel returns the sum of the grants of this instance and of those that
// started together with it.
func (limiter *Limiter) startLevel(limit Limit) float64 {
	sum := limiter.grant(limit)
	if limiter.adopted {
		return sum
	}
	for _, peer := range limiter.peers {
		if peer.granted {
			sum += limiter.grant(limit)
		}
	}
	return sum
}

// newBucket returns a bucket filled since fillStart, at most to the level that
// instances report which started earlier.
func (limiter *Limiter) newBucket(organisation string, limit Limit) *bucket {
	created := &bucket{limit: limit, filledAt: limiter.fillStart, level: limiter.startLevel(limit)}
	for _, peer := range limiter.peers {
		if peer.granted && !limiter.adopted {
			created.level -= peer.Spent[organisation]
		}
	}
	limiter.refill(created, organisation)
	for _, peer := range limiter.peers {
		if level, ok := peer.Levels[organisation]; ok && !peer.granted && !peer.silent {
			created.level = math.Min(created.level, level)
		}
	}
	created.level = limiter.bounded(organisation, created.level)
	return created
}

// addPeer records a new incarnation of another instance. Only what the local
// buckets do not show yet is to be taken off them: all that a restarted or just
// started instance has spent, but nothing of what an unknown instance that runs
// for longer has spent so far.
func (limiter *Limiter) addPeer(name string, usage Usage) *peer {
	known, restarted := limiter.peers[name]
	if !restarted {
		known = &peer{rates: make(map[string]*spendingRate), classRates: make(map[string]map[Class]*spendingRate)}
		limiter.peers[name] = known
	}
	known.Usage = Usage{Start: usage.Start}
	recent := time.Since(limiter.fillStart) < startupTime && usage.Uptime < startupTime
	known.granted = recent && limiter.initialised == usage.Initialised
	switch {
	case known.granted:
		for organisation, bucket := range limiter.buckets {
			bucket.level = limiter.bounded(organisation, bucket.level+limiter.grant(bucket.limit))
		}
	case !restarted && usage.Uptime >= startupTime:
		known.Spent, known.ClassSpent = usage.Spent, usage.ClassSpent
	}
	return known
}

// adoptLevels sets the buckets to the levels that another instance reports.
func (limiter *Limiter) adoptLevels(usage Usage) {
	limiter.initialised, limiter.adopted, limiter.instances = true, true, 1
	limiter.cappedSince = limiter.start
	limiter.fillStart = time.Now().Add(-usage.Uptime)
	for organisation, level := range usage.Levels {
		if bucket, ok := limiter.buckets[organisation]; ok {
			bucket.level, bucket.filledAt = limiter.bounded(organisation, level-bucket.spent), time.Now()
		}
	}
}

// capLevels limits the buckets to the levels that another instance reports,
// while this one may not know all instances that count on a fraction of the
// rates.
func (limiter *Limiter) capLevels(usage Usage) {
	if limiter.cappedSince.IsZero() || !usage.Initialised || time.Since(limiter.cappedSince) > capTime {
		return
	}
	for organisation, level := range usage.Levels {
		if bucket, ok := limiter.buckets[organisation]; ok {
			limiter.refill(bucket, organisation)
			bucket.level = math.Min(bucket.level, level)
		}
	}
}
