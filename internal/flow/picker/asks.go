package picker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
)

// ask is a request that waits for its turn at an upstream.
type ask struct {
	admit.Request
	placed time.Time
	// goal is when the request misses its response-time goal, or zero.
	goal    time.Time
	granted bool
}

// late reports whether the request misses its goal.
func (ask *ask) late(now time.Time) bool { return !ask.goal.IsZero() && !now.Before(ask.goal) }

// RecordGrants records which of this instance's requests may start at an upstream.
func (board *Picker) RecordGrants(id string, asks []uint64) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	if !ok {
		return
	}
	for _, number := range asks {
		if waiting, ok := entry.asks[number]; ok {
			waiting.granted = true
		}
	}
}

// RequestCopy asks for a copy of an adapter at an upstream, without a request that
// waits for it, until Unwant.
func (board *Picker) RequestCopy(id string, adapter lora.Adapter) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		entry.wanted[adapter]++
		entry.stamp++
	}
}

// CancelCopy ends what Want began.
func (board *Picker) CancelCopy(id string, adapter lora.Adapter) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		decrement(entry.wanted, adapter)
		entry.stamp++
	}
}

// AddWaiting records that a request waits for its turn at an upstream. It is late
// from the time goal on, unless that is zero.
func (board *Picker) AddWaiting(id string, request admit.Request, goal time.Time) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		entry.asks[request.ID] = &ask{Request: request, placed: time.Now(), goal: goal}
		entry.stamp++
	}
}

// RemoveWaiting ends what Place began.
func (board *Picker) RemoveWaiting(id string, number uint64) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		delete(entry.asks, number)
		entry.stamp++
	}
}

// GrantState says whether a request that waits at an upstream may start.
type GrantState uint8

const (
	// Waiting means that its turn has not come.
	Waiting GrantState = iota
	// Granted means that it may start.
	Granted
	// NoLoader means that no loader answers for the upstream, so that the
	// request may start when the upstream holds its adapter.
	NoLoader
	// Unusable means that the upstream cannot be used any more.
	Unusable
)

// GrantState returns whether a request that waits at an upstream may start.
func (board *Picker) GrantState(id string, number uint64) GrantState {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	if !ok || !board.usable(entry) || entry.report.Unreachable {
		return Unusable
	}
	waiting, ok := entry.asks[number]
	switch {
	case !ok:
		return Unusable
	case waiting.granted:
		return Granted
	case board.fresh(entry, time.Now()):
		return Waiting
	default:
		return NoLoader
	}
}

// WaitingRequests returns this instance's requests that wait for their turn at an
// upstream, ordered by their numbers.
func (board *Picker) WaitingRequests(id string) []admit.Request {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	if !ok || len(entry.asks) == 0 {
		return nil
	}
	now := time.Now()
	asks := make([]admit.Request, 0, len(entry.asks))
	for _, waiting := range entry.asks {
		request := waiting.Request
		request.Late = waiting.late(now)
		asks = append(asks, request)
	}
	slices.SortFunc(asks, func(a, b admit.Request) int { return cmp.Compare(a.ID, b.ID) })
	return asks
}

func decrement(counts map[lora.Adapter]int, adapter lora.Adapter) {
	if counts[adapter] <= 1 {
		delete(counts, adapter)
		return
	}
	counts[adapter]--
}

// DemandGeneration returns a number that grows with each change of what Uses and Asks
// return for an upstream.
func (board *Picker) DemandGeneration(id string) uint64 {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		return entry.stamp
	}
	return 0
}

// AdapterDemand returns this instance's demand at an upstream, in the order of the
// adapters' names.
func (board *Picker) AdapterDemand(id string) []lora.AdapterUse {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	if !ok {
		return nil
	}
	now := time.Now()
	waiting, late := maps.Clone(entry.wanted), make(map[lora.Adapter]int)
	for _, request := range entry.asks {
		if request.Adapter.Name == "" {
			continue
		}
		waiting[request.Adapter]++
		if request.late(now) {
			late[request.Adapter]++
		}
	}
	adapters := maps.Clone(entry.byAdapter)
	maps.Copy(adapters, waiting)
	uses := make([]lora.AdapterUse, 0, len(adapters))
	for adapter := range adapters {
		uses = append(uses, lora.AdapterUse{Adapter: adapter, Running: entry.byAdapter[adapter], Waiting: waiting[adapter], Late: late[adapter]})
	}
	slices.SortFunc(uses, func(a, b lora.AdapterUse) int { return compareAdapters(a.Adapter, b.Adapter) })
	return uses
}
