package routes

import (
	"cmp"
	"math"
	"time"
)

// unlimitedWait is how long callers count as waiting on routes without a timeout.
const unlimitedWait = 60 * time.Second

// CallerWait returns how long the route's callers can wait: the geometric mean of the
// response-time goal and the time after which they give up, rounded up to a power of two
// in milliseconds. The rounding bounds the number of different values.
func (route *Route) CallerWait() time.Duration {
	limit := cmp.Or(route.Timeout, unlimitedWait)
	if route.Streaming && route.CallerStreamTimeout > 0 {
		limit = min(limit, route.CallerStreamTimeout)
	}
	goal := limit
	if route.ResponseGoal > 0 {
		goal = min(route.ResponseGoal, limit)
	}
	mean := max(math.Sqrt(float64(goal.Milliseconds())*float64(limit.Milliseconds())), 1)
	return time.Duration(math.Exp2(math.Ceil(math.Log2(mean)))) * time.Millisecond
}

// CallerWaitsDiffer reports whether the callers of some routes that need a key can wait
// longer than those of others.
func (table *Table) CallerWaitsDiffer() bool { return table.callerWaitsDiffer }

func callerWaitsDiffer(routes []Route) bool {
	var known time.Duration
	for i := range routes {
		if routes[i].Open {
			continue
		}
		wait := routes[i].CallerWait()
		if known != 0 && known != wait {
			return true
		}
		known = wait
	}
	return false
}
