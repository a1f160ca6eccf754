package slots

import "time"

const (
	// initialLimit is the limit before the first load was observed.
	initialLimit = 2
	// minLimit is the lowest limit. Limits below 1 add pauses between loads: with
	// 0.125, loads take up an eighth of the time.
	minLimit = 0.125
	// slowFactor is the multiple of the target load time above which a load is
	// slow. It is greater than 1 to tolerate jitter.
	slowFactor = 1.25
)

// loadLimiter limits concurrent loads. It adapts the limit to the observed load
// time by additive increase and multiplicative decrease.
type loadLimiter struct {
	targetLoadTime time.Duration
	limit          float64
	maxLimit       float64
	inFlight       int
	pausedUntil    time.Time
	loweredAt      time.Time
}

func newLoadLimiter(config Config) loadLimiter {
	maxLimit := float64(config.MaxConcurrentLoads)
	return loadLimiter{targetLoadTime: config.TargetLoadTime, limit: min(initialLimit, maxLimit), maxLimit: maxLimit}
}

func (limiter *loadLimiter) allows(now time.Time) bool {
	if limiter.limit < 1 {
		return limiter.inFlight == 0 && !limiter.pausedUntil.After(now)
	}
	return limiter.inFlight < int(limiter.limit)
}

func (limiter *loadLimiter) loadStarted() { limiter.inFlight++ }

func (limiter *loadLimiter) loadFinished(now time.Time, took time.Duration, succeeded bool) {
	limiter.inFlight = max(limiter.inFlight-1, 0)
	switch {
	case float64(took) > slowFactor*float64(limiter.targetLoadTime):
		// Concurrent loads are slowed by the same congestion, so only one of
		// them lowers the limit.
		if now.Sub(limiter.loweredAt) >= took {
			limiter.limit = max(limiter.limit/2, minLimit)
			limiter.loweredAt = now
		}
	case succeeded:
		limiter.limit = min(limiter.limit+1/max(limiter.limit, 1), limiter.maxLimit)
	}
	if limiter.limit < 1 {
		limiter.pausedUntil = now.Add(time.Duration(float64(took) * (1/limiter.limit - 1)))
	}
}

// LoadConcurrency returns the current limit of concurrent loads. A limit below 1
// is the share of the time that loads take up.
func (table *Table) LoadConcurrency() float64 { return table.limiter.limit }
