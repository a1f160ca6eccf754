package admit

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/order"
)

// MaxPriority is the least urgent level that is told apart in what waits.
const MaxPriority = 3

// GrantKind is a kind of admitted requests. Priority is at most MaxPriority.
type GrantKind struct {
	Class    order.Class
	Priority int
}

// String returns the name of the kind, as in metrics.
func (kind GrantKind) String() string {
	return kind.Class.String() + "-priority-" + strconv.Itoa(kind.Priority)
}

// Waiting holds the prompt tokens of the waiting requests whose adapter is
// loaded, by priority up to MaxPriority, which includes the less urgent ones.
type Waiting struct {
	OnTime [MaxPriority + 1]int64
	Late   [MaxPriority + 1]int64
	// Longest is the longest time for which one of them has waited.
	Longest time.Duration
}

// level returns the index of a priority in Waiting.
func level(priority int) int { return min(max(priority, 0), MaxPriority) }

// queue returns the waiting requests whose adapter is loaded, in the order of
// their admission.
func (controller *Controller) queue() []*waiter {
	eligible := controller.eligible()
	slices.SortFunc(eligible, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.entry, b.entry), cmp.Compare(a.ID, b.ID))
	})
	requests := make([]order.Request, len(eligible))
	for i, waiter := range eligible {
		requests[i] = waiter.orderRequest()
	}
	queue := make([]*waiter, 0, len(eligible))
	for _, place := range controller.ranker.Rank(requests, controller.capacity(), time.Now()) {
		waiter := eligible[place.Index]
		waiter.class = place.Class
		queue = append(queue, waiter)
	}
	return queue
}

// orderRequest returns what the order of the request depends on.
func (waiter *waiter) orderRequest() order.Request {
	return order.Request{
		Priority: waiter.Priority, RoutePriority: waiter.RoutePriority, Organisation: waiter.Organisation, Tokens: waiter.PromptTokens,
		ArrivedAt: waiter.arrivedAt, StartBy: waiter.StartBy, GiveUpBy: waiter.GiveUpBy, Late: waiter.Late, Bound: waiter.Bound,
	}
}

// capacity returns what the engine admits now and later.
func (controller *Controller) capacity() order.Capacity {
	limit := controller.tokenLimit()
	if limit == 0 {
		return order.Capacity{}
	}
	rate := controller.prefillRate() * controller.config.Utilisation
	if controller.gapLimited() {
		rate = float64(limit) / float64(controller.engineConfig.MaxEventGap.Milliseconds())
	}
	return order.Capacity{Free: limit - controller.tokensAhead(), Rate: rate}
}

// recordGrant records an admitted request.
func (controller *Controller) recordGrant(waiter *waiter, now time.Time) {
	controller.ranker.RecordAdmitted(waiter.orderRequest(), waiter.class, now)
	controller.grants[GrantKind{Class: waiter.class, Priority: level(waiter.Priority)}]++
}

// Grants returns how many requests of each kind were admitted.
func (controller *Controller) Grants() map[GrantKind]int64 {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	return maps.Clone(controller.grants)
}

// Waiting returns what waits for admission.
func (controller *Controller) Waiting() Waiting {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	var waiting Waiting
	for _, waiter := range controller.eligible() {
		if waiter.Late {
			waiting.Late[level(waiter.Priority)] += waiter.PromptTokens
		} else {
			waiting.OnTime[level(waiter.Priority)] += waiter.PromptTokens
		}
		waiting.Longest = max(waiting.Longest, time.Since(waiter.arrivedAt))
	}
	return waiting
}
