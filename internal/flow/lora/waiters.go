package lora

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/order"
)

const (
	// oldestAfter is how long an adapter must have been waited for until it comes
	// first in its turn, so that the adapters of few or less urgent requests do not
	// starve.
	oldestAfter = 3 * time.Second
	// oldestTurn is how many loads there are for each such turn.
	oldestTurn = 4
)

// waiters sums up the requests that wait for one adapter.
type waiters struct {
	bound  int
	onTime int
	late   int
	// count is the number of requests, whose weights onTime and late sum up.
	count int
}

// plus adds the requests of one entry instance. Those without a weight count as
// much as the most urgent ones.
func (waiters waiters) plus(use AdapterUse) waiters {
	onTime, late := (use.Waiting-use.Late)*order.MaxWeight, use.Late*order.MaxWeight
	if use.Weight+use.LateWeight > 0 {
		onTime, late = use.Weight, use.LateWeight
	}
	waiters.bound += use.Bound
	waiters.count += use.Waiting
	waiters.onTime += onTime
	waiters.late += late
	return waiters
}

// nextLoad returns the adapter to load next: the one with the most bound
// requests, as others can go to more engines, then the one whose waiting
// requests that can still meet their response-time goal weigh most, then the one
// whose late requests do, then the one that has been waited for longest. Where
// priorities differ, that one is first in its turn.
func (planner *Planner) nextLoad() (Adapter, bool) {
	missing := planner.missing()
	if len(missing) == 0 {
		return Adapter{}, false
	}
	adapters := slices.Collect(maps.Keys(missing))
	if oldest, ok := planner.oldestInTurn(missing); ok {
		return oldest, true
	}
	return slices.MinFunc(adapters, func(a, b Adapter) int {
		return cmp.Or(
			cmp.Compare(missing[b].bound, missing[a].bound),
			cmp.Compare(missing[b].onTime, missing[a].onTime),
			cmp.Compare(missing[b].late, missing[a].late),
			planner.compareWaits(a, b),
		)
	}), true
}

// compareWaits orders adapters by how long they have been waited for.
func (planner *Planner) compareWaits(a, b Adapter) int {
	return cmp.Or(
		planner.waitingSince[a].Compare(planner.waitingSince[b]),
		cmp.Compare(a.Name, b.Name),
		cmp.Compare(b.Version, a.Version),
	)
}

// oldestInTurn returns the adapter that has been waited for longest if its turn
// has come and no bound request waits.
func (planner *Planner) oldestInTurn(missing map[Adapter]waiters) (Adapter, bool) {
	oldest, ok := planner.oldest(missing)
	if !ok || planner.loadsSinceOldest < oldestTurn-1 {
		return Adapter{}, false
	}
	uneven := false
	for _, waiters := range missing {
		if waiters.bound > 0 {
			return Adapter{}, false
		}
		uneven = uneven || !waiters.weighLike(missing[oldest])
	}
	return oldest, uneven
}

// oldest returns the adapter that has been waited for longest, if that is for longer
// than oldestAfter.
func (planner *Planner) oldest(missing map[Adapter]waiters) (Adapter, bool) {
	old := slices.DeleteFunc(slices.Collect(maps.Keys(missing)), func(adapter Adapter) bool { return !planner.waitedLong(adapter) })
	if len(old) == 0 {
		return Adapter{}, false
	}
	return slices.MinFunc(old, planner.compareWaits), true
}

// weighLike reports whether a request weighs as much as one of the others on
// average.
func (waiters waiters) weighLike(others waiters) bool {
	return (waiters.onTime+waiters.late)*others.count == (others.onTime+others.late)*waiters.count
}

// waitedLong reports whether an adapter has been waited for longer than
// oldestAfter.
func (planner *Planner) waitedLong(adapter Adapter) bool {
	since, ok := planner.waitingSince[adapter]
	return ok && time.Since(since) >= oldestAfter
}

// countLoad counts an ordered load. One of an adapter that has been waited for long is a
// turn of the oldest only if none has been waited for longer.
func (planner *Planner) countLoad(adapter Adapter) {
	planner.loadsSinceOldest++
	oldest, ok := planner.oldest(planner.missing())
	if planner.waitedLong(adapter) && (!ok || planner.compareWaits(adapter, oldest) <= 0) {
		planner.loadsSinceOldest = 0
	}
}
