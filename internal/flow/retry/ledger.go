package retry

import (
	"sync"
	"time"
)

const (
	// ownFraction is the part of Limits.Ratio that an instance uses for its own
	// requests. The rest is a margin for spans that begin at other times than its own.
	ownFraction = 0.92
	// totalFraction is the part of the limits at which an instance stops to retry. The
	// rest is a margin for what others have sent since they last reported it, or ended
	// before they did: when upstreams begin to fail, instances spend in a second what
	// pays for a window of retries.
	totalFraction = 0.93
)

// Use is what an instance has sent to a service since its start.
type Use struct {
	Requests uint64
	Retries  uint64
	// Settled means that the instance knows what all have sent within the window.
	Settled bool
	// Pasts holds what the instance knows of all incarnations, or a part of that, within
	// Window. It is empty if the instance does not say so.
	Pasts  []Past
	Window time.Duration
}

// Ledger counts the requests to one service and the retries of all instances, those of
// ended instances included, and decides which retries of this instance the limits
// allow. It does so only once it is settled. Its methods may be called concurrently.
type Ledger struct {
	config LedgerConfig

	mutex sync.Mutex
	// archive holds what all have sent, and own what this instance has.
	archive *Archive
	own     slotSum
	settling
	// requests and retries hold when this instance sent its own requests and those
	// retries for which they pay.
	requests, retries []time.Time
	// reserved is the number of retries reserved and not sent, and reservedOwn that of
	// those for which this instance's own requests pay.
	reserved, reservedOwn int
}

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	// Limits returns the limits in force, which may change at any time.
	Limits func() Limits
	// Incarnation is this instance.
	Incarnation Incarnation
	// Start is when the instance started.
	Start time.Time
}

// NewLedger returns a Ledger without requests.
func NewLedger(config LedgerConfig) *Ledger {
	return &Ledger{config: config, archive: NewArchive(), settling: newSettling(config.Start)}
}

// RecordRequest records a request that is sent for the first time.
func (ledger *Ledger) RecordRequest() {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.trim(ledger.limits().Window)
	ledger.requests = append(ledger.requests, time.Now())
	ledger.own.requests++
	ledger.archive.count(ledger.config.Incarnation, 1, 0)
}

// limits returns the limits in force, to whose window the archive reaches.
func (ledger *Ledger) limits() Limits {
	limits := ledger.config.Limits()
	ledger.archive.SetWindow(limits.Window)
	return limits
}

// Allows reports whether all instances together may send another retry.
func (ledger *Ledger) Allows() bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.allows(ledger.limits())
}

// Total returns what all instances together have sent within the window, as far as this one
// knows.
func (ledger *Ledger) Total() (requests, retries uint64) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.archive.total.sum(ledger.limits().Window)
}

// allowsOwn reports whether this instance's own requests pay for another retry.
func (ledger *Ledger) allowsOwn(limits Limits) bool {
	ledger.trim(limits.Window)
	retries := len(ledger.retries) + ledger.reservedOwn + 1
	return float64(retries) <= float64(len(ledger.requests))*limits.Ratio*ownFraction+roundingError
}

// allows reports whether all instances together may send another retry.
func (ledger *Ledger) allows(limits Limits) bool {
	return ledger.isSettled(limits.Window) && ledger.archive.total.fits(limits, float64(ledger.reserved+1))
}

// Tick tells the ledger that the instance runs. Once it has been called, a time without
// calls counts as one in which the instance was stopped.
func (ledger *Ledger) Tick() {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.tick()
}

// Settled reports whether the ledger knows what all have sent within the window.
func (ledger *Ledger) Settled() bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.isSettled(ledger.limits().Window)
}

// Use returns what this instance has sent since its start, with the pasts of all if
// wanted.
func (ledger *Ledger) Use(pasts bool) Use {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	limits := ledger.limits()
	use := Use{Requests: ledger.own.requests, Retries: ledger.own.retries, Settled: ledger.isSettled(limits.Window)}
	if pasts {
		use.Pasts, use.Window = ledger.archive.Pasts(ledger.config.Incarnation), limits.Window
	}
	return use
}

// Learned is what an instance learned from a message.
type Learned struct {
	// Retries is the number of retries within the window that it did not know of.
	Retries uint64
	// Settled means that it knows since the message what all have sent.
	Settled bool
}

// Merge records what an incarnation of another instance reports.
func (ledger *Ledger) Merge(incarnation Incarnation, use Use) Learned {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	limits := ledger.limits()
	learned := ledger.learn(limits, use, len(use.Pasts) > 0)
	before := ledger.hear(incarnation)
	ledger.archive.Report(incarnation, use.Requests, use.Retries, before)
	return learned
}

// Recall records what a loader has kept of what instances knew which may have ended since.
func (ledger *Ledger) Recall(use Use) Learned {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.learn(ledger.limits(), use, true)
}

// learn adds the pasts that another process tells, if it does.
func (ledger *Ledger) learn(limits Limits, use Use, told bool) Learned {
	if !told {
		return Learned{}
	}
	settled := ledger.isSettled(limits.Window)
	_, before := ledger.archive.total.sum(limits.Window)
	for _, past := range use.Pasts {
		if past.Incarnation != ledger.config.Incarnation {
			ledger.archive.Merge(past)
		}
	}
	ledger.told = ledger.told || use.Settled
	_, after := ledger.archive.total.sum(limits.Window)
	return Learned{Retries: max(after, before) - before, Settled: !settled && ledger.isSettled(limits.Window)}
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
