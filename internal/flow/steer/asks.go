package steer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/stock"
)

// ask is a request that waits for its turn at an upstream.
type ask struct {
	admit.Ask
	placed time.Time
	// goal is when the request misses its response-time goal, or zero.
	goal    time.Time
	granted bool
}

// late reports whether the request misses its goal.
func (ask *ask) late(now time.Time) bool { return !ask.goal.IsZero() && !now.Before(ask.goal) }

// Granted records which of this instance's requests may start at an upstream.
func (board *Board) Granted(id string, asks []uint64) {
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

// Want asks for a copy of an adapter at an upstream, without a request that
// waits for it, until Unwant.
func (board *Board) Want(id string, adapter stock.Adapter) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		entry.wanted[adapter]++
		entry.stamp++
	}
}

// Unwant ends what Want began.
func (board *Board) Unwant(id string, adapter stock.Adapter) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		decrement(entry.wanted, adapter)
		entry.stamp++
	}
}

// Place records that a request waits for its turn at an upstream. It is late
// from the time goal on, unless that is zero.
func (board *Board) Place(id string, request admit.Ask, goal time.Time) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		entry.asks[request.ID] = &ask{Ask: request, placed: time.Now(), goal: goal}
		entry.stamp++
	}
}

// Withdraw ends what Place began.
func (board *Board) Withdraw(id string, number uint64) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		delete(entry.asks, number)
		entry.stamp++
	}
}

// Turn says whether a request that waits at an upstream may start.
type Turn uint8

const (
	// Waiting means that its turn has not come.
	Waiting Turn = iota
	// Come means that it may start.
	Come
	// Unruled means that no loader answers for the upstream, so that the
	// request may start when the upstream holds its adapter.
	Unruled
	// Lost means that the upstream cannot be used any more.
	Lost
)

// Turn returns whether a request that waits at an upstream may start.
func (board *Board) Turn(id string, number uint64) Turn {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	if !ok || !board.usable(entry) || entry.report.Unreachable {
		return Lost
	}
	waiting, ok := entry.asks[number]
	switch {
	case !ok:
		return Lost
	case waiting.granted:
		return Come
	case board.fresh(entry, time.Now()):
		return Waiting
	default:
		return Unruled
	}
}

// Asks returns this instance's requests that wait for their turn at an
// upstream, ordered by their numbers.
func (board *Board) Asks(id string) []admit.Ask {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	if !ok || len(entry.asks) == 0 {
		return nil
	}
	now := time.Now()
	asks := make([]admit.Ask, 0, len(entry.asks))
	for _, waiting := range entry.asks {
		request := waiting.Ask
		request.Late = waiting.late(now)
		asks = append(asks, request)
	}
	slices.SortFunc(asks, func(a, b admit.Ask) int { return cmp.Compare(a.ID, b.ID) })
	return asks
}

func decrement(counts map[stock.Adapter]int, adapter stock.Adapter) {
	if counts[adapter] <= 1 {
		delete(counts, adapter)
		return
	}
	counts[adapter]--
}

// Stamp returns a number that grows with each change of what Uses and Asks
// return for an upstream.
func (board *Board) Stamp(id string) uint64 {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		return entry.stamp
	}
	return 0
}

// Uses returns this instance's demand at an upstream, in the order of the
// adapters' names.
func (board *Board) Uses(id string) []stock.Use {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	if !ok {
		return nil
	}
	now := time.Now()
	waiting, late := maps.Clone(entry.wanted), make(map[stock.Adapter]int)
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
	uses := make([]stock.Use, 0, len(adapters))
	for adapter := range adapters {
		uses = append(uses, stock.Use{Adapter: adapter, Running: entry.byAdapter[adapter], Waiting: waiting[adapter], Late: late[adapter]})
	}
	slices.SortFunc(uses, func(a, b stock.Use) int { return compareAdapters(a.Adapter, b.Adapter) })
	return uses
}
