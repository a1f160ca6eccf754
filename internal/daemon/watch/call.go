package watch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

// minOverdueTime is the least time after which a call is overdue, in addition to the time
// for which the store holds it. Where the store is slow, it is overdueFactor times as
// long as the store took for the last call.
const (
	minOverdueTime = 150 * time.Millisecond
	overdueFactor  = 2
)

// maxAnswerAge is how old an answer may be. If only answers of an earlier epoch or with an
// earlier end come for longer, the store itself is at that state.
const maxAnswerAge = 10 * time.Second

// call reads the snapshot, or the records after it.
func (watcher *Watcher[Record]) call(ctx context.Context) error {
	watcher.held = 0
	if !watcher.synced {
		defer watcher.watchOverdue()()
		ctx, cancel := context.WithTimeout(ctx, watcher.config.CallTimeout)
		defer cancel()
		records, next, err := watcher.config.Source.Snapshot(ctx)
		if err != nil {
			return err
		}
		if next.Epoch == 0 {
			next.Epoch = watcher.latestEpoch
		}
		switch err := watcher.checkAge(next); {
		case errors.Is(err, errStale):
			return err
		case err != nil && !watcher.Position().ConfirmedAt.IsZero():
			watcher.recordRestore(next)
		}
		watcher.config.Apply(records, true)
		watcher.reset(next)
		watcher.end, watcher.unread = next.Next, namedEnd{}
		watcher.staleSince = time.Time{}
		watcher.synced, watcher.changed = true, true
		return nil
	}
	wait := time.Duration(watcher.longPoll.Load())
	if watcher.failing || watcher.skippedCall {
		// After an outage, or when peer updates have ended, the local state must
		// be confirmed at once.
		wait = 0
		watcher.skippedCall = false
	}
	watcher.held = wait
	ctx, cancel := context.WithTimeout(ctx, watcher.config.CallTimeout+wait)
	defer cancel()
	defer watcher.watchOverdue()()
	from := watcher.Position().Next
	page, err := watcher.config.Source.Read(ctx, from, wait)
	if err != nil {
		return err
	}
	if err := watcher.checkAge(Cursor{Epoch: page.Next.Epoch, Next: page.End}); err != nil {
		return err
	}
	if page.Next.Next == from && page.End > from {
		return errNoRecords
	}
	watcher.staleSince = time.Time{}
	changes := watcher.config.Apply(page.Records, false)
	watcher.advance(page.Next.Next, changes)
	watcher.end = page.End
	watcher.changed = len(changes) > 0
	return nil
}

// watchOverdue calls OnOverdue when the present call takes longer than expected. The
// caller calls done when the call has ended, which waits for a call of OnOverdue that has
// begun, so that OnCall follows it.
func (watcher *Watcher[Record]) watchOverdue() (done func()) {
	if watcher.config.OnOverdue == nil {
		return func() {}
	}
	called := make(chan struct{})
	timer := time.AfterFunc(watcher.held+max(minOverdueTime, overdueFactor*watcher.storeTime), func() {
		defer close(called)
		watcher.config.OnOverdue()
	})
	return func() {
		if !timer.Stop() {
			<-called
		}
	}
}

// checkAge returns an error if an answer is of another epoch than the position, or if the
// topic ended before the position when the store answered, which may be a copy that lags.
func (watcher *Watcher[Record]) checkAge(end Cursor) error {
	position := watcher.Position()
	err := position.compareEpoch(end.Epoch)
	if err == nil && end.Next < position.Next {
		err = errStale
	}
	if errors.Is(err, errStale) {
		if watcher.staleSince.IsZero() {
			watcher.staleSince = time.Now()
		}
		if time.Since(watcher.staleSince) < maxAnswerAge {
			return err
		}
		err = ErrRestored
	}
	if err != nil && end.Epoch != 0 {
		watcher.latestEpoch = end.Epoch
	}
	return err
}

// recordRestore records that the store was restored from an earlier copy. It lacks
// what was written since, until that is written again, as after an outage.
func (watcher *Watcher[Record]) recordRestore(next Cursor) {
	before := watcher.Position()
	watcher.config.Logger.Warn("follow: store was restored from an earlier copy", zap.String("topic", watcher.config.Name),
		zap.Uint64("epoch-before", before.Epoch), zap.Uint64("epoch", next.Epoch), zap.Uint64("next-before", before.Next), zap.Uint64("next", next.Next))
	if watcher.config.OnRestore != nil {
		watcher.config.OnRestore()
	}
}
