package watch

import (
	"time"

	"go.uber.org/zap"
)

// Position returns how far the topic was read. Its ConfirmedAt is zero before
// the first successful call.
func (watcher *Watcher[Record]) Position() Position {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	return watcher.position
}

// advance records that the topic was read up to next, and which of the records
// changed the local state.
func (watcher *Watcher[Record]) advance(next uint64, changes []Record) {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	if len(changes) > 0 {
		watcher.recent.add(watcher.position.Next, next, changes)
		watcher.position.ChangedNext = next
	}
	watcher.position.Next = next
}

// reset records that a snapshot was read.
func (watcher *Watcher[Record]) reset(next Cursor) {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	watcher.recent.reset(next.Next)
	watcher.position.Cursor, watcher.position.ChangedNext = next, next.Next
}

// setConfirmedAt records a time at which there was nothing more to read, and by which the
// store had answered.
func (watcher *Watcher[Record]) setConfirmedAt(at, answeredAt time.Time) {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	watcher.position.ConfirmedAt = at
	if answeredAt.After(watcher.position.AnsweredAt) {
		watcher.position.AnsweredAt = answeredAt
	}
}

// confirm records, after a call that began at a time, until when the local state is known
// to be current. It reports whether the call reached the end of the topic.
//
// A topic that grows as fast as it is read is never read to its end. The local state is
// then as current as the last call whose end was reached by later ones.
func (watcher *Watcher[Record]) confirm(called time.Time) (caughtUp bool) {
	next := watcher.Position().Next
	if next >= watcher.end {
		watcher.unread = namedEnd{}
		answeredAt := time.Now()
		watcher.storeTime = max(0, answeredAt.Sub(called)-watcher.held)
		if latest := called.Add(watcher.held); answeredAt.After(latest) {
			// The answer may have waited to be read.
			answeredAt = latest
		}
		watcher.markConfirmed(called, answeredAt)
		return true
	}
	if watcher.unread.at.IsZero() {
		watcher.unread = namedEnd{watcher.end, called}
		watcher.config.Logger.Info("follow: topic is not read to its end", zap.String("topic", watcher.config.Name),
			zap.Uint64("next", next), zap.Uint64("end", watcher.end))
		return false
	}
	if next >= watcher.unread.offset {
		watcher.markConfirmed(watcher.unread.at, watcher.unread.at)
		watcher.unread = namedEnd{watcher.end, called}
	}
	return false
}

// markConfirmed records a time at which the local state was current, and by which the store
// had answered.
func (watcher *Watcher[Record]) markConfirmed(called, answeredAt time.Time) {
	if watcher.failing {
		watcher.failing = false
		watcher.config.Logger.Info("follow: topic is read again", zap.String("topic", watcher.config.Name))
	}
	watcher.setConfirmedAt(called, answeredAt)
	if watcher.config.OnConfirmed != nil {
		watcher.config.OnConfirmed(called)
	}
}
