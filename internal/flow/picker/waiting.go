package picker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/flow/order"
)

// waiter is a request that waits for admission at an upstream.
type waiter struct {
	admit.Request
	addedAt time.Time
	// lateAt is when the request misses its response-time goal, or zero for
	// never.
	lateAt  time.Time
	granted bool
	// usableUntil is how long the grant may be used, or zero for as long as the request
	// waits.
	usableUntil time.Time
}

// late reports whether the request has missed its response-time goal.
func (waiter *waiter) late(now time.Time) bool {
	return !waiter.lateAt.IsZero() && !now.Before(waiter.lateAt)
}

// RecordGrants records which of this instance's requests an upstream's loader
// has admitted.
func (picker *Picker) RecordGrants(id string, requests []uint64) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	upstream, ok := picker.upstreams[id]
	if !ok {
		return
	}
	for _, number := range requests {
		if waiter, ok := upstream.waiting[number]; ok {
			waiter.granted = true
		}
	}
}

// RequestCopy asks for an adapter at an upstream without a waiting request,
// until CancelCopy is called.
func (picker *Picker) RequestCopy(id string, adapter lora.Adapter) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	if upstream, ok := picker.upstreams[id]; ok {
		upstream.requestedCopies[adapter]++
		upstream.generation++
	}
}

// CancelCopy ends one RequestCopy.
func (picker *Picker) CancelCopy(id string, adapter lora.Adapter) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	if upstream, ok := picker.upstreams[id]; ok {
		decrement(upstream.requestedCopies, adapter)
		upstream.generation++
	}
}

// AddWaiting records that a request waits for admission at an upstream. The
// request is late from lateAt on, unless that is zero. One that continues a
// stream is added as bound, and counts as such while engines of other software
// versions serve.
func (picker *Picker) AddWaiting(id string, request admit.Request, lateAt time.Time) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	if upstream, ok := picker.upstreams[id]; ok {
		request.AddedAt = time.Now()
		upstream.waiting[request.ID] = &waiter{Request: request, addedAt: request.AddedAt, lateAt: lateAt}
		upstream.generation++
	}
}

// RemoveWaiting ends what AddWaiting began.
func (picker *Picker) RemoveWaiting(id string, number uint64) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	if upstream, ok := picker.upstreams[id]; ok {
		delete(upstream.waiting, number)
		upstream.generation++
	}
}

// GrantState says whether a request that waits at an upstream may start.
type GrantState uint8

const (
	// Waiting means that the request was not admitted yet.
	Waiting GrantState = iota
	// Granted means that the request was admitted and may start.
	Granted
	// NoLoader means that the upstream's loader sends no reports. The request
	// may then start as soon as the upstream has its adapter.
	NoLoader
	// Unusable means that the upstream can no longer be used, that its rate limit
	// is used up, or that the request does not wait there.
	Unusable
)

// GrantState returns whether a request that waits at an upstream may start.
func (picker *Picker) GrantState(id string, number uint64) GrantState {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	upstream, ok := picker.upstreams[id]
	if !ok || !picker.usable(upstream) || upstream.report.Unreachable {
		return Unusable
	}
	now := time.Now()
	waiter, ok := upstream.waiting[number]
	switch {
	case !ok, !picker.admitsAny(upstream, number, waiter.mayStart(now) || picker.reportIsRecent(upstream, now)):
		return Unusable
	case waiter.mayStart(now):
		return Granted
	case picker.reportIsRecent(upstream, now):
		return Waiting
	default:
		return NoLoader
	}
}

// WaitingRequests returns this instance's requests that wait for admission at
// an upstream, ordered by id.
func (picker *Picker) WaitingRequests(id string) []admit.Request {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	upstream, ok := picker.upstreams[id]
	if !ok || len(upstream.waiting) == 0 || picker.evacuated(upstream) {
		return nil
	}
	now := time.Now()
	requests := make([]admit.Request, 0, len(upstream.waiting))
	for _, waiter := range upstream.waiting {
		request := waiter.Request
		request.Late, request.Bound = waiter.late(now), waiter.Bound && picker.othersServe(upstream)
		requests = append(requests, request)
	}
	slices.SortFunc(requests, func(a, b admit.Request) int { return cmp.Compare(a.ID, b.ID) })
	return requests
}

func decrement(counts map[lora.Adapter]int, adapter lora.Adapter) {
	if counts[adapter] <= 1 {
		delete(counts, adapter)
		return
	}
	counts[adapter]--
}

// DemandGeneration returns a number that grows with each change of what
// AdapterDemand and WaitingRequests return for an upstream.
func (picker *Picker) DemandGeneration(id string) uint64 {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	if upstream, ok := picker.upstreams[id]; ok {
		return upstream.generation
	}
	return 0
}

// copyWeights returns the weights of the requested copies, by adapter. Each weighs
// as little as the least urgent request that waits for an adapter.
func (upstream *upstream) copyWeights() map[lora.Adapter]int {
	least := order.MaxWeight
	for _, request := range upstream.waiting {
		if request.Adapter.Name != "" {
			least = min(least, order.Weight(request.Priority, request.RoutePriority))
		}
	}
	weights := make(map[lora.Adapter]int, len(upstream.requestedCopies))
	for adapter, copies := range upstream.requestedCopies {
		weights[adapter] = copies * least
	}
	return weights
}

// AdapterDemand returns this instance's demand at an upstream by adapter,
// ordered by the adapters' names and versions.
func (picker *Picker) AdapterDemand(id string) []lora.AdapterUse {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	upstream, ok := picker.upstreams[id]
	if !ok {
		return nil
	}
	now := time.Now()
	othersServe := picker.othersServe(upstream)
	waiting, late, bound := maps.Clone(upstream.requestedCopies), make(map[lora.Adapter]int), make(map[lora.Adapter]int)
	weights, lateWeights := upstream.copyWeights(), make(map[lora.Adapter]int)
	evacuated := picker.evacuated(upstream)
	if evacuated {
		clear(waiting)
		clear(weights)
	}
	for _, request := range upstream.waiting {
		if request.Adapter.Name == "" || evacuated {
			continue
		}
		waiting[request.Adapter]++
		if request.late(now) {
			late[request.Adapter]++
			lateWeights[request.Adapter] += order.Weight(request.Priority, request.RoutePriority)
		} else {
			weights[request.Adapter] += order.Weight(request.Priority, request.RoutePriority)
		}
		if request.Bound && othersServe {
			bound[request.Adapter]++
		}
	}
	adapters := maps.Clone(upstream.runningByAdapter)
	maps.Copy(adapters, waiting)
	uses := make([]lora.AdapterUse, 0, len(adapters))
	for adapter := range adapters {
		use := lora.AdapterUse{Adapter: adapter, Running: upstream.runningByAdapter[adapter], Waiting: waiting[adapter], Late: late[adapter], Bound: bound[adapter]}
		if weights[adapter]+lateWeights[adapter] != order.MaxWeight*use.Waiting {
			use.Weight, use.LateWeight = weights[adapter], lateWeights[adapter]
		}
		uses = append(uses, use)
	}
	slices.SortFunc(uses, func(a, b lora.AdapterUse) int { return compareAdapters(a.Adapter, b.Adapter) })
	return uses
}
