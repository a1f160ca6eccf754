package relay

import (
	"slices"
	"sync"
)

// permitQueue holds the requests that wait for a permit, because the rate limits of
// all upstreams of their service are used up. Permits go to those that came first.
type permitQueue struct {
	mutex sync.Mutex
	// byService holds the numbers of the requests, in ascending order.
	byService map[string][]uint64
}

func newPermitQueue() *permitQueue { return &permitQueue{byService: make(map[string][]uint64)} }

// add adds a request to the queue, unless it is in it.
func (permitQueue *permitQueue) add(service string, request uint64) {
	permitQueue.mutex.Lock()
	defer permitQueue.mutex.Unlock()
	queued := permitQueue.byService[service]
	if index, found := slices.BinarySearch(queued, request); !found {
		permitQueue.byService[service] = slices.Insert(queued, index, request)
	}
}

// remove removes a request from the queue, if it is in it.
func (permitQueue *permitQueue) remove(service string, request uint64) {
	permitQueue.mutex.Lock()
	defer permitQueue.mutex.Unlock()
	queued := permitQueue.byService[service]
	if index, found := slices.BinarySearch(queued, request); found {
		permitQueue.byService[service] = slices.Delete(queued, index, index+1)
	}
}

// countBefore returns the number of requests that came before a request.
func (permitQueue *permitQueue) countBefore(service string, request uint64) int {
	permitQueue.mutex.Lock()
	defer permitQueue.mutex.Unlock()
	index, _ := slices.BinarySearch(permitQueue.byService[service], request)
	return index
}
