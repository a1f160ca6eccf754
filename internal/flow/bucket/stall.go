package bucket

import (
	"math"
	"time"
)

// Stall records that the instance was stopped: others may have spent what it still counts,
// and have ended. For a while its levels are limited to those that others report.
func (limiter *Limiter) Stall() {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	for organisation, bucket := range limiter.buckets {
		limiter.refill(bucket, organisation)
	}
	limiter.cappedSince = time.Now()
	limiter.creditAt = limiter.cappedSince.Add(limiter.config.PeerTimeout)
}

// withhold adds what the bucket did not get. It forgets that when nothing is withheld any
// longer, unless the bucket gets it later.
func (bucket *bucket) withhold(units float64, forget bool) {
	if units <= 0 && forget {
		bucket.withheld = 0
		return
	}
	bucket.withheld += units
}

// creditWithheld gives the buckets of organisations with classes what was withheld from
// them while this instance was stopped. The others were not silent then, and what they
// spent is taken off, so its levels would otherwise stay below theirs. It waits until all
// have reported, and is called before the levels are limited to those that another
// instance reports.
func (limiter *Limiter) creditWithheld() {
	if limiter.creditAt.IsZero() || time.Now().Before(limiter.creditAt) {
		return
	}
	for organisation, bucket := range limiter.buckets {
		limiter.refill(bucket, organisation)
		if len(bucket.classes) > 0 {
			bucket.level += math.Min(bucket.withheld, bucket.limit.Burst)
		}
		bucket.withheld = 0
	}
	limiter.creditAt = time.Time{}
}
