package picker

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// maxColdWait bounds the expected wait at an upstream with a very low cold rate.
const maxColdWait = time.Hour

// Cold tells how many requests upstreams take that are or may be cold.
type Cold interface {
	// RequestRate returns how many requests per second are admitted to an upstream, 0 if
	// their number is not bounded.
	RequestRate(upstream fleet.Upstream) float64
}

// coldWait returns how long it takes until the requests that wait at an upstream are
// admitted, if it is or may be cold.
func (picker *Picker) coldWait(upstream *upstream, request Request, now time.Time) time.Duration {
	if picker.config.Cold == nil {
		return 0
	}
	rate := picker.config.Cold.RequestRate(upstream.spec)
	if rate <= 0 {
		return 0
	}
	waiting, covered := 0, time.Time{}
	if picker.reportIsRecent(upstream, now) {
		waiting, covered = upstream.report.WaitingRequests, upstream.reportedAt.Add(-picker.config.ReportLag)
	}
	for number, waiter := range upstream.waiting {
		if number != request.Number && waiter.addedAt.After(covered) {
			waiting++
		}
	}
	return time.Duration(min(float64(waiting)/rate, maxColdWait.Seconds()) * float64(time.Second))
}

// RecordGrantsUntil is RecordGrants for grants that answer what this instance asked at
// askedAt and may be used until a time. Requests that began to wait later have not
// asked yet.
func (picker *Picker) RecordGrantsUntil(id string, requests []uint64, askedAt, until time.Time) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	upstream, ok := picker.upstreams[id]
	if !ok {
		return
	}
	for _, number := range requests {
		if waiter, ok := upstream.waiting[number]; ok && !waiter.addedAt.After(askedAt) {
			waiter.granted, waiter.usableUntil = true, until
		}
	}
}

// mayStart reports whether the request was admitted and its grant may still be used.
func (waiter *waiter) mayStart(now time.Time) bool {
	return waiter.granted && (waiter.usableUntil.IsZero() || now.Before(waiter.usableUntil))
}
