package reqgen

import (
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// overRateRetention is how long an organisation counts as above its rate after
// its bucket was short of tokens. It is the longest wait of the patient class,
// whose requests may still be queued ahead of later ones.
const overRateRetention = 30 * time.Second

// referenceBucket is one exact token bucket for an organisation across all entry
// instances. Refusals are judged against it: a request that it allows must not be
// refused for its rate.
type referenceBucket struct {
	mu      sync.Mutex
	rate    float64
	burst   float64
	level   float64
	updated time.Time
	// lastShortage is when the bucket last held too few tokens for a request.
	lastShortage time.Time
}

func newReferenceBucket(rate, burst conf.Tokens, now time.Time) *referenceBucket {
	return &referenceBucket{rate: float64(rate), burst: float64(burst), level: float64(burst), updated: now}
}

// take removes tokens if the bucket holds them. It reports whether the
// organisation is within its rate and has been for overRateRetention.
func (bucket *referenceBucket) take(now time.Time, tokens int) bool {
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	accrued := now.Sub(bucket.updated).Seconds() * bucket.rate
	bucket.level = min(bucket.burst, bucket.level+accrued)
	bucket.updated = now
	if bucket.level < float64(tokens) {
		bucket.lastShortage = now
		return false
	}
	bucket.level -= float64(tokens)
	return bucket.lastShortage.IsZero() || now.Sub(bucket.lastShortage) > overRateRetention
}
