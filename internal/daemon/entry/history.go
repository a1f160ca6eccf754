package entry

import (
	"slices"
	"sync"
)

// historySize bounds the requests whose upstreams are remembered: ten minutes of
// 7 non-idempotent requests per second.
const historySize = 4096

// history remembers which upstreams the latest non-idempotent requests were sent
// to.
type history struct {
	mutex     sync.Mutex
	upstreams map[string][]string
	order     []string
	next      int
}

func newHistory(size int) *history {
	return &history{upstreams: map[string][]string{}, order: make([]string, size)}
}

func (history *history) add(id, upstream string) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	if _, known := history.upstreams[id]; !known {
		delete(history.upstreams, history.order[history.next])
		history.order[history.next] = id
		history.next = (history.next + 1) % len(history.order)
	}
	history.upstreams[id] = append(history.upstreams[id], upstream)
}

func (history *history) find(id string) []string {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	return slices.Clone(history.upstreams[id])
}
