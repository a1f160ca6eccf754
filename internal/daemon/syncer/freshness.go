package syncer

import (
	"math"
	"time"
)

// never is the age of a version that was never confirmed.
const never = time.Duration(math.MaxInt64)

// freshness is the time at which the current version was known to be the
// newest.
type freshness struct {
	confirmed time.Time
}

func (freshness *freshness) confirm(at time.Time) {
	if at.After(freshness.confirmed) {
		freshness.confirmed = at
	}
}

func (freshness *freshness) age() time.Duration {
	if freshness.confirmed.IsZero() {
		return never
	}
	return time.Since(freshness.confirmed)
}

// ConfirmedAge returns the time since the current version was last confirmed by
// the log, directly or through a chain of peers.
func (syncer *Syncer) ConfirmedAge() time.Duration {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.fresh.age()
}

// Isolated reports whether a withdrawal may have missed this process: its
// version was not confirmed within the isolation limit, and fewer than half of
// the peers that it called within that time answered.
func (syncer *Syncer) Isolated() bool {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	limit := syncer.config.IsolationLimit
	return syncer.fresh.age() > limit && !syncer.peers.answer(time.Now().Add(-limit))
}

// ObserveVersion tells that somebody showed this version. When it is newer, peers are
// asked at once.
func (syncer *Syncer) ObserveVersion(version uint64) {
	if version <= syncer.Current().Version() {
		return
	}
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	syncer.peers.want(version)
	syncer.kick("")
}

// kick asks for a call to an address, or to random peers when it is empty.
// A full queue means that calls are due anyway.
func (syncer *Syncer) kick(address string) {
	select {
	case syncer.kicks <- address:
	default:
	}
}
