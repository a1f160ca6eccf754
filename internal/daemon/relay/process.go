package relay

import (
	"math/rand/v2"
	"time"
)

// maxIdentity bounds identities, so that stamps do not overflow.
const maxIdentity = 1 << 62

// process identifies this run of the instance to others, which hand back its stamps. Its
// identity is random: the time of day may go back to what it was in an earlier run.
type process struct {
	identity int64
	start    time.Time
}

func newProcess() process {
	return process{identity: 1 + rand.Int64N(maxIdentity), start: time.Now()}
}

// stamp returns the stamp of a time of this run, in nanoseconds.
func (process process) stamp(at time.Time) int64 {
	return process.identity + at.Sub(process.start).Nanoseconds()
}

// stampedAt returns the time of a stamp. It reports whether the stamp is of this run and not
// of the future.
func (process process) stampedAt(stamp int64) (at time.Time, ok bool) {
	since := time.Duration(stamp - process.identity)
	if since < 0 || since > time.Since(process.start) {
		return time.Time{}, false
	}
	return process.start.Add(since), true
}

// startMicro returns the start in microseconds of the clock by which demands say when they
// were sent. Loaders of earlier versions ignore demands that were sent before the last one,
// also of an earlier run, so it is the time of day. Others compare it within one run only.
func (process process) startMicro() int64 {
	return process.start.UnixMicro() //nolint:forbidigo // See above.
}
