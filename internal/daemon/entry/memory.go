package entry

import (
	"slices"
	"sync"
)

// memorySize bounds the requests whose places are remembered: ten minutes of
// 7 non-idempotent requests per second.
const memorySize = 4096

// memory remembers which upstreams the latest non-idempotent requests went to.
type memory struct {
	mutex  sync.Mutex
	places map[string][]string
	order  []string
	next   int
}

func newMemory(size int) *memory {
	return &memory{places: map[string][]string{}, order: make([]string, size)}
}

func (memory *memory) add(id, upstream string) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	if _, known := memory.places[id]; !known {
		delete(memory.places, memory.order[memory.next])
		memory.order[memory.next] = id
		memory.next = (memory.next + 1) % len(memory.order)
	}
	memory.places[id] = append(memory.places[id], upstream)
}

func (memory *memory) find(id string) []string {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return slices.Clone(memory.places[id])
}
