package picker

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// Cold tells which upstreams are cold.
type Cold interface {
	// ColdRate returns how many requests per second an upstream takes while it is cold,
	// 0 if it is not cold.
	ColdRate(upstream fleet.Upstream) float64
}

// coldWait returns how long a cold upstream takes to admit the requests that wait there.
func (picker *Picker) coldWait(upstream *upstream, request Request, now time.Time) time.Duration {
	if picker.config.Cold == nil {
		return 0
	}
	rate := picker.config.Cold.ColdRate(upstream.spec)
	if rate <= 0 {
		return 0
	}
	waiting, covered := 0, time.Time{}
	if picker.reportIsRecent(upstream, now) {
		waiting, covered = upstream.report.Waiting, upstream.reportedAt.Add(-picker.config.ReportLag)
	}
	for number, waiter := range upstream.waiting {
		if number != request.Number && waiter.addedAt.After(covered) {
			waiting++
		}
	}
	return time.Duration(float64(waiting) / rate * float64(time.Second))
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
