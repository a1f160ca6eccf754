package policy

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/ring"
)

// prefixes is the number of prompt prefixes remembered.
const prefixes = 4096

// Router is the Policy that takes adapters' places, load and distance into
// account.
type Router struct {
	config Config

	mutex      sync.Mutex
	ring       *ring.Ring
	upstreams  []upstream
	popularity *ring.Popularity
	instances  float64
	generation uint64
	random     *rand.Rand
	prefixes   [prefixes]prefixMark
}

// prefixMark remembers where a prompt prefix went last.
type prefixMark struct {
	prefix uint64
	slot   uint32
}

// New returns a Router.
func New(config Config) (*Router, error) {
	if err := config.complete(); err != nil {
		return nil, err
	}
	return &Router{
		config:    config,
		ring:      ring.NewRing(config.Upstreams),
		instances: 1,
		random:    rand.New(rand.NewPCG(config.Seed, 0)),
		popularity: ring.NewPopularity(ring.PopularityConfig{
			Adapters: config.Adapters, HalfLife: config.HalfLife, Start: config.Start,
		}),
	}, nil
}

// SetMembers implements Policy. Upstreams that stay keep their place and what
// is known of them.
func (router *Router) SetMembers(members []Member, instances int) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.instances = float64(max(1, instances))
	router.generation++
	for index := range members {
		router.put(&members[index])
	}
	for slot := range router.upstreams {
		if router.upstreams[slot].seen != router.generation && router.ring.Live(uint32(slot)) {
			router.ring.Remove(router.ring.ID(uint32(slot)))
		}
	}
}

func (router *Router) put(member *Member) {
	slot, known := router.ring.Index(member.ID)
	if !known {
		slot = router.ring.Add(member.ID)
		if int(slot) == len(router.upstreams) {
			router.upstreams = append(router.upstreams, upstream{})
		}
		router.upstreams[slot] = upstream{}
	}
	state := &router.upstreams[slot]
	state.seen, state.half, state.leaving = router.generation, member.Half, member.Leaving
	state.distance = 0
	if member.FailureDomain != router.config.FailureDomain {
		state.distance = milliseconds(router.config.Distance(member.FailureDomain))
	}
}

// UpdateLoad implements Policy.
func (router *Router) UpdateLoad(now time.Time, upstream string, load LoadReport) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if slot, ok := router.ring.Index(upstream); ok {
		router.upstreams[slot].report(now.UnixNano(), &load)
		router.upstreams[slot].least = router.least(now, &load)
	}
}

// least returns the rate of the least popular adapter that a load would evict.
func (router *Router) least(now time.Time, load *LoadReport) float32 {
	if len(load.LoadedAdapters) < int(load.Slots) {
		return 0
	}
	least := math.Inf(1)
	for _, adapter := range load.LoadedAdapters {
		least = min(least, router.popularity.Rate(now, adapter))
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return float32(least * router.instances)
}

// RequestEnded implements Policy.
func (router *Router) RequestEnded(upstream string) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if slot, ok := router.ring.Index(upstream); ok && router.upstreams[slot].inFlight > 0 {
		router.upstreams[slot].inFlight--
	}
}

// Choose implements Policy.
func (router *Router) Choose(now time.Time, request Request) (Decision, bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if request.RequiredUpstream != "" {
		return router.assign(now, &request)
	}
	search := router.search(now, &request)
	search.walk()
	if search.count == 0 {
		search.scan()
	}
	if search.count == 0 && len(request.Avoid) > 0 {
		search.lastResort = true
		search.walk()
	}
	if search.count == 0 && search.lastResort {
		search.scan()
	}
	if search.count == 0 {
		return Decision{}, false
	}
	return router.decide(&search), true
}

// assign returns the one upstream that the request allows.
func (router *Router) assign(now time.Time, request *Request) (Decision, bool) {
	slot, ok := router.ring.Index(request.RequiredUpstream)
	if !ok || !router.usable(now, slot, request) {
		return Decision{}, false
	}
	state := &router.upstreams[slot]
	decision := Decision{Upstream: request.RequiredUpstream, Reason: Assigned, Incarnation: state.incarnation}
	score, loaded := state.score(now.UnixNano(), &router.config, request)
	decision.alternatives[0], decision.count = Candidate{request.RequiredUpstream, score, loaded}, 1
	state.send(now.UnixNano(), request)
	router.config.Health.TryProbe(request.RequiredUpstream)
	return decision, true
}

func (router *Router) usable(now time.Time, slot uint32, request *Request) bool {
	return router.upstreams[slot].usable(now.UnixNano(), request.Half) && router.config.Health.Usable(router.ring.ID(slot))
}

// replicas returns how many upstreams should serve the request's adapter.
func (router *Router) replicas(now time.Time, request *Request) int {
	if request.AdapterHash == 0 {
		return MaxCandidates
	}
	rate := router.popularity.CountRequest(now, request.AdapterHash) * router.instances
	return ring.ReplicaCount(rate, router.config.ReplicaRate, MaxCandidates)
}

// decide scores the candidates and chooses one of them.
func (router *Router) decide(search *search) Decision {
	decision := Decision{count: search.count}
	best := 0
	for index, slot := range search.slots[:search.count] {
		decision.alternatives[index] = router.rate(search, index, slot)
		if decision.alternatives[index].Score < decision.alternatives[best].Score {
			best = index
		}
	}
	chosen, several := router.choose(search, &decision, best)
	slot := search.slots[chosen]
	decision.Upstream = decision.alternatives[chosen].Upstream
	decision.Incarnation = router.upstreams[slot].incarnation
	switch {
	case search.lastResort:
		decision.Reason = LastResort
	case search.homeless:
		decision.Reason = RingSearch
	case several:
		decision.Reason = TwoChoices
	}
	router.upstreams[slot].send(search.now.UnixNano(), &search.request)
	router.config.Health.TryProbe(decision.Upstream)
	if prefix := search.request.PrefixHash; prefix != 0 {
		router.prefixes[prefix%prefixes] = prefixMark{prefix, slot}
	}
	return decision
}

// rate returns a candidate with its score.
func (router *Router) rate(search *search, index int, slot uint32) Candidate {
	request := &search.request
	score, loaded := router.upstreams[slot].score(search.now.UnixNano(), &router.config, request)
	if index >= search.replicas {
		score += router.config.Weights.Overflow
	}
	mark := router.prefixes[request.PrefixHash%prefixes]
	if request.PrefixHash != 0 && mark.prefix == request.PrefixHash && mark.slot == slot {
		score -= router.config.Weights.Prefix
	}
	return Candidate{Upstream: router.ring.ID(slot), Score: score, Loaded: loaded}
}

// choose takes two candidates at random among those whose scores equal the
// best, and of these the one with less in flight.
func (router *Router) choose(search *search, decision *Decision, best int) (int, bool) {
	var equals [MaxCandidates]int
	count := 0
	limit := decision.alternatives[best].Score + router.config.Weights.Equal
	for index := range search.count {
		if decision.alternatives[index].Score <= limit {
			equals[count] = index
			count++
		}
	}
	if count == 1 {
		return best, false
	}
	first := router.random.IntN(count)
	second := (first + 1 + router.random.IntN(count-1)) % count
	one, other := equals[first], equals[second]
	if router.upstreams[search.slots[other]].inFlight < router.upstreams[search.slots[one]].inFlight {
		return other, true
	}
	return one, true
}
