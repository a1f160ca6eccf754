package bucket

import (
	"math"
	"time"
)

const (
	// maxReserve is the largest fraction of the burst that is reserved for more urgent
	// classes.
	maxReserve = 0.5
	// maxStagger is the largest fraction of the burst by which instances stagger their
	// requests.
	maxStagger = 0.25
	// ampleFraction is the fraction of the burst above which nothing is reserved, since
	// the organisation is not near its rate.
	ampleFraction = 0.75
	// minUrgentFraction is the least fraction of a rate that more urgent classes must
	// spend for a reserve.
	minUrgentFraction = 0.001
	// minAvailable is the least fraction of a rate that a class counts on when it tells
	// how long to wait.
	minAvailable = 0.1
)

// Request is a request for units of an organisation's bucket.
type Request struct {
	Cost  float64
	Class Class
	// Identity is equal for repeats of one request. 0 means that it is not known.
	Identity uint64
}

// Denial says why a request was denied, and when it may come back.
type Denial struct {
	// Wait is the time after which the bucket lets the request through if nothing else is
	// spent but what more urgent classes are expected to spend.
	Wait time.Duration
	// Spread is how long the rate needs after that for what was denied of late.
	Spread time.Duration
	// Reserve is what was kept for more urgent classes.
	Reserve float64
}

// TakeRequest is Take for a request of a class. While the bucket is not ample, it leaves
// in it what more urgent classes are expected to need.
func (limiter *Limiter) TakeRequest(organisation string, limit Limit, request Request) (Denial, bool) {
	if limit.Rate <= 0 {
		return Denial{}, true
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	bucket := limiter.currentBucket(organisation, limit)
	urgent, reserve, required := 0.0, 0.0, request.Cost
	if request.Class != Unclassified {
		urgent = limiter.urgentRate(organisation, bucket, request.Class)
		reserve = limiter.reserve(organisation, bucket, urgent)
		if reserve > 0 {
			required = limiter.required(organisation, bucket, request, reserve)
		}
	}
	if missing := math.Min(required, limit.Burst*limiter.config.UsableFraction) - bucket.level; missing > 0 {
		return limiter.deny(organisation, bucket, request, missing, urgent, reserve), false
	}
	bucket.level -= request.Cost
	bucket.spent += request.Cost
	bucket.rate.add(request.Cost)
	if !bucket.recordServed(request, limiter.refused) {
		bucket.spend(request.Class, request.Cost)
	}
	bucket.stagger = limiter.random.Float64()
	return Denial{}, true
}

// reserve returns what is kept in a bucket for classes that spend at the given rate: what
// they spend in averagingTime, and what they spend beyond the rate until the bucket is
// refilled.
func (limiter *Limiter) reserve(organisation string, bucket *bucket, urgent float64) float64 {
	if urgent < bucket.limit.Rate*minUrgentFraction {
		return 0
	}
	burst := bucket.limit.Burst * limiter.config.UsableFraction
	rate := limiter.countedRate(organisation, bucket.limit)
	beyond := math.Max(urgent/rate-1, 0) * (burst - bucket.level)
	return math.Min(urgent*averagingTime.Seconds()+beyond, burst*maxReserve)
}

// required returns the level that a request needs beside a reserve. Instances see the
// same level, and hear only later what others take, so each waits for a different level
// above the reserve.
func (limiter *Limiter) required(organisation string, bucket *bucket, request Request, reserve float64) float64 {
	burst := bucket.limit.Burst * limiter.config.UsableFraction
	others := limiter.spenders(organisation, bucket, request.Class) - 1
	stagger := math.Min(bucket.stagger*others*request.Cost, burst*maxStagger)
	cost := bucket.class(request.Class).heldCost(request.Cost)
	return math.Max(request.Cost, math.Min(reserve+stagger+cost, burst*ampleFraction))
}

// deny records that a request was denied for want of a part of its cost.
func (limiter *Limiter) deny(organisation string, bucket *bucket, request Request, missing, urgent, reserve float64) Denial {
	rate := limiter.countedRate(organisation, bucket.limit)
	available := math.Max(rate-urgent, rate*minAvailable)
	denial := Denial{Wait: seconds(missing / available), Reserve: reserve}
	if request.Class == Unclassified {
		return denial
	}
	use := bucket.class(request.Class)
	if limiter.refused.add(request.Identity) {
		use.refused.add(request.Cost)
		use.size(request.Cost).asked.add(1)
		if request.Identity != 0 {
			// Counting only what is served would reserve nothing for a class of which
			// nothing is served.
			bucket.spend(request.Class, request.Cost)
		}
	}
	denial.Spread = seconds(use.refused.at(time.Now()) * averagingTime.Seconds() / available)
	return denial
}

// recordServed records that a request was let through, and reports whether it repeats a
// denied one, which has been counted as asked.
func (bucket *bucket) recordServed(request Request, refused *recentSet) (repeats bool) {
	if request.Class == Unclassified {
		return false
	}
	size := bucket.class(request.Class).size(request.Cost)
	repeats = refused.remove(request.Identity)
	if !repeats {
		size.asked.add(1)
	}
	size.served.add(1)
	return repeats
}

// countedRate returns the part of an organisation's rate that this instance counts on.
func (limiter *Limiter) countedRate(organisation string, limit Limit) float64 {
	return limit.Rate * limiter.config.UsableFraction * limiter.fraction(organisation, limit)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
