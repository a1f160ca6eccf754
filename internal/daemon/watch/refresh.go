package watch

import (
	"context"
	"time"
)

// minRefreshInterval is the least time between the begins of two calls, so that many calls
// of Refresh share one.
const minRefreshInterval = 20 * time.Millisecond

// topicEnd is the end of a topic that the source named.
type topicEnd struct {
	cursor Cursor
	// calledAt is when the call began.
	calledAt time.Time
}

// Refresh makes the watcher call the source, also if peer updates replace calls, unless the
// local state is confirmed by a call that began at a time or later.
func (watcher *Watcher[Record]) Refresh(since time.Time) {
	watcher.mutex.Lock()
	if since.After(watcher.refreshSince) {
		watcher.refreshSince = since
	}
	watcher.mutex.Unlock()
	select {
	case watcher.refresh <- struct{}{}:
	default:
	}
}

// refreshDue reports whether a call must begin that Refresh asks for.
func (watcher *Watcher[Record]) refreshDue() bool {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	return watcher.refreshSince.After(watcher.position.ConfirmedAt)
}

// waitRefresh waits until minRefreshInterval after the begin of the last call.
func (watcher *Watcher[Record]) waitRefresh(ctx context.Context, called time.Time) {
	if watcher.refreshDue() {
		sleep(ctx, time.Until(called.Add(minRefreshInterval)))
	}
}

// End returns where the topic ends, as the source said in response to a call that began at a
// time or later. Callers at the same time share calls. An end before what was read already is
// that of a copy that lags, and an error.
func (watcher *Watcher[Record]) End(ctx context.Context, since time.Time) (Cursor, error) {
	watcher.endMutex.Lock()
	defer watcher.endMutex.Unlock()
	if !watcher.lastEnd.calledAt.Before(since) {
		return watcher.lastEnd.cursor, nil
	}
	if ctx.Err() != nil {
		return Cursor{}, ctx.Err()
	}
	called, from := time.Now(), watcher.Position().Cursor
	page, err := watcher.config.Source.Read(ctx, from.Next, 0)
	if err != nil {
		return Cursor{}, err
	}
	end := Cursor{Epoch: page.Next.Epoch, Next: page.End}
	if end.Epoch == 0 {
		end.Epoch = from.Epoch
	}
	if end.Before(from) {
		return Cursor{}, errStale
	}
	watcher.lastEnd = topicEnd{end, called}
	return end, nil
}
