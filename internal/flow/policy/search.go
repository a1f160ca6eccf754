package policy

import (
	"slices"
	"time"
)

// maxRingPoints is the maximum number of ring points that a search visits. If it
// finds no candidate there, it scans the list of upstreams, which costs less
// than visiting every point of the ring.
const maxRingPoints = 512

// search collects the usable candidates of a request.
type search struct {
	router    *Router
	now       time.Time
	request   Request
	startHash uint64
	replicas  int
	wanted    int
	// firstUnusable says that the first upstream on the ring is not usable.
	firstUnusable bool
	// lastResort says that upstreams listed in Avoid may be candidates.
	lastResort bool
	// candidates holds the indexes of the upstreams found so far.
	candidates [MaxCandidates]uint32
	count      int
}

func (router *Router) newSearch(now time.Time, request *Request) search {
	start := request.AdapterHash
	if start == 0 {
		start = router.random.Uint64()
	}
	replicas := router.replicaCount(now, request)
	return search{
		router: router, now: now, request: *request, startHash: start,
		replicas: replicas, wanted: min(replicas+1, MaxCandidates),
	}
}

// walkRing adds the first usable upstreams on the ring, up to the wanted number.
func (search *search) walkRing() {
	ring := search.router.ring
	cursor := ring.Seek(search.startHash)
	first := true
	for range maxRingPoints {
		index, ok := cursor.Next()
		if !ok || search.count == search.wanted {
			return
		}
		if !search.router.upstreams[index].half.CompatibleWith(search.request.Half) {
			continue
		}
		added := search.add(index)
		if first {
			first, search.firstUnusable = false, !added
		}
	}
}

// scanAll adds usable upstreams from the whole list, starting at a random one.
func (search *search) scanAll() {
	ring := search.router.ring
	limit := uint32(ring.IndexLimit())
	if limit == 0 {
		return
	}
	offset := uint32(search.router.random.IntN(int(limit)))
	for step := range limit {
		index := (step + offset) % limit
		if ring.Live(index) && search.add(index) && search.count == search.wanted {
			return
		}
	}
}

// add makes the upstream a candidate if it is usable, and reports whether it is
// one.
func (search *search) add(index uint32) bool {
	if slices.Contains(search.candidates[:search.count], index) {
		return true
	}
	avoided := !search.lastResort && slices.Contains(search.request.Avoid, search.router.ring.ID(index))
	if avoided || !search.router.usable(search.now, index, &search.request) {
		return false
	}
	search.candidates[search.count] = index
	search.count++
	return true
}
