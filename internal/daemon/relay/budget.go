package relay

import (
	"sync"
	"time"
)

// budgetUse is the part of the retry budget that is spent. The rest covers
// windows that begin between two buckets.
const budgetUse = 0.85

// budget is this instance's part of the retry budget that all instances share:
// the ratio of its own requests, and an equal part of the extra.
type budget struct {
	bounds    func() Bounds
	instances func() int

	mutex  sync.Mutex
	counts map[string]*window
}

// window holds the requests and retries of one service within
// Bounds.RetryWindow.
type window struct {
	sent []event
}

type event struct {
	at    time.Time
	retry bool
}

func newBudget(bounds func() Bounds, instances func() int) *budget {
	return &budget{bounds: bounds, instances: instances, counts: make(map[string]*window)}
}

// request records the first send of a request.
func (budget *budget) request(service string) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.window(service).add(false)
}

// allow takes one retry and reports whether there was one.
func (budget *budget) allow(service string) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	window := budget.window(service)
	requests, retries := window.count()
	bounds := budget.bounds()
	limit := float64(bounds.RetryRatio)*float64(requests) + float64(bounds.RetryExtra)/float64(budget.instances())
	if float64(retries+1) > limit*budgetUse {
		return false
	}
	window.add(true)
	return true
}

func (budget *budget) window(service string) *window {
	found, ok := budget.counts[service]
	if !ok {
		found = &window{}
		budget.counts[service] = found
	}
	found.trim(time.Now().Add(-budget.bounds().RetryWindow.Duration))
	return found
}

func (window *window) add(retry bool) {
	window.sent = append(window.sent, event{at: time.Now(), retry: retry})
}

func (window *window) trim(since time.Time) {
	first := 0
	for first < len(window.sent) && window.sent[first].at.Before(since) {
		first++
	}
	window.sent = window.sent[first:]
}

func (window *window) count() (requests, retries int) {
	for _, event := range window.sent {
		if event.retry {
			retries++
		} else {
			requests++
		}
	}
	return requests, retries
}
