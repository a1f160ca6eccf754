package relay

import (
	"context"
	"sync"
	"time"
)

// broadcast wakes all goroutines that wait for a change.
type broadcast struct {
	mutex   sync.Mutex
	channel chan struct{}
}

func newBroadcast() *broadcast { return &broadcast{channel: make(chan struct{})} }

// next returns a channel that is closed by the next call of notify.
func (broadcast *broadcast) next() <-chan struct{} {
	broadcast.mutex.Lock()
	defer broadcast.mutex.Unlock()
	return broadcast.channel
}

// notify wakes all waiting goroutines.
func (broadcast *broadcast) notify() {
	broadcast.mutex.Lock()
	defer broadcast.mutex.Unlock()
	close(broadcast.channel)
	broadcast.channel = make(chan struct{})
}

// awaitChange waits until a channel of next is closed, at most for a time or until ctx
// ends.
func awaitChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
