package picker

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
)

// avoided reports whether an upstream wants no requests, and until when.
func (board *Picker) avoided(entry *upstream) (until time.Time, avoided bool) {
	if board.config.Avoided == nil {
		return time.Time{}, false
	}
	return board.config.Avoided.Avoided(cordon.Incarnation{ID: entry.spec.ID, StartedAt: entry.spec.StartedAt})
}

// usable reports whether requests may be sent to an upstream.
func (board *Picker) usable(entry *upstream) bool {
	_, avoided := board.avoided(entry)
	return !avoided && !entry.leaving()
}

// rest returns the time until the first upstream of a service that rests may be
// used again, or 0 if none does.
func (board *Picker) rest(need Request) time.Duration {
	var rest time.Duration
	for _, entry := range board.services[need.Service] {
		until, _ := board.avoided(entry)
		if until.IsZero() || entry.leaving() {
			continue
		}
		if left := time.Until(until); rest == 0 || left < rest {
			rest = left
		}
	}
	return rest
}

// nothing tells apart why a service has no usable upstream.
func (board *Picker) nothing(need Request) Result {
	for _, entry := range board.services[need.Service] {
		if need.Engine && board.usable(entry) && !entry.report.Unreachable && !entry.reported.IsZero() && !entry.report.ModelLoaded {
			return Starting
		}
	}
	return NoUpstream
}

func (entry *upstream) leaving() bool {
	return entry.spec.Draining || entry.report.Draining || entry.restarted()
}

// restarted reports whether the engine at the address has started anew since
// the upstream was listed.
func (entry *upstream) restarted() bool {
	return entry.spec.StartedAt > 0 && entry.report.StartedAt > entry.spec.StartedAt
}
