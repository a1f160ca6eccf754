package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// boundChecker records dispatches with their actual use and checks the bound over
// every interval.
type boundChecker struct {
	mutex  sync.Mutex
	start  time.Time
	events []event
}

// event is a use or, if isLimit is set, a change of rate and burst.
type event struct {
	at      time.Duration
	use     conf.Tokens
	isLimit bool
	rate    conf.Tokens
	burst   conf.Tokens
}

func newBoundChecker(start time.Time, rate, burst conf.Tokens) *boundChecker {
	return &boundChecker{start: start, events: []event{{isLimit: true, rate: rate, burst: burst}}}
}

func (boundChecker *boundChecker) recordUse(at time.Time, tokens conf.Tokens) {
	boundChecker.record(event{at: at.Sub(boundChecker.start), use: tokens})
}

// recordLimits records the rate and burst from an instant on.
func (boundChecker *boundChecker) recordLimits(at time.Time, rate, burst conf.Tokens) {
	boundChecker.record(event{at: at.Sub(boundChecker.start), isLimit: true, rate: rate, burst: burst})
}

func (boundChecker *boundChecker) record(event event) {
	boundChecker.mutex.Lock()
	defer boundChecker.mutex.Unlock()
	boundChecker.events = append(boundChecker.events, event)
}

// excess returns the maximum over all intervals of the use minus the integral of
// the rate and the burst at the interval's begin, in billionths of a token; 0 or
// less means that the bound holds. For use U and accrual A since the start, an
// interval (s, e) exceeds by (U-A)(e) - (U-A)(s) - burst(s), so for every e it
// suffices to know the minimum of (U-A)+burst so far.
func (boundChecker *boundChecker) excess() nanoTokens {
	boundChecker.mutex.Lock()
	defer boundChecker.mutex.Unlock()
	slices.SortStableFunc(boundChecker.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	var balance, rate, burst nanoTokens
	var at time.Duration
	maxExcess := -nanoTokens(maxBurst) * nanosPerToken
	minBalance := -maxExcess
	for index, event := range boundChecker.events {
		balance -= rate * nanoTokens(event.at-at)
		at = event.at
		if index > 0 {
			minBalance = min(minBalance, balance+burst)
		}
		if event.isLimit {
			rate, burst = nanoTokens(event.rate), nanoTokens(event.burst)*nanosPerToken
			minBalance = min(minBalance, balance+burst)
			continue
		}
		balance += nanoTokens(event.use) * nanosPerToken
		maxExcess = max(maxExcess, balance-minBalance)
	}
	return maxExcess
}

// used returns the sum of all uses.
func (boundChecker *boundChecker) used() conf.Tokens {
	boundChecker.mutex.Lock()
	defer boundChecker.mutex.Unlock()
	var sum conf.Tokens
	for _, event := range boundChecker.events {
		sum += event.use
	}
	return sum
}
