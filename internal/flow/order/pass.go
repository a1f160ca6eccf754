package order

import (
	"cmp"
	"container/heap"
	"math"
	"time"
)

// passing decides which requests on time are passed over. It is a heap.Interface whose
// first element is the request to be passed over next.
type passing struct {
	requests []Request
	places   []Place
	capacity Capacity
	// heap holds the indices in places of the requests that were added, except those
	// that cheapest returned. Those that are Late are no longer kept.
	heap []int
	// kept is the number of requests that can all be in time, and ahead the sum of
	// their tokens.
	kept  int
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
			passing.pass(passed)
			places[passed].at = ranker.sortTime(requests[places[passed].Index], places[passed], now)
		}
	}
}

// add keeps one more request, the last one in the order so far.
func (passing *passing) add(index int) {
	heap.Push(passing, index)
	passing.kept++
	passing.ahead += passing.request(index).Tokens
}

func (passing *passing) request(index int) *Request {
	return &passing.requests[passing.places[index].Index]
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
	if excess <= 0 || passing.kept == 1 {
		return false
	}
	return time.Duration(float64(excess)/passing.capacity.Rate*float64(time.Millisecond)) > slack
}

// pass puts a request among the late ones and keeps it no longer.
func (passing *passing) pass(index int) {
	passing.places[index].Class = Late
	passing.kept--
	passing.ahead -= passing.request(index).Tokens
}

// cheapest returns the request whose delay costs least: one of the least urgent
// ones, of an organisation above its share if there is one, the last that arrived.
// Its size does not matter, since large requests would starve.
func (passing *passing) cheapest() int {
	for {
		index, _ := heap.Pop(passing).(int)
		if passing.places[index].Class == OnTime {
			return index
		}
	}
}

// Len implements heap.Interface.
func (passing *passing) Len() int { return len(passing.heap) }

// Less implements heap.Interface.
func (passing *passing) Less(i, j int) bool {
	a, b := passing.heap[i], passing.heap[j]
	return cmp.Or(passing.compareUrgency(b, a), passing.request(b).ArrivedAt.Compare(passing.request(a).ArrivedAt), cmp.Compare(a, b)) < 0
}

// Swap implements heap.Interface.
func (passing *passing) Swap(i, j int) {
	passing.heap[i], passing.heap[j] = passing.heap[j], passing.heap[i]
}

// Push implements heap.Interface.
func (passing *passing) Push(index any) {
	added, _ := index.(int)
	passing.heap = append(passing.heap, added)
}

// Pop implements heap.Interface.
func (passing *passing) Pop() any {
	last := len(passing.heap) - 1
	index := passing.heap[last]
	passing.heap = passing.heap[:last]
	return index
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
