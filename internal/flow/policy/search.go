package policy

import (
	"slices"
	"time"
)

// searchPoints bounds the points looked at on the ring; beyond them all
// upstreams are looked at in turn, which costs less than a whole round.
const searchPoints = 512

// search collects the usable candidates of a request.
type search struct {
	router   *Router
	now      time.Time
	request  Request
	start    uint64
	replicas int
	want     int
	// homeless says that the first upstream on the ring is not usable.
	homeless   bool
	lastResort bool
	slots      [MaxCandidates]uint32
	count      int
}

func (router *Router) search(now time.Time, request *Request) search {
	start := request.AdapterHash
	if start == 0 {
		start = router.random.Uint64()
	}
	replicas := router.replicas(now, request)
	return search{
		router: router, now: now, request: *request, start: start,
		replicas: replicas, want: min(replicas+1, MaxCandidates),
	}
}

// walk takes the first usable upstreams on the ring.
func (search *search) walk() {
	ring := search.router.ring
	cursor := ring.Seek(search.start)
	first := true
	for range searchPoints {
		slot, ok := cursor.Next()
		if !ok || search.count == search.want {
			return
		}
		if !search.router.upstreams[slot].half.Shares(search.request.Half) {
			continue
		}
		took := search.take(slot)
		if first {
			first, search.homeless = false, !took
		}
	}
}

// scan looks at all upstreams, from a random one on.
func (search *search) scan() {
	ring := search.router.ring
	slots := uint32(ring.IndexLimit())
	if slots == 0 {
		return
	}
	offset := uint32(search.router.random.IntN(int(slots)))
	for index := range slots {
		slot := (index + offset) % slots
		if ring.Live(slot) && search.take(slot) && search.count == search.want {
			return
		}
	}
}

// take adds a usable upstream to the candidates.
func (search *search) take(slot uint32) bool {
	if slices.Contains(search.slots[:search.count], slot) {
		return true
	}
	avoided := !search.lastResort && slices.Contains(search.request.Avoid, search.router.ring.ID(slot))
	if avoided || !search.router.usable(search.now, slot, &search.request) {
		return false
	}
	search.slots[search.count] = slot
	search.count++
	return true
}
