package bucket

import (
	"maps"
	"math/rand/v2"
)

// Examination says what TakeRequest would return now.
type Examination struct {
	Status Status
	// Denial is zero if the request would be let through.
	Denial   Denial
	Admitted bool
}

// Examine returns what TakeRequest would return for a request now. It decides on a copy, and
// spends and records nothing.
func (limiter *Limiter) Examine(organisation string, limit Limit, request Request) Examination {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	copied := limiter.copyFor(organisation)
	examination := Examination{Status: copied.Status(organisation, limit)}
	examination.Denial, examination.Admitted = copied.TakeRequest(organisation, limit, request)
	return examination
}

// copyFor returns a Limiter with copies of what concerns one organisation.
func (limiter *Limiter) copyFor(organisation string) *Limiter {
	copied := &Limiter{
		config: limiter.config, start: limiter.start, fillStart: limiter.fillStart, instances: limiter.instances,
		initialised: limiter.initialised, adopted: limiter.adopted, cappedSince: limiter.cappedSince, creditAt: limiter.creditAt,
		recalled: limiter.recalled, buckets: make(map[string]*bucket), peers: make(map[string]*peer, len(limiter.peers)),
		refused: newRecentSet(), random: rand.New(rand.NewPCG(0, 0)),
	}
	if known, ok := limiter.buckets[organisation]; ok {
		copied.buckets[organisation] = known.copy()
	}
	for name, known := range limiter.peers {
		copied.peers[name] = known.copyFor(organisation)
	}
	return copied
}

func (bucket *bucket) copy() *bucket {
	copied := *bucket
	copied.classes = maps.Clone(bucket.classes)
	for class, use := range copied.classes {
		copiedUse := *use
		copiedUse.sizes = maps.Clone(use.sizes)
		for exponent, size := range copiedUse.sizes {
			copiedSize := *size
			copiedUse.sizes[exponent] = &copiedSize
		}
		copied.classes[class] = &copiedUse
	}
	return &copied
}

// copyFor returns a peer with copies of what concerns one organisation.
func (peer *peer) copyFor(organisation string) *peer {
	copied := *peer
	copied.rates, copied.classRates = make(map[string]*spendingRate), make(map[string]map[Class]*spendingRate)
	copied.reserved = make(map[string]float64)
	if rate, ok := peer.rates[organisation]; ok {
		copied.rates[organisation] = rate
	}
	if rates, ok := peer.classRates[organisation]; ok {
		copied.classRates[organisation] = rates
	}
	if reserved, ok := peer.reserved[organisation]; ok {
		copied.reserved[organisation] = reserved
	}
	return &copied
}
