package retry

import (
	"math"
	"sync"
	"time"
)

const (
	// ownFraction is the part of Limits.Ratio that an instance uses for its own
	// requests. The rest is a margin for spans that begin at other times than its own.
	ownFraction = 0.92
	// totalFraction is the part of the limits at which an instance stops to retry. The
	// rest is a margin for what others have sent since they last reported it, or ended
	// before they did.
	totalFraction = 0.96
)

// Use is what an instance has sent to a service since its start.
type Use struct {
	Requests uint64
	Retries  uint64
	// Past holds what all instances have sent, as far as the reporting instance knows
	// it. It is empty if that doesn't know it, or does not say so.
	Past []Slot
}

// Slot is what was sent within SlotTime. In Use.Past the first slot is the present one,
// and each following one is SlotTime older.
type Slot struct {
	Requests uint32
	Retries  uint32
}

// Ledger counts the requests to one service and the retries of all instances, those of
// ended instances included, and decides which retries of this instance the limits
// allow. An instance that starts knows nothing of what was sent before. It retries only
// once another one has told it, or it has run for a whole window. Its methods may be
// called concurrently.
type Ledger struct {
	config LedgerConfig

	mutex sync.Mutex
	// settled means that total holds all that was sent within the window, and recalled
	// that it is from an instance that has ended since.
	settled, recalled bool
	own               Use
	// requests and retries hold when this instance sent its own requests and those
	// retries for which they pay.
	requests, retries []time.Time
	// reserved is the number of retries reserved and not sent, and reservedOwn that of
	// those for which this instance's own requests pay.
	reserved, reservedOwn int
	total                 history
	// reported holds what other instances last reported.
	reported map[string]reported
}

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	// Limits returns the limits in force, which may change at any time.
	Limits func() Limits
	// Start is when the instance started.
	Start time.Time
}

// reported is the last report of an incarnation of another instance.
type reported struct {
	start    int64
	requests uint64
	retries  uint64
	at       time.Time
}

// NewLedger returns a Ledger without requests.
func NewLedger(config LedgerConfig) *Ledger {
	return &Ledger{config: config, total: history{start: time.Now()}, reported: make(map[string]reported)}
}

// RecordRequest records a request that is sent for the first time.
func (ledger *Ledger) RecordRequest() {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.trim(ledger.config.Limits().Window)
	ledger.requests = append(ledger.requests, time.Now())
	ledger.own.Requests++
	ledger.total.add(time.Now(), 1, 0)
}

// Allows reports whether all instances together may send another retry.
func (ledger *Ledger) Allows() bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.allows(ledger.config.Limits())
}

// Total returns what all instances together have sent within the window, as far as this one
// knows.
func (ledger *Ledger) Total() (requests, retries uint64) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.total.sum(ledger.config.Limits().Window)
}

// allowsOwn reports whether this instance's own requests pay for another retry.
func (ledger *Ledger) allowsOwn(limits Limits) bool {
	ledger.trim(limits.Window)
	retries := len(ledger.retries) + ledger.reservedOwn + 1
	return float64(retries) <= float64(len(ledger.requests))*limits.Ratio*ownFraction+roundingError
}

// allows reports whether all instances together may send another retry.
func (ledger *Ledger) allows(limits Limits) bool {
	return ledger.isSettled(limits) && ledger.total.fits(limits, float64(ledger.reserved+1))
}

// isSettled reports whether the ledger knows all that was sent within the window.
func (ledger *Ledger) isSettled(limits Limits) bool {
	ledger.settled = ledger.settled || time.Since(ledger.config.Start) >= limits.Window
	return ledger.settled
}

// Use returns what this instance has sent since its start, with the past of all if
// wanted and known.
func (ledger *Ledger) Use(past bool) Use {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	use, limits := ledger.own, ledger.config.Limits()
	if past && ledger.isSettled(limits) {
		use.Past = ledger.total.slots(limits.Window)
	}
	return use
}

// Merge records what an incarnation of another instance reports, and returns whether its
// past was taken over. Start tells its incarnations apart.
func (ledger *Ledger) Merge(instance string, start int64, use Use) (adopted bool) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	limits := ledger.config.Limits()
	before, known := ledger.reported[instance]
	ledger.reported[instance] = reported{start: start, requests: use.Requests, retries: use.Retries, at: time.Now()}
	if len(use.Past) > 0 && (ledger.recalled || !ledger.isSettled(limits)) {
		ledger.adopt(use.Past)
		ledger.recalled = false
		return true
	}
	if !known {
		// What it sent before is in the past that this instance adopts, or has heard of
		// from nobody.
		return false
	}
	if before.start != start {
		before.requests, before.retries = 0, 0
	}
	if use.Requests < before.requests || use.Retries < before.retries {
		return false
	}
	// When it sent them between its two reports is not known: requests leave the window
	// as if it was at once, retries as if it was now.
	ledger.total.add(before.at, counted(use.Requests-before.requests), 0)
	ledger.total.add(time.Now(), 0, counted(use.Retries-before.retries))
	return false
}

// counted converts a number to that of a slot.
func counted(number uint64) uint32 { return uint32(min(number, math.MaxUint32)) }

// Recall records the past that an instance knew which may have ended since, and returns
// whether it was taken over. Age is the time since it said so. A running instance knows the
// past better.
func (ledger *Ledger) Recall(past []Slot, age time.Duration) (adopted bool) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	limits := ledger.config.Limits()
	if len(past) == 0 || ledger.isSettled(limits) {
		return false
	}
	since := make([]Slot, min(max(age, 0), limits.Window)/SlotTime)
	ledger.adopt(append(since, past...))
	ledger.recalled = true
	return true
}

// adopt replaces what is known by another instance's past and what this one has sent.
func (ledger *Ledger) adopt(past []Slot) {
	ledger.total = history{start: ledger.total.start}
	ledger.total.adopt(past)
	ledger.total.add(time.Now(), 0, counted(ledger.own.Retries))
	ledger.settled = true
}

// trim removes what has left the window.
func (ledger *Ledger) trim(window time.Duration) {
	since := time.Now().Add(-window)
	ledger.requests = trimmed(ledger.requests, since)
	ledger.retries = trimmed(ledger.retries, since)
}

// trimmed returns the times, which are in ascending order, from since on.
func trimmed(times []time.Time, since time.Time) []time.Time {
	first := 0
	for first < len(times) && times[first].Before(since) {
		first++
	}
	return times[first:]
}
