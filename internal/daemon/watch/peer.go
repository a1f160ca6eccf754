package watch

import (
	"context"
	"time"
)

// peerPollPeriod is how often the update of another process is looked up.
const peerPollPeriod = 100 * time.Millisecond

// waitOnPeer waits for as long as the updates of another process replace calls.
func (watcher *Watcher[Record]) waitOnPeer(ctx context.Context) {
	for ctx.Err() == nil {
		valid := watcher.applyPeerUpdate()
		if valid <= 0 {
			return
		}
		watcher.skippedCall = true
		select {
		case <-ctx.Done():
		case <-time.After(min(valid, peerPollPeriod)):
		case <-watcher.wake:
		case <-watcher.refresh:
		}
	}
}

// applyPeerUpdate applies what another process has read, and returns for how long that
// replaces calls. It is not positive if a call is needed: there is no update, it lacks
// changes that this process has not read, it says later that there is less, or Refresh asks
// for a call.
func (watcher *Watcher[Record]) applyPeerUpdate() (valid time.Duration) {
	if watcher.config.PeerUpdate == nil {
		return 0
	}
	update, valid := watcher.config.PeerUpdate()
	own := watcher.Position()
	if valid <= 0 || update.Epoch != own.Epoch || update.ChangedNext > own.Next && (!update.Complete || update.From > own.Next) {
		return 0
	}
	if update.Next < own.Next && update.ConfirmedAt.After(own.ConfirmedAt) {
		// The other process is served by a copy of the store that lags.
		return 0
	}
	if update.Next > own.Next {
		var changes []Record
		if update.ChangedNext > own.Next {
			changes = watcher.config.Apply(update.Changes, false)
		}
		watcher.advance(update.Next, changes)
	}
	if update.ConfirmedAt.After(own.ConfirmedAt) {
		watcher.markConfirmed(update.ConfirmedAt, update.AnsweredAt)
	}
	if watcher.refreshDue() {
		return 0
	}
	return valid
}
