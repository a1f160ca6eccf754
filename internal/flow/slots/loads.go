package slots

import "time"

const (
	// firstBackoff and longestBackoff bound the wait after failed loads.
	firstBackoff   = 250 * time.Millisecond
	longestBackoff = 8 * time.Second
	// giveUpAfter failures, waiting requests go to another upstream.
	giveUpAfter = 2
)

// failure counts the failed loads of an adapter in a row.
type failure struct {
	count int
	until time.Time
}

// LoadStarted sets the moment from which the time of a load counts, once it is not
// held up by permits any more.
func (table *Table) LoadStarted(now time.Time, ref AdapterRef) {
	if slot, ok := table.slots[ref]; ok && slot.loading {
		slot.started = now
	}
}

// LoadFinished reports the end of a load. It returns whether the requests that wait
// for the adapter should go to another upstream.
func (table *Table) LoadFinished(now time.Time, ref AdapterRef, err error) (giveUp bool) {
	slot, ok := table.slots[ref]
	if !ok || !slot.loading {
		return false
	}
	table.throttle.finish(now, now.Sub(slot.started), err == nil)
	if err == nil {
		slot.loading = false
		slot.lastUsed = now
		delete(table.failures, ref)
		return false
	}
	delete(table.slots, ref)
	known, ok := table.failures[ref]
	if !ok {
		table.forget(now)
		known = &failure{}
		table.failures[ref] = known
	}
	known.count++
	known.until = now.Add(table.backoff(known.count))
	return known.count >= giveUpAfter
}

// keepTime is how long an adapter stays that the engine refused to evict.
const keepTime = time.Second

// EvictionRefused reports that the engine did not carry out the eviction of an order,
// so that its load did not begin. It is no failure of the load.
func (table *Table) EvictionRefused(now time.Time, order Order) {
	if slot, ok := table.slots[order.Load]; ok && slot.loading {
		delete(table.slots, order.Load)
		table.throttle.inFlight = max(table.throttle.inFlight-1, 0)
	}
	table.slots[order.Evict] = &slot{lastUsed: now, keep: now.Add(keepTime)}
}

// maxFailures bounds the adapters whose failures are remembered.
const maxFailures = 1024

// forget drops failures whose backoff has ended when there are too many.
func (table *Table) forget(now time.Time) {
	if len(table.failures) < maxFailures {
		return
	}
	for ref, known := range table.failures {
		if !known.until.After(now) {
			delete(table.failures, ref)
		}
	}
}

// backoff returns a wait between half the doubled delay and all of it.
func (table *Table) backoff(count int) time.Duration {
	delay := firstBackoff
	for ; count > 1 && delay < longestBackoff; count-- {
		delay *= 2
	}
	delay = min(delay, longestBackoff)
	return delay/2 + time.Duration(table.random.Int64N(int64(delay/2)+1))
}

func (table *Table) backingOff(now time.Time, ref AdapterRef) bool {
	known, ok := table.failures[ref]
	return ok && known.until.After(now)
}

// RejectFor reports whether loads of the adapter failed so often that requests
// should go to another upstream, and for how long.
func (table *Table) RejectFor(now time.Time, ref AdapterRef) (time.Duration, bool) {
	known, ok := table.failures[ref]
	if !ok || known.count < giveUpAfter || !known.until.After(now) {
		return 0, false
	}
	return known.until.Sub(now), true
}

// NextPlanTime returns when Plan may give other orders although nothing happened:
// when a backoff or the pause between loads ends, or a demand becomes late.
func (table *Table) NextPlanTime(now time.Time, demands []Demand) (time.Time, bool) {
	var next time.Time
	consider := func(moment time.Time) {
		if moment.After(now) && (next.IsZero() || moment.Before(next)) {
			next = moment
		}
	}
	for _, demand := range demands {
		if _, known := table.slots[demand.Ref]; known {
			continue
		}
		if known, ok := table.failures[demand.Ref]; ok {
			consider(known.until)
		}
		consider(demand.OldestArrival.Add(table.config.MaxLoadDeferral))
		consider(table.throttle.pause)
		for _, slot := range table.slots {
			consider(slot.keep)
		}
	}
	return next, !next.IsZero()
}
