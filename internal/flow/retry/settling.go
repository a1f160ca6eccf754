package retry

import (
	"maps"
	"time"
)

const (
	// settleTime is how long an instance that has started, or was stopped, waits at least
	// for what others know.
	settleTime = 300 * time.Millisecond
	// StallTime is how long an instance does not look at the clock until it counts as
	// stopped meanwhile.
	StallTime = 500 * time.Millisecond
	// drainTime is how long an instance that was stopped may read datagrams that had
	// arrived before.
	drainTime = 100 * time.Millisecond
	// liveTime is how long an instance counts as running after its last report.
	liveTime = time.Second
)

// settling tells whether an instance knows what all have sent within the window. One that
// has just started does not, nor one that was stopped: others may have sent, reported and
// ended meanwhile.
type settling struct {
	settled bool
	// since is when the instance started or went on, and stalledAt when it was stopped
	// last, or zero. Told means that one that was settled has told its pasts since.
	since, stalledAt time.Time
	told             bool
	// tickedAt is when the instance last looked at the clock.
	tickedAt time.Time
	heard    map[string]heard
}

// heard is when an instance reported.
type heard struct {
	start int64
	// firstAt and lastAt are the first and the last report of the incarnation.
	firstAt, lastAt time.Time
}

func newSettling(start time.Time) settling {
	return settling{since: start, heard: make(map[string]heard)}
}

// tick records that the instance looks at the clock.
func (settling *settling) tick() {
	settling.checkStall()
	settling.tickedAt = time.Now()
}

// checkStall records that the instance was stopped since it last looked at the clock. If no
// other one ran before, it lacks nothing.
func (settling *settling) checkStall() {
	if settling.tickedAt.IsZero() || time.Since(settling.tickedAt) < StallTime {
		return
	}
	tickedAt := settling.tickedAt
	settling.tickedAt = time.Now()
	for _, heard := range settling.heard {
		if heard.lastAt.After(tickedAt.Add(-liveTime)) {
			settling.settled, settling.told = false, false
			settling.stalledAt, settling.since = tickedAt, time.Now()
			return
		}
	}
}

// hear records a report of an incarnation. It returns when the instance last reported
// before, or zero if that is not known.
func (settling *settling) hear(incarnation Incarnation) (before time.Time) {
	known, ok := settling.heard[incarnation.Instance]
	now := time.Now()
	if !ok || known.start != incarnation.Start {
		maps.DeleteFunc(settling.heard, func(_ string, heard heard) bool { return now.Sub(heard.lastAt) > recordLifetime })
		settling.heard[incarnation.Instance] = heard{start: incarnation.Start, firstAt: now, lastAt: now}
		return known.lastAt
	}
	before, known.lastAt = known.lastAt, now
	settling.heard[incarnation.Instance] = known
	return before
}

// isSettled reports whether the instance knows what all have sent within the window.
func (settling *settling) isSettled(window time.Duration) bool {
	settling.checkStall()
	if settling.settled {
		return true
	}
	waited := time.Since(settling.since)
	settling.settled = waited >= window || waited >= settleTime && (settling.told || settling.heardAll())
	return settling.settled
}

// heardAll reports whether all instances that ran before this one was stopped have reported
// since, and are the same incarnations.
func (settling *settling) heardAll() bool {
	if settling.stalledAt.IsZero() {
		return false
	}
	for _, heard := range settling.heard {
		if heard.lastAt.Before(settling.stalledAt.Add(-liveTime)) {
			continue
		}
		if heard.firstAt.After(settling.stalledAt) || heard.lastAt.Before(settling.since.Add(drainTime)) {
			return false
		}
	}
	return true
}
