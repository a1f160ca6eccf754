package quota

import (
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// StaticLimiter divides rates and bursts evenly over the entry instances, each of
// which limits by itself. It is the baseline for shards and grants.
type StaticLimiter struct {
	mutex   sync.Mutex
	buckets map[string]*staticBucket
}

// staticBucket is one instance's part of an organisation's rate.
type staticBucket struct {
	level float64
	last  time.Time
}

// NewStaticLimiter returns a Static with full buckets.
func NewStaticLimiter() *StaticLimiter { return &StaticLimiter{buckets: map[string]*staticBucket{}} }

// Take takes tokens, or returns how long they take to accrue.
func (static *StaticLimiter) Take(now time.Time, instances int, organisation model.OrganisationSpec, tokens model.Tokens) (time.Duration, bool) {
	static.mutex.Lock()
	defer static.mutex.Unlock()
	rate, burst := float64(organisation.Rate)/float64(instances), float64(organisation.Burst)/float64(instances)
	bucket, ok := static.buckets[organisation.Name]
	if !ok {
		bucket = &staticBucket{level: burst, last: now}
		static.buckets[organisation.Name] = bucket
	}
	bucket.level = min(burst, bucket.level+now.Sub(bucket.last).Seconds()*rate)
	bucket.last = now
	if missing := float64(tokens) - bucket.level; missing > 0 {
		return time.Duration(missing / rate * float64(time.Second)), false
	}
	bucket.level -= float64(tokens)
	return 0, true
}
