package policy

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/ring"
)

// maxRecentPrefixes is the number of prompt prefixes whose last upstream is
// remembered.
const maxRecentPrefixes = 4096

// Router is the Policy for upstreams that load adapters. It scores the first
// usable upstreams after the adapter on a consistent-hash ring by their load,
// loaded adapters and distance.
type Router struct {
	config Config

	mutex          sync.Mutex
	ring           *ring.Ring
	upstreams      []upstream
	popularity     *ring.Popularity
	instances      float64
	generation     uint64
	random         *rand.Rand
	recentPrefixes [maxRecentPrefixes]prefixChoice
}

// prefixChoice is the index of the upstream that was last chosen for a prompt
// prefix.
type prefixChoice struct {
	hash     uint64
	upstream uint32
}

// New returns a Router.
func New(config Config) (*Router, error) {
	if err := config.setDefaults(); err != nil {
		return nil, err
	}
	return &Router{
		config:    config,
		ring:      ring.NewRing(config.ExpectedUpstreams),
		instances: 1,
		random:    rand.New(rand.NewPCG(config.Seed, 0)),
		popularity: ring.NewPopularity(ring.PopularityConfig{
			Adapters: config.ExpectedAdapters, HalfLife: config.PopularityHalfLife, Start: config.Start,
		}),
	}, nil
}

// SetMembers implements Policy. Upstreams that stay keep their index and state.
func (router *Router) SetMembers(members []Member, instances int) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.instances = float64(max(1, instances))
	router.generation++
	for index := range members {
		router.putMember(&members[index])
	}
	for index := range router.upstreams {
		if router.upstreams[index].generation != router.generation && router.ring.Live(uint32(index)) {
			router.ring.Remove(router.ring.ID(uint32(index)))
		}
	}
}

func (router *Router) putMember(member *Member) {
	index, known := router.ring.Index(member.ID)
	if !known {
		index = router.ring.Add(member.ID)
		if int(index) == len(router.upstreams) {
			router.upstreams = append(router.upstreams, upstream{})
		}
		router.upstreams[index] = upstream{}
	}
	state := &router.upstreams[index]
	state.generation, state.half, state.listedDraining = router.generation, member.Half, member.Draining
	state.roundTrip = 0
	if member.FailureDomain != router.config.FailureDomain {
		state.roundTrip = milliseconds(router.config.DomainRoundTrip(member.FailureDomain))
	}
}

// UpdateLoad implements Policy.
func (router *Router) UpdateLoad(now time.Time, upstream string, report LoadReport) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if index, ok := router.ring.Index(upstream); ok {
		router.upstreams[index].applyReport(nanoseconds(now), &report)
		router.upstreams[index].evictionRate = router.evictionRate(now, &report)
	}
}

// nanoseconds returns a time as the upstreams' states hold it. They only measure how long ago
// something was: 0 is long ago.
func nanoseconds(at time.Time) int64 {
	return at.UnixNano() //nolint:forbidigo // See above; a step shortens or lengthens a wait once.
}

// evictionRate returns the fleet's request rate for the least popular loaded
// adapter, which a load would evict. It is 0 while a slot has no adapter.
func (router *Router) evictionRate(now time.Time, report *LoadReport) float32 {
	if len(report.LoadedAdapters) < int(report.Slots) {
		return 0
	}
	lowest := math.Inf(1)
	for _, adapter := range report.LoadedAdapters {
		lowest = min(lowest, router.popularity.Rate(now, adapter))
	}
	if math.IsInf(lowest, 1) {
		return 0
	}
	return float32(lowest * router.instances)
}

// RequestEnded implements Policy.
func (router *Router) RequestEnded(upstream string) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if index, ok := router.ring.Index(upstream); ok && router.upstreams[index].inFlight > 0 {
		router.upstreams[index].inFlight--
	}
}

// Choose implements Policy.
func (router *Router) Choose(now time.Time, request Request) (Decision, bool) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if request.RequiredUpstream != "" {
		return router.chooseRequired(now, &request)
	}
	search := router.newSearch(now, &request)
	search.walkRing()
	if search.count == 0 {
		search.scanAll()
	}
	if search.count == 0 && len(request.Avoid) > 0 {
		search.lastResort = true
		search.walkRing()
	}
	if search.count == 0 && search.lastResort {
		search.scanAll()
	}
	if search.count == 0 {
		return Decision{}, false
	}
	return router.decide(&search), true
}

// chooseRequired chooses the request's required upstream if it is usable.
func (router *Router) chooseRequired(now time.Time, request *Request) (Decision, bool) {
	index, ok := router.ring.Index(request.RequiredUpstream)
	if !ok || !router.usable(now, index, request) {
		return Decision{}, false
	}
	state := &router.upstreams[index]
	decision := Decision{Upstream: request.RequiredUpstream, Reason: Assigned, Incarnation: state.incarnation}
	score, loaded := state.score(nanoseconds(now), &router.config, request)
	decision.candidates[0], decision.candidateCount = Candidate{request.RequiredUpstream, score, loaded}, 1
	state.recordSend(nanoseconds(now), request)
	router.config.Health.TryProbe(request.RequiredUpstream)
	return decision, true
}

func (router *Router) usable(now time.Time, index uint32, request *Request) bool {
	return router.upstreams[index].usable(nanoseconds(now), request.Half) && router.config.Health.Usable(router.ring.ID(index))
}

// replicaCount counts the request and returns how many upstreams should serve
// its adapter.
func (router *Router) replicaCount(now time.Time, request *Request) int {
	if request.AdapterHash == 0 {
		return MaxCandidates
	}
	rate := router.popularity.CountRequest(now, request.AdapterHash) * router.instances
	return ring.ReplicaCount(rate, router.config.RatePerReplica, MaxCandidates)
}

// decide scores the candidates and chooses one of them.
func (router *Router) decide(search *search) Decision {
	decision := Decision{candidateCount: search.count}
	best := 0
	for rank, index := range search.candidates[:search.count] {
		decision.candidates[rank] = router.scoreCandidate(search, rank, index)
		if decision.candidates[rank].Score < decision.candidates[best].Score {
			best = rank
		}
	}
	chosen, tied := router.breakTie(search, &decision, best)
	index := search.candidates[chosen]
	decision.Upstream = decision.candidates[chosen].Upstream
	decision.Incarnation = router.upstreams[index].incarnation
	switch {
	case search.lastResort:
		decision.Reason = LastResort
	case search.firstUnusable:
		decision.Reason = RingSearch
	case tied:
		decision.Reason = TwoChoices
	}
	router.upstreams[index].recordSend(nanoseconds(search.now), &search.request)
	router.config.Health.TryProbe(decision.Upstream)
	if prefix := search.request.PrefixHash; prefix != 0 {
		router.recentPrefixes[prefix%maxRecentPrefixes] = prefixChoice{prefix, index}
	}
	return decision
}

// scoreCandidate returns the candidate that a search found at a rank, counted
// from 0, with its score.
func (router *Router) scoreCandidate(search *search, rank int, index uint32) Candidate {
	request := &search.request
	score, loaded := router.upstreams[index].score(nanoseconds(search.now), &router.config, request)
	if rank >= search.replicas {
		score += router.config.Weights.Overflow
	}
	recent := router.recentPrefixes[request.PrefixHash%maxRecentPrefixes]
	if request.PrefixHash != 0 && recent.hash == request.PrefixHash && recent.upstream == index {
		score -= router.config.Weights.SharedPrefix
	}
	return Candidate{Upstream: router.ring.ID(index), Score: score, Loaded: loaded}
}

// breakTie takes two random candidates whose scores are within the tie margin
// of the best one and returns the one with fewer requests in flight. It also
// reports whether there were several.
func (router *Router) breakTie(search *search, decision *Decision, best int) (int, bool) {
	var ties [MaxCandidates]int
	count := 0
	limit := decision.candidates[best].Score + router.config.Weights.TieMargin
	for index := range search.count {
		if decision.candidates[index].Score <= limit {
			ties[count] = index
			count++
		}
	}
	if count == 1 {
		return best, false
	}
	first := router.random.IntN(count)
	second := (first + 1 + router.random.IntN(count-1)) % count
	one, other := ties[first], ties[second]
	if router.upstreams[search.candidates[other]].inFlight < router.upstreams[search.candidates[one]].inFlight {
		return other, true
	}
	return one, true
}
