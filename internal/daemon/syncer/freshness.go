package syncer

import (
	"math"
	"time"
)

// neverConfirmed is the confirmed age of a version that was never confirmed.
const neverConfirmed = time.Duration(math.MaxInt64)

// freshness tracks when the current version was last known to be the newest one.
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
		return neverConfirmed
	}
	return time.Since(freshness.confirmed)
}

// ConfirmedAge returns the time since the log, directly or through a chain of
// peers, last confirmed that the current version is the newest. It is the
// largest time.Duration if that never happened.
func (syncer *Syncer) ConfirmedAge() time.Duration {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.freshness.age()
}

// Isolated reports whether this process may have missed the withdrawal of a key:
// its version was not confirmed within the isolation limit, and fewer than half
// of the peers that it called within the limit answered.
func (syncer *Syncer) Isolated() bool {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	limit := syncer.config.IsolationLimit
	return syncer.freshness.age() > limit && !syncer.peers.mostAnswer(time.Now().Add(-limit))
}

// ObserveVersion records that another process has shown this version. If it is
// newer than the current one, peers are called at once.
func (syncer *Syncer) ObserveVersion(version uint64) {
	if version <= syncer.Current().Version() {
		return
	}
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	syncer.peers.observe(version)
	syncer.requestSync("")
}

// requestSync requests a call to the peer at an address, or to random peers if
// the address is empty. The request is dropped when the queue is full, since
// calls are due then anyway.
func (syncer *Syncer) requestSync(address string) {
	select {
	case syncer.syncRequests <- address:
	default:
	}
}
