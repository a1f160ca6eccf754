package relay

import (
	"slices"
	"sync"
)

// permitQueue orders the requests that wait for a permit, because the rate limits
// of all upstreams of their service are used up. Interrupted streams come first,
// then the requests in the order of their arrival.
type permitQueue struct {
	mutex     sync.Mutex
	byService map[string]*serviceQueue
}

// serviceQueue holds the numbers of the requests for one service, in ascending
// order.
type serviceQueue struct {
	streams  []uint64
	requests []uint64
}

func newPermitQueue() *permitQueue { return &permitQueue{byService: make(map[string]*serviceQueue)} }

// add adds a request to the queue, unless it is in it.
func (permitQueue *permitQueue) add(service string, request uint64, interrupted bool) {
	permitQueue.mutex.Lock()
	defer permitQueue.mutex.Unlock()
	queue, ok := permitQueue.byService[service]
	if !ok {
		queue = &serviceQueue{}
		permitQueue.byService[service] = queue
	}
	if interrupted {
		queue.streams = insert(queue.streams, request)
	} else {
		queue.requests = insert(queue.requests, request)
	}
}

// remove removes a request from the queue, if it is in it.
func (permitQueue *permitQueue) remove(service string, request uint64) {
	permitQueue.mutex.Lock()
	defer permitQueue.mutex.Unlock()
	queue, ok := permitQueue.byService[service]
	if !ok {
		return
	}
	queue.streams, queue.requests = remove(queue.streams, request), remove(queue.requests, request)
	if len(queue.streams) == 0 && len(queue.requests) == 0 {
		delete(permitQueue.byService, service)
	}
}

// countBefore returns the number of queued requests that come before a request,
// which need not be queued itself.
func (permitQueue *permitQueue) countBefore(service string, request uint64) int {
	permitQueue.mutex.Lock()
	defer permitQueue.mutex.Unlock()
	queue, ok := permitQueue.byService[service]
	if !ok {
		return 0
	}
	if index, found := slices.BinarySearch(queue.streams, request); found {
		return index
	}
	index, _ := slices.BinarySearch(queue.requests, request)
	return len(queue.streams) + index
}

// insert inserts a number into sorted ones, unless it is among them.
func insert(sorted []uint64, number uint64) []uint64 {
	index, found := slices.BinarySearch(sorted, number)
	if found {
		return sorted
	}
	return slices.Insert(sorted, index, number)
}

// remove removes a number from sorted ones, if it is among them.
func remove(sorted []uint64, number uint64) []uint64 {
	index, found := slices.BinarySearch(sorted, number)
	if !found {
		return sorted
	}
	return slices.Delete(sorted, index, index+1)
}
