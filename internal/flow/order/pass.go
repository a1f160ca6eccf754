package order

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// passing decides which requests on time are passed over.
type passing struct {
	requests []Request
	places   []Place
	capacity Capacity
	// kept holds the indices in places of the requests that can all be in time,
	// and ahead is the sum of their tokens.
	kept  []int
	ahead int64
}

// passOver puts requests on time among the late ones as far as not all can be in
// time, the least urgent ones first. Without that, all would wait until the last
// moment, and many be late.
func (ranker *Ranker) passOver(requests []Request, places []Place, capacity Capacity, now time.Time) {
	if capacity.Rate <= 0 {
		return
	}
	passing := passing{requests: requests, places: places, capacity: capacity}
	for i, place := range places {
		if place.Class != OnTime {
			continue
		}
		passing.add(i)
		for slack := requests[place.Index].slack(now); places[i].Class == OnTime && passing.misses(i, slack-ranker.config.Margin); {
			passed := i
			if slack > ranker.config.Margin {
				passed = passing.cheapest()
			}
			passing.remove(passed)
			places[passed].Class = Late
			places[passed].at = ranker.sortTime(requests[places[passed].Index], places[passed], now)
		}
	}
}

// add keeps one more request, the last one in the order so far.
func (passing *passing) add(index int) {
	passing.kept = append(passing.kept, index)
	passing.ahead += passing.request(index).Tokens
}

func (passing *passing) request(index int) Request {
	return passing.requests[passing.places[index].Index]
}

// slack returns the time until the request must start. One without a goal, or due
// at its arrival, as a stream that goes on, is never passed over for its own goal.
func (request Request) slack(now time.Time) time.Duration {
	if !request.StartBy.After(request.ArrivedAt) {
		return math.MaxInt64
	}
	return request.StartBy.Sub(now)
}

// misses reports whether the request added last starts too late behind the
// others. One that need not wait for the engine does not. Its own size does not
// count, so that large requests are not passed over more often.
func (passing *passing) misses(index int, slack time.Duration) bool {
	excess := passing.ahead - passing.request(index).Tokens - passing.capacity.Free
	if excess <= 0 || len(passing.kept) == 1 {
		return false
	}
	return time.Duration(float64(excess)/passing.capacity.Rate*float64(time.Millisecond)) > slack
}

// remove keeps a request no longer.
func (passing *passing) remove(index int) {
	passing.kept = slices.DeleteFunc(passing.kept, func(kept int) bool { return kept == index })
	passing.ahead -= passing.request(index).Tokens
}

// cheapest returns the request whose delay costs least: one of the least urgent
// ones, of an organisation above its share if there is one, the last that arrived.
// Its size does not matter, since large requests would starve.
func (passing *passing) cheapest() int {
	return slices.MaxFunc(passing.kept, func(a, b int) int {
		return cmp.Or(passing.compareUrgency(a, b), passing.request(a).ArrivedAt.Compare(passing.request(b).ArrivedAt))
	})
}

// compareUrgency orders requests by priority and by their organisations' shares.
func (passing *passing) compareUrgency(a, b int) int {
	return cmp.Or(
		cmp.Compare(passing.request(a).level(), passing.request(b).level()),
		compareBool(passing.places[a].aboveShare, passing.places[b].aboveShare),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
