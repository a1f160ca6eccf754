// Package dedup prevents requests from running more often than they may. It holds
// the attempts that one side process knows, with tombstones for those cancelled
// before they ran, and the claims of idempotency keys.
package dedup

import (
	"container/list"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// Attempt identifies one attempt of a request.
type Attempt struct {
	RequestID string
	Number    uint32
}

// Verdict says whether an arriving attempt may be queued.
type Verdict uint8

const (
	// Accepted attempts may be queued.
	Accepted Verdict = iota
	// Tombstoned attempts were cancelled or refused before they were dispatched.
	Tombstoned
	// Duplicate attempts have arrived already.
	Duplicate
	// AlreadyRan attempts belong to a request that another attempt has run and
	// that must not run again.
	AlreadyRan
)

// RunLimit says how often a request may run.
type RunLimit uint8

const (
	// AtMostOnce requests run in one attempt only. Further attempts are refused.
	AtMostOnce RunLimit = iota
	// OncePerClaim requests run in one attempt only. Further attempts are accepted,
	// because they are answered by replaying the outcome of that run.
	OncePerClaim
	// Unlimited requests may run in several attempts.
	Unlimited
)

// Phase is the progress of an attempt.
type Phase uint8

const (
	// Waiting attempts have not been dispatched.
	Waiting Phase = iota
	// Running attempts were dispatched and have not ended.
	Running
	// Ended attempts were dispatched and have ended.
	Ended
	// Refused attempts were not dispatched and never will be.
	Refused
)

// AttemptRecord is the state of an attempt.
type AttemptRecord struct {
	Organisation string
	Phase        Phase
	Ran          fault.Execution
	Status       uint32

	attempt   Attempt
	changedAt time.Time
	// retain keeps the record for the retention time, because the attempt may
	// still arrive late.
	retain bool
	// element is the record's element in finished or retained. It is nil until
	// the attempt has ended.
	element *list.Element
}

// AttemptsConfig configures Attempts. Zero fields take their defaults.
type AttemptsConfig struct {
	// Incarnation identifies this run of the side process.
	Incarnation uint64
	// MaxFinished bounds the records of ended attempts. Beyond it, the oldest
	// record is removed; while that one must be retained, attempts that must run
	// at most once are refused.
	MaxFinished int
	// Retention is how long tombstones and ended attempts of requests with a run
	// limit are kept. It must exceed the lifetime of any attempt.
	Retention time.Duration
}

const (
	defaultMaxFinished = 16384
	// defaultRetention exceeds the longest time that a request may take, 5 min.
	defaultRetention = 10 * time.Minute
)

// Attempts holds the attempts that one incarnation of a side process knows. It is
// not safe for concurrent use.
type Attempts struct {
	config   AttemptsConfig
	attempts map[Attempt]*AttemptRecord
	// attemptNumbers lists the numbers of each request's attempts.
	attemptNumbers map[string][]uint32
	// finished lists the ended attempts that may be forgotten at any time, and
	// retained those that must be kept for the retention time, oldest first.
	finished *list.List
	retained *list.List
}

// NewAttempts returns Attempts without any attempt.
func NewAttempts(config AttemptsConfig) *Attempts {
	if config.MaxFinished <= 0 {
		config.MaxFinished = defaultMaxFinished
	}
	if config.Retention <= 0 {
		config.Retention = defaultRetention
	}
	return &Attempts{
		config: config, attempts: map[Attempt]*AttemptRecord{}, attemptNumbers: map[string][]uint32{},
		finished: list.New(), retained: list.New(),
	}
}

// Incarnation returns the incarnation of the side process.
func (attempts *Attempts) Incarnation() uint64 { return attempts.config.Incarnation }

// Register records an arriving attempt if the verdict is Accepted. Otherwise it
// changes nothing.
func (attempts *Attempts) Register(attempt Attempt, organisation string, limit RunLimit) Verdict {
	if record, ok := attempts.attempts[attempt]; ok {
		if record.Phase == Refused {
			return Tombstoned
		}
		return Duplicate
	}
	if limit == AtMostOnce && attempts.ranBefore(attempt.RequestID) {
		return AlreadyRan
	}
	attempts.add(&AttemptRecord{Organisation: organisation, attempt: attempt, retain: limit != Unlimited, Ran: fault.NotRun})
	return Accepted
}

// ranBefore reports whether an attempt of the request has been dispatched.
func (attempts *Attempts) ranBefore(requestID string) bool {
	for _, number := range attempts.attemptNumbers[requestID] {
		switch attempts.attempts[Attempt{requestID, number}].Phase {
		case Running, Ended:
			return true
		case Waiting, Refused:
		}
	}
	return false
}

// Dispatch marks the attempt as running if it may run, and reports whether it
// may. Unless the limit is Unlimited, only one attempt of a request may run.
func (attempts *Attempts) Dispatch(now time.Time, attempt Attempt, limit RunLimit) bool {
	record, ok := attempts.attempts[attempt]
	if !ok || record.Phase != Waiting {
		return false
	}
	if limit != Unlimited && attempts.ranBefore(attempt.RequestID) {
		return false
	}
	record.Phase, record.Ran, record.changedAt = Running, fault.RunUnknown, now
	return true
}

// End records the result of an attempt. If it is NotRun, the attempt is refused
// and never dispatched.
func (attempts *Attempts) End(now time.Time, attempt Attempt, ran fault.Execution, status uint32) {
	record, ok := attempts.attempts[attempt]
	if !ok || record.element != nil {
		return
	}
	record.Ran, record.Status, record.Phase = ran, status, Ended
	if ran == fault.NotRun {
		record.Phase = Refused
	}
	attempts.finish(now, record)
}

// Cancelled reports whether the attempt was cancelled or refused and must not be
// dispatched.
func (attempts *Attempts) Cancelled(attempt Attempt) bool {
	record, ok := attempts.attempts[attempt]
	return ok && record.Phase == Refused
}

// Cancel returns whether the attempt ran. It returns NotRun only if the attempt
// was not dispatched and now has a tombstone, so that it never will be.
func (attempts *Attempts) Cancel(now time.Time, attempt Attempt, incarnation uint64) fault.Execution {
	record, known := attempts.attempts[attempt]
	if !known {
		return attempts.storeTombstone(now, attempt, incarnation)
	}
	switch record.Phase {
	case Waiting:
		record.Phase, record.Ran, record.retain = Refused, fault.NotRun, true
		attempts.finish(now, record)
		return fault.NotRun
	case Refused:
		return fault.NotRun
	case Running, Ended:
	}
	return record.Ran
}

// storeTombstone stores a tombstone for an attempt that has not arrived. It returns
// RunUnknown without storing one if the attempt was sent to another incarnation, which
// may have run it, or if no further record can be stored.
func (attempts *Attempts) storeTombstone(now time.Time, attempt Attempt, incarnation uint64) fault.Execution {
	if incarnation != attempts.config.Incarnation {
		return fault.RunUnknown
	}
	if attempts.Full(now) {
		return fault.RunUnknown
	}
	record := &AttemptRecord{attempt: attempt, Phase: Refused, Ran: fault.NotRun, retain: true}
	attempts.add(record)
	attempts.finish(now, record)
	return fault.NotRun
}

// Lookup returns the record of the request's attempt that says most about it: one
// that is running, or else one that has ended, is waiting or was refused, in this
// order.
func (attempts *Attempts) Lookup(requestID string) (AttemptRecord, bool) {
	var best *AttemptRecord
	for _, number := range attempts.attemptNumbers[requestID] {
		record := attempts.attempts[Attempt{requestID, number}]
		if best == nil || phaseRank(record.Phase) > phaseRank(best.Phase) {
			best = record
		}
	}
	if best == nil {
		return AttemptRecord{}, false
	}
	return *best, true
}

// phaseRank orders phases by how much they say about a request.
func phaseRank(phase Phase) int {
	return map[Phase]int{Refused: 0, Waiting: 1, Ended: 2, Running: 3}[phase]
}

// Full reports whether attempts that must run at most once have to be refused,
// because as many records as allowed are still within their retention time. It
// removes records that are older.
func (attempts *Attempts) Full(now time.Time) bool {
	for attempts.retained.Len() >= attempts.config.MaxFinished {
		oldest := attempts.retained.Front().Value.(*AttemptRecord)
		if now.Sub(oldest.changedAt) < attempts.config.Retention {
			return true
		}
		attempts.remove(attempts.retained, oldest)
	}
	return false
}

func (attempts *Attempts) add(record *AttemptRecord) {
	attempts.attempts[record.attempt] = record
	id := record.attempt.RequestID
	attempts.attemptNumbers[id] = append(attempts.attemptNumbers[id], record.attempt.Number)
}

// finish adds the record of an ended attempt to the list that decides when it is
// removed.
func (attempts *Attempts) finish(now time.Time, record *AttemptRecord) {
	record.changedAt = now
	if record.retain {
		record.element = attempts.retained.PushBack(record)
		return
	}
	record.element = attempts.finished.PushBack(record)
	if attempts.finished.Len() > attempts.config.MaxFinished {
		attempts.remove(attempts.finished, attempts.finished.Front().Value.(*AttemptRecord))
	}
}

func (attempts *Attempts) remove(from *list.List, record *AttemptRecord) {
	from.Remove(record.element)
	delete(attempts.attempts, record.attempt)
	id := record.attempt.RequestID
	numbers := slices.DeleteFunc(attempts.attemptNumbers[id], func(number uint32) bool { return number == record.attempt.Number })
	if len(numbers) == 0 {
		delete(attempts.attemptNumbers, id)
		return
	}
	attempts.attemptNumbers[id] = numbers
}
