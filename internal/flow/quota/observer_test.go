package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// observer records dispatches with their actual use and checks the bound over
// every interval.
type observer struct {
	mutex  sync.Mutex
	start  time.Time
	events []event
}

// event is a use or, if limit is set, a change of rate and burst.
type event struct {
	at    time.Duration
	use   model.Tokens
	limit bool
	rate  model.Tokens
	burst model.Tokens
}

func newObserver(start time.Time, rate, burst model.Tokens) *observer {
	return &observer{start: start, events: []event{{limit: true, rate: rate, burst: burst}}}
}

func (observer *observer) use(at time.Time, tokens model.Tokens) {
	observer.record(event{at: at.Sub(observer.start), use: tokens})
}

// limit records rate and burst that hold from an instant on.
func (observer *observer) limit(at time.Time, rate, burst model.Tokens) {
	observer.record(event{at: at.Sub(observer.start), limit: true, rate: rate, burst: burst})
}

func (observer *observer) record(event event) {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	observer.events = append(observer.events, event)
}

// excess returns the most by which the use in any interval is above the
// integral of the rate plus the burst at the interval's begin, in billionths of
// a token; 0 or less means that the bound holds. For use U and accrual A since
// the start, an interval (s, e) is above by (U-A)(e) - (U-A)(s) - burst(s), so
// that the least (U-A)+burst so far decides for every e.
func (observer *observer) excess() nanos {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	slices.SortStableFunc(observer.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	var balance, rate, burst nanos
	var at time.Duration
	worst := -nanos(maxBurst) * perToken
	floor := -worst
	for index, event := range observer.events {
		balance -= rate * nanos(event.at-at)
		at = event.at
		if index > 0 {
			floor = min(floor, balance+burst)
		}
		if event.limit {
			rate, burst = nanos(event.rate), nanos(event.burst)*perToken
			floor = min(floor, balance+burst)
			continue
		}
		balance += nanos(event.use) * perToken
		worst = max(worst, balance-floor)
	}
	return worst
}

// used returns the sum of all uses.
func (observer *observer) used() model.Tokens {
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	var sum model.Tokens
	for _, event := range observer.events {
		sum += event.use
	}
	return sum
}
