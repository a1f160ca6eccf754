package admit

import (
	"slices"
	"time"
)

const (
	// GrantLifetime is how long after it has sent a demand an entry instance may use a
	// grant that answers it, if the engine has a cold limit. An instance that was
	// stopped uses no older ones.
	GrantLifetime = 250 * time.Millisecond
	// coldWindow is the window in which no more than ColdLimit.PerSecond grants may be
	// used. It exceeds a second by how much longer some requests are underway than
	// others.
	coldWindow = 1100 * time.Millisecond
	// coldBurst is the number of requests that an engine known to be cold gets at once.
	coldBurst = 2
	// maxInterval is the longest time between two requests to an engine known to be cold.
	maxInterval = time.Minute
	// limitRetention is how long a limit holds that some entry instances do not know yet.
	limitRetention = 5 * time.Second
)

// ColdLimit bounds the requests to an engine that tolerates few of them while it is
// cold. The zero value means no bound.
type ColdLimit struct {
	// PerSecond is the largest number of requests in any second, 0 for no limit. It
	// holds at all times, as an engine may become cold unnoticed.
	PerSecond int
	// Rate is the number of requests per second while the engine is known to be cold,
	// for the time Remaining.
	Rate      float64
	Remaining time.Duration
	// SentAt is when the entry instance sent its requests, in microseconds of its own
	// clock, and Process tells its processes apart, whose clocks differ.
	SentAt  uint64
	Process int64
}

// coldControl keeps the grants within a ColdLimit.
type coldControl struct {
	// limit was last named at limitedAt.
	limit     ColdLimit
	limitedAt time.Time
	// until is when the engine is no longer known to be cold, and readyAt when it may
	// get the next request before that.
	until   time.Time
	readyAt time.Time
	// heldUntil is when no grant of an earlier process can count any more.
	heldUntil time.Time
	grants    []coldGrant
}

// coldGrant is a grant that counts as used at any time up to usableUntil.
type coldGrant struct {
	entry       string
	id          uint64
	usableUntil time.Time
	// named means that the last message of the entry instance named the request.
	named bool
}

func newColdControl() coldControl {
	return coldControl{heldUntil: time.Now().Add(GrantLifetime + coldWindow)}
}

// observe records the requests that an entry instance still names. Of the others, it
// has used the grant or will not use it.
func (control *coldControl) observe(entry string, limit ColdLimit, named map[uint64]*waiter, now time.Time) {
	if limit.PerSecond > 0 {
		control.limit, control.limitedAt = limit, now
	} else if now.Sub(control.limitedAt) > limitRetention {
		control.limit = ColdLimit{}
	}
	if until := now.Add(limit.Remaining); limit.Remaining > 0 && until.After(control.until) {
		control.until = until
	}
	for number := range control.grants {
		grant := &control.grants[number]
		if grant.entry != entry || !grant.named {
			continue
		}
		waiter, ok := named[grant.id]
		grant.named = ok && waiter.granted
		switch {
		case grant.named:
			grant.usableUntil = now.Add(GrantLifetime)
		case !ok:
			grant.usableUntil = now
		}
	}
}

// admit records a grant.
func (control *coldControl) admit(waiter *waiter, now time.Time) {
	control.grants = append(control.grants, coldGrant{entry: waiter.entry, id: waiter.ID, usableUntil: now.Add(GrantLifetime), named: true})
	if control.cold(now) {
		interval := control.interval()
		if earliest := now.Add(-(coldBurst - 1) * interval); control.readyAt.Before(earliest) {
			control.readyAt = earliest
		}
		control.readyAt = control.readyAt.Add(interval)
	}
}

// cold reports whether the engine is known to be cold.
func (control *coldControl) cold(now time.Time) bool {
	return control.limit.Rate > 0 && now.Before(control.until)
}

// interval returns the mean time between two requests to a cold engine.
func (control *coldControl) interval() time.Duration {
	return time.Duration(min(1/control.limit.Rate, maxInterval.Seconds()) * float64(time.Second))
}

// wait returns how long the limit admits no request.
func (control *coldControl) wait(now time.Time) time.Duration {
	control.grants = slices.DeleteFunc(control.grants, func(grant coldGrant) bool { return now.Sub(grant.usableUntil) >= coldWindow })
	if control.limit.PerSecond <= 0 {
		return 0
	}
	wait := control.heldUntil.Sub(now)
	if control.cold(now) {
		wait = max(wait, control.readyAt.Sub(now))
	}
	if len(control.grants) >= control.limit.PerSecond {
		first := slices.MinFunc(control.grants, func(a, b coldGrant) int { return a.usableUntil.Compare(b.usableUntil) })
		wait = max(wait, first.usableUntil.Add(coldWindow).Sub(now))
	}
	return max(wait, 0)
}

// ColdState is what a Controller knows of the cold limit of its engine.
type ColdState struct {
	Limit ColdLimit
	// Remaining is how long the engine stays cold, 0 if it is not known to be.
	Remaining time.Duration
	// Counted is the number of grants that count towards Limit.PerSecond.
	Counted int
	// Waiting is the number of requests that were not admitted.
	Waiting int
}

// ColdState returns the state of the cold limit.
func (controller *Controller) ColdState() ColdState {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	now := time.Now()
	controller.cold.wait(now)
	state := ColdState{Limit: controller.cold.limit, Remaining: max(controller.cold.until.Sub(now), 0), Counted: len(controller.cold.grants)}
	for _, entry := range controller.entries {
		for _, waiter := range entry.waiters {
			if !waiter.granted {
				state.Waiting++
			}
		}
	}
	return state
}

// Answered returns ColdLimit.SentAt of the last requests of an entry instance that
// grants take into account. It is 0 without a cold limit.
func (controller *Controller) Answered(name string) uint64 {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	known, ok := controller.entries[name]
	switch {
	case controller.cold.limit.PerSecond <= 0:
		return 0
	case !ok:
		// Older than any request.
		return 1
	default:
		return known.sentAt
	}
}

// stale reports whether requests are older than those that are known, of the same process.
func (entry *entry) stale(limit ColdLimit, now time.Time, timeout time.Duration) bool {
	return limit.SentAt > 0 && limit.SentAt < entry.sentAt && limit.Process == entry.process && now.Sub(entry.heardAt) <= timeout
}
