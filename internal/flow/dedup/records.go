// Package dedup keeps what one side process knows about requests: which
// attempts were cancelled before they ran, how recent requests ended, and
// which idempotency keys are claimed.
package dedup

import (
	"container/list"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// Attempt names one attempt of a request.
type Attempt struct {
	RequestID string
	Number    uint32
}

// Verdict tells what may be done with an arriving attempt.
type Verdict uint8

const (
	// Accepted attempts may be queued.
	Accepted Verdict = iota
	// Tombstoned attempts were cancelled before they arrived or ran.
	Tombstoned
	// Duplicate attempts are known already.
	Duplicate
	// AlreadyRan requests ran in another attempt and must not run again.
	AlreadyRan
)

// RunLimit tells how often a request may run.
type RunLimit uint8

const (
	// AtMostOnce requests run in one attempt.
	AtMostOnce RunLimit = iota
	// OncePerClaim requests run in one attempt too; copies are answered from its
	// run, so that they are admitted.
	OncePerClaim
	// Unlimited requests may run again.
	Unlimited
)

// Phase is how far an attempt came.
type Phase uint8

const (
	// Waiting attempts have not been dispatched.
	Waiting Phase = iota
	// Running attempts were dispatched and have not ended.
	Running
	// Ended attempts were dispatched and have ended.
	Ended
	// Refused attempts were not and will not be dispatched.
	Refused
)

// AttemptRecord is what is known of an attempt.
type AttemptRecord struct {
	Organisation string
	Phase        Phase
	Ran          fault.Ran
	Status       uint32

	attempt Attempt
	changed time.Time
	// hold keeps the record for the hold time: a late arrival of the attempt
	// must find it.
	hold    bool
	element *list.Element
}

// AttemptsConfig bounds Records. Zero fields take their defaults.
type AttemptsConfig struct {
	// Incarnation is the start of this side process.
	Incarnation uint64
	// Limit bounds the records of attempts that are over.
	Limit int
	// Hold is how long a tombstone must stay: longer than any attempt lives.
	Hold time.Duration
}

const (
	defaultLimit = 16384
	// defaultHold exceeds the longest time that a request may take, 5 min.
	defaultHold = 10 * time.Minute
)

// Attempts holds the attempts of one incarnation. It is not safe for concurrent
// use.
type Attempts struct {
	config   AttemptsConfig
	attempts map[Attempt]*AttemptRecord
	// numbers lists the attempts of each request.
	numbers map[string][]uint32
	// over lists the attempts that are over, oldest first; held those of them
	// that must stay for the hold time.
	over *list.List
	held *list.List
}

// NewAttempts returns empty Records.
func NewAttempts(config AttemptsConfig) *Attempts {
	if config.Limit <= 0 {
		config.Limit = defaultLimit
	}
	if config.Hold <= 0 {
		config.Hold = defaultHold
	}
	return &Attempts{
		config: config, attempts: map[Attempt]*AttemptRecord{}, numbers: map[string][]uint32{},
		over: list.New(), held: list.New(),
	}
}

// Incarnation returns the incarnation that the records belong to.
func (records *Attempts) Incarnation() uint64 { return records.config.Incarnation }

// Register records an arriving attempt. Unless the verdict is Fresh, nothing is
// recorded.
func (records *Attempts) Register(attempt Attempt, organisation string, repeat RunLimit) Verdict {
	if record, ok := records.attempts[attempt]; ok {
		if record.Phase == Refused {
			return Tombstoned
		}
		return Duplicate
	}
	if repeat == AtMostOnce && records.ranBefore(attempt.RequestID) {
		return AlreadyRan
	}
	records.add(&AttemptRecord{Organisation: organisation, attempt: attempt, hold: repeat != Unlimited, Ran: fault.NotRun})
	return Accepted
}

func (records *Attempts) ranBefore(requestID string) bool {
	for _, number := range records.numbers[requestID] {
		switch records.attempts[Attempt{requestID, number}].Phase {
		case Running, Ended:
			return true
		case Waiting, Refused:
		}
	}
	return false
}

// Dispatch marks the attempt as running and reports whether it may run. Unless
// the request may run freely, one attempt may.
func (records *Attempts) Dispatch(now time.Time, attempt Attempt, repeat RunLimit) bool {
	record, ok := records.attempts[attempt]
	if !ok || record.Phase != Waiting {
		return false
	}
	if repeat != Unlimited && records.ranBefore(attempt.RequestID) {
		return false
	}
	record.Phase, record.Ran, record.changed = Running, fault.Unknown, now
	return true
}

// End records how an attempt ended. With NotRun it is refused for good.
func (records *Attempts) End(now time.Time, attempt Attempt, ran fault.Ran, status uint32) {
	record, ok := records.attempts[attempt]
	if !ok || record.element != nil {
		return
	}
	record.Ran, record.Status, record.Phase = ran, status, Ended
	if ran == fault.NotRun {
		record.Phase = Refused
	}
	records.retire(now, record)
}

// Cancelled reports whether the attempt may no longer be dispatched.
func (records *Attempts) Cancelled(attempt Attempt) bool {
	record, ok := records.attempts[attempt]
	return ok && record.Phase == Refused
}

// Cancel reports whether the attempt ran. An attempt that was not dispatched
// gets a tombstone, so that it never will be; NotRun is only answered then.
func (records *Attempts) Cancel(now time.Time, attempt Attempt, incarnation uint64) fault.Ran {
	record, known := records.attempts[attempt]
	if !known {
		return records.bury(now, attempt, incarnation)
	}
	switch record.Phase {
	case Waiting:
		record.Phase, record.Ran, record.hold = Refused, fault.NotRun, true
		records.retire(now, record)
		return fault.NotRun
	case Refused:
		return fault.NotRun
	case Running, Ended:
	}
	return record.Ran
}

// bury stores the tombstone of an attempt that has not arrived. An attempt
// sent to another incarnation may have run there.
func (records *Attempts) bury(now time.Time, attempt Attempt, incarnation uint64) fault.Ran {
	if incarnation != records.config.Incarnation {
		return fault.Unknown
	}
	if records.Full(now) {
		return fault.Unknown
	}
	record := &AttemptRecord{attempt: attempt, Phase: Refused, Ran: fault.NotRun, hold: true}
	records.add(record)
	records.retire(now, record)
	return fault.NotRun
}

// Lookup returns the record of a request that tells most: that of the attempt
// which came farthest.
func (records *Attempts) Lookup(requestID string) (AttemptRecord, bool) {
	var best *AttemptRecord
	for _, number := range records.numbers[requestID] {
		record := records.attempts[Attempt{requestID, number}]
		if best == nil || rank(record.Phase) > rank(best.Phase) {
			best = record
		}
	}
	if best == nil {
		return AttemptRecord{}, false
	}
	return *best, true
}

func rank(phase Phase) int {
	return map[Phase]int{Refused: 0, Waiting: 1, Ended: 2, Running: 3}[phase]
}

// Full reports whether attempts that must run at most once are refused, since
// no record that guards such an attempt may be dropped yet.
func (records *Attempts) Full(now time.Time) bool {
	for records.held.Len() >= records.config.Limit {
		oldest := records.held.Front().Value.(*AttemptRecord)
		if now.Sub(oldest.changed) < records.config.Hold {
			return true
		}
		records.drop(records.held, oldest)
	}
	return false
}

func (records *Attempts) add(record *AttemptRecord) {
	records.attempts[record.attempt] = record
	id := record.attempt.RequestID
	records.numbers[id] = append(records.numbers[id], record.attempt.Number)
}

func (records *Attempts) retire(now time.Time, record *AttemptRecord) {
	record.changed = now
	if record.hold {
		record.element = records.held.PushBack(record)
		return
	}
	record.element = records.over.PushBack(record)
	if records.over.Len() > records.config.Limit {
		records.drop(records.over, records.over.Front().Value.(*AttemptRecord))
	}
}

func (records *Attempts) drop(from *list.List, record *AttemptRecord) {
	from.Remove(record.element)
	delete(records.attempts, record.attempt)
	id := record.attempt.RequestID
	numbers := slices.DeleteFunc(records.numbers[id], func(number uint32) bool { return number == record.attempt.Number })
	if len(numbers) == 0 {
		delete(records.numbers, id)
		return
	}
	records.numbers[id] = numbers
}
