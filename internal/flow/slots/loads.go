package slots

import "time"

const (
	// minBackoff and maxBackoff bound the delay after failed loads.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
	// rejectAfter is the number of failed loads after which waiting requests go to
	// another upstream.
	rejectAfter = 2
)

// loadFailures counts the consecutive failed loads of an adapter.
type loadFailures struct {
	count      int
	backoffEnd time.Time
}

// LoadStarted records when a load started, after its wait for permits. Its load
// time is measured from then.
func (table *Table) LoadStarted(now time.Time, ref AdapterRef) {
	if slot, ok := table.slots[ref]; ok && slot.loading {
		slot.loadStarted = now
	}
}

// evictionStarted records that an order evicts an adapter, unless ref is zero.
func (table *Table) evictionStarted(ref AdapterRef) {
	if ref != (AdapterRef{}) {
		table.evicting[ref]++
	}
}

// EvictionEnded records that the engine has answered the eviction of an order, or did not in
// time. Until then the adapter is not loaded again.
func (table *Table) EvictionEnded(ref AdapterRef) {
	if table.evicting[ref]--; table.evicting[ref] <= 0 {
		delete(table.evicting, ref)
	}
}

// LoadFinished records the end of a load. It reports whether the requests that
// wait for the adapter should go to another upstream.
func (table *Table) LoadFinished(now time.Time, ref AdapterRef, err error) (reject bool) {
	slot, ok := table.slots[ref]
	if !ok || !slot.loading {
		return false
	}
	table.limiter.loadFinished(now, now.Sub(slot.loadStarted), err == nil)
	if err == nil {
		slot.loading = false
		slot.lastUsed = now
		delete(table.failures, ref)
		return false
	}
	delete(table.slots, ref)
	failed, ok := table.failures[ref]
	if !ok {
		table.forgetEndedBackoffs(now)
		failed = &loadFailures{}
		table.failures[ref] = failed
	}
	failed.count++
	failed.backoffEnd = now.Add(table.backoff(failed.count))
	return failed.count >= rejectAfter
}

// evictionRetryDelay is how long an adapter is kept that the engine refused to
// evict.
const evictionRetryDelay = time.Second

// EvictionRefused records that the engine refused the eviction of an order, so
// that its load did not start. This does not count as a failed load.
func (table *Table) EvictionRefused(now time.Time, order Order) {
	if slot, ok := table.slots[order.Load]; ok && slot.loading {
		delete(table.slots, order.Load)
		table.limiter.inFlight = max(table.limiter.inFlight-1, 0)
	}
	table.slots[order.Evict] = &slot{lastUsed: now, keepUntil: now.Add(evictionRetryDelay)}
}

// maxFailures is the number of adapters with failed loads from which those whose
// backoff has ended are forgotten.
const maxFailures = 1024

// forgetEndedBackoffs forgets failures whose backoff has ended, if there are too
// many.
func (table *Table) forgetEndedBackoffs(now time.Time) {
	if len(table.failures) < maxFailures {
		return
	}
	for ref, failed := range table.failures {
		if !failed.backoffEnd.After(now) {
			delete(table.failures, ref)
		}
	}
}

// backoff returns a random delay between half of the exponential backoff after
// count failures and all of it.
func (table *Table) backoff(count int) time.Duration {
	delay := minBackoff
	for ; count > 1 && delay < maxBackoff; count-- {
		delay *= 2
	}
	delay = min(delay, maxBackoff)
	return delay/2 + time.Duration(table.random.Int64N(int64(delay/2)+1))
}

func (table *Table) backingOff(now time.Time, ref AdapterRef) bool {
	failed, ok := table.failures[ref]
	return ok && failed.backoffEnd.After(now)
}

// RejectFor reports whether loads of the adapter have failed so often that
// requests should go to another upstream, and until when, as the time from now.
func (table *Table) RejectFor(now time.Time, ref AdapterRef) (time.Duration, bool) {
	failed, ok := table.failures[ref]
	if !ok || failed.count < rejectAfter || !failed.backoffEnd.After(now) {
		return 0, false
	}
	return failed.backoffEnd.Sub(now), true
}

// NextPlanTime returns when Plan may return other orders without another event:
// when a backoff or the pause between loads ends, a demand becomes overdue, or an
// adapter may be evicted again. It returns false if there is no such time.
func (table *Table) NextPlanTime(now time.Time, demands []Demand) (time.Time, bool) {
	var next time.Time
	consider := func(moment time.Time) {
		if moment.After(now) && (next.IsZero() || moment.Before(next)) {
			next = moment
		}
	}
	for _, demand := range demands {
		if _, present := table.slots[demand.Ref]; present {
			continue
		}
		if failed, ok := table.failures[demand.Ref]; ok {
			consider(failed.backoffEnd)
		}
		consider(demand.OldestArrival.Add(table.config.MaxLoadDeferral))
		consider(table.limiter.pausedUntil)
		for _, slot := range table.slots {
			consider(slot.keepUntil)
		}
	}
	return next, !next.IsZero()
}
