package picker

import (
	"math"
	"time"
)

// ahead returns the prompt tokens of a report that come before a request: for one
// on time, all but those that wait and are less urgent; for a late one, those on
// time, and the late ones that are not less urgent. It is not negative, although the
// loader counts what waits after the rest.
func (report Report) ahead(request Request) int64 {
	if request.Late {
		return max(report.Backlog+report.Late-lessUrgent(report.Waiting.Late[:], request.Priority), 0)
	}
	return max(report.Backlog-lessUrgent(report.Waiting.OnTime[:], request.Priority), 0)
}

// lessUrgent sums the tokens of the priorities that are less urgent than one.
func lessUrgent(tokens []int64, priority int) int64 {
	var sum int64
	for _, count := range tokens[min(max(priority, 0)+1, len(tokens)):] {
		sum += count
	}
	return sum
}

// comesAfter reports whether the request comes after one that waits already.
func (request Request) comesAfter(waiter *waiter, now time.Time) bool {
	late := waiter.late(now)
	if late == request.Late {
		return waiter.Priority <= request.Priority
	}
	return request.Late
}

// LeastWait returns the shortest time until any upstream of the service can admit
// a new request, if it is known of all of them: until its turn comes among those
// on time, if that is within its MaxWait, else among the late ones.
func (picker *Picker) LeastWait(request Request) (wait time.Duration, known bool) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	now := time.Now()
	least := time.Duration(math.MaxInt64)
	for _, upstream := range picker.services[request.Service] {
		if !picker.usable(upstream) || !request.fits(upstream.spec) || upstream.report.Unreachable {
			continue
		}
		if !picker.reportIsRecent(upstream, now) {
			return 0, false
		}
		if upstream.report.ModelLoaded {
			least = min(least, picker.turn(upstream, request))
		}
	}
	return least, least != math.MaxInt64
}

// turn returns the time until the turn of a new request at an upstream.
func (picker *Picker) turn(upstream *upstream, request Request) time.Duration {
	wait := picker.wait(upstream, upstream.report.ahead(request))
	if !request.Late && (request.MaxWait == 0 || wait <= request.MaxWait) {
		return wait
	}
	request.Late = true
	return picker.wait(upstream, upstream.report.ahead(request))
}
