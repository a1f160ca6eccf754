package relay

import (
	"sync"
	"time"
)

// budgetFraction is the part of the retry budget that is used. The rest is a margin
// for measuring windows that begin at other times than this instance's.
const budgetFraction = 0.85

// retryBudget is this instance's share of the retry budget of all entry instances:
// RetryRatio of its own requests, and an equal part of RetryExtra.
type retryBudget struct {
	bounds    func() Bounds
	instances func() int

	mutex   sync.Mutex
	windows map[string]*window
}

// window holds the requests and retries of one service within Bounds.RetryWindow.
type window struct {
	attempts []attempt
}

type attempt struct {
	at    time.Time
	retry bool
}

func newRetryBudget(bounds func() Bounds, instances func() int) *retryBudget {
	return &retryBudget{bounds: bounds, instances: instances, windows: make(map[string]*window)}
}

// recordRequest records the first attempt of a request.
func (retryBudget *retryBudget) recordRequest(service string) {
	retryBudget.mutex.Lock()
	defer retryBudget.mutex.Unlock()
	retryBudget.window(service).add(false)
}

// retryGrant says what pays for a retry.
type retryGrant struct {
	service string
	// extra means that RetryExtra pays for it, else the instance's own requests do.
	extra     bool
	allowedAt time.Time
}

// takeRetry takes one retry from the budget. It returns nil if there was none left.
func (retryBudget *retryBudget) takeRetry(service string) *retryGrant {
	retryBudget.mutex.Lock()
	defer retryBudget.mutex.Unlock()
	window := retryBudget.window(service)
	requests, retries := window.count()
	bounds := retryBudget.bounds()
	own := float64(bounds.RetryRatio) * float64(requests)
	limit := own + float64(bounds.RetryExtra)/float64(retryBudget.instances())
	if float64(retries+1) > limit*budgetFraction {
		return nil
	}
	window.add(true)
	return &retryGrant{service: service, extra: float64(retries+1) > own*budgetFraction, allowedAt: time.Now()}
}

// window returns a service's window without the attempts that left it.
func (retryBudget *retryBudget) window(service string) *window {
	found, ok := retryBudget.windows[service]
	if !ok {
		found = &window{}
		retryBudget.windows[service] = found
	}
	found.trim(time.Now().Add(-retryBudget.bounds().RetryWindow.Duration))
	return found
}

func (window *window) add(retry bool) {
	window.attempts = append(window.attempts, attempt{at: time.Now(), retry: retry})
}

func (window *window) trim(since time.Time) {
	first := 0
	for first < len(window.attempts) && window.attempts[first].at.Before(since) {
		first++
	}
	window.attempts = window.attempts[first:]
}

func (window *window) count() (requests, retries int) {
	for _, attempt := range window.attempts {
		if attempt.retry {
			retries++
		} else {
			requests++
		}
	}
	return requests, retries
}
