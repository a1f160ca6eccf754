package relay

import "sync"

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
