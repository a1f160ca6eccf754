package slots

import "time"

const (
	// startLimit is the number of concurrent loads before any was observed.
	startLimit = 2
	// leastLimit below 1 stretches the time between loads: 0.125 means that an
	// eighth of the time is spent loading.
	leastLimit = 0.125
	// slowFactor leaves room for jitter before a load counts as slow.
	slowFactor = 1.25
)

// throttle adapts the number of concurrent loads to the observed load time by
// additive increase and multiplicative decrease.
type throttle struct {
	target   time.Duration
	limit    float64
	most     float64
	inFlight int
	pause    time.Time
	lowered  time.Time
}

func newThrottle(config Config) throttle {
	most := float64(config.MaxConcurrentLoads)
	return throttle{target: config.TargetLoadTime, limit: min(startLimit, most), most: most}
}

func (throttle *throttle) allows(now time.Time) bool {
	if throttle.limit < 1 {
		return throttle.inFlight == 0 && !throttle.pause.After(now)
	}
	return throttle.inFlight < int(throttle.limit)
}

func (throttle *throttle) start() { throttle.inFlight++ }

func (throttle *throttle) finish(now time.Time, took time.Duration, succeeded bool) {
	throttle.inFlight = max(throttle.inFlight-1, 0)
	switch {
	case float64(took) > slowFactor*float64(throttle.target):
		// Loads that ran side by side tell of the same congestion.
		if now.Sub(throttle.lowered) >= took {
			throttle.limit = max(throttle.limit/2, leastLimit)
			throttle.lowered = now
		}
	case succeeded:
		throttle.limit = min(throttle.limit+1/max(throttle.limit, 1), throttle.most)
	}
	if throttle.limit < 1 {
		throttle.pause = now.Add(time.Duration(float64(took) * (1/throttle.limit - 1)))
	}
}

// LoadConcurrency returns the present limit of concurrent loads.
func (table *Table) LoadConcurrency() float64 { return table.throttle.limit }
