package quota

import (
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// StaticLimiter divides rates and bursts evenly over the entry instances, each of
// which enforces its part alone. It is the baseline to which shards and grants
// are compared.
type StaticLimiter struct {
	mutex   sync.Mutex
	buckets map[string]*instanceBucket
}

// instanceBucket is one instance's part of an organisation's token bucket.
type instanceBucket struct {
	tokens  float64
	updated time.Time
}

// NewStaticLimiter returns a StaticLimiter with full buckets.
func NewStaticLimiter() *StaticLimiter { return &StaticLimiter{buckets: map[string]*instanceBucket{}} }

// Take takes tokens, or returns how long the missing tokens take to accrue.
func (staticLimiter *StaticLimiter) Take(now time.Time, instances int, organisation conf.OrganisationSpec, tokens conf.Tokens) (time.Duration, bool) {
	staticLimiter.mutex.Lock()
	defer staticLimiter.mutex.Unlock()
	rate, burst := float64(organisation.Rate)/float64(instances), float64(organisation.Burst)/float64(instances)
	bucket, ok := staticLimiter.buckets[organisation.Name]
	if !ok {
		bucket = &instanceBucket{tokens: burst, updated: now}
		staticLimiter.buckets[organisation.Name] = bucket
	}
	bucket.tokens = min(burst, bucket.tokens+now.Sub(bucket.updated).Seconds()*rate)
	bucket.updated = now
	if missing := float64(tokens) - bucket.tokens; missing > 0 {
		return time.Duration(missing / rate * float64(time.Second)), false
	}
	bucket.tokens -= float64(tokens)
	return 0, true
}
