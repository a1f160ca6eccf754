package order

import (
	"maps"
	"math"
	"time"
)

const (
	// shareMemory is the time in which what an organisation got loses all but
	// 1/e of its weight.
	shareMemory = 10 * time.Second
	// maxShare is the multiple of its even share above which an organisation
	// comes after the others.
	maxShare = 1.5
	// minRemembered is the number of tokens below which an organisation is
	// forgotten.
	minRemembered = 1
)

// shares holds the tokens that an engine has lately admitted.
type shares struct {
	tokens    map[uint32]float64
	total     float64
	late      float64
	decayedAt time.Time
}

func newShares() shares { return shares{tokens: make(map[uint32]float64)} }

// record adds the tokens of an admitted request.
func (shares *shares) record(request Request, class Class, now time.Time) {
	shares.decay(now)
	shares.tokens[request.Organisation] += float64(request.Tokens)
	shares.total += float64(request.Tokens)
	if class == Late {
		shares.late += float64(request.Tokens)
	}
}

// decay reduces what was recorded earlier.
func (shares *shares) decay(now time.Time) {
	factor := math.Exp(-now.Sub(shares.decayedAt).Seconds() / shareMemory.Seconds())
	shares.decayedAt = now
	shares.total *= factor
	shares.late *= factor
	for organisation := range shares.tokens {
		shares.tokens[organisation] *= factor
	}
	maps.DeleteFunc(shares.tokens, func(_ uint32, tokens float64) bool { return tokens < minRemembered })
}

// even returns the even share of each organisation that waits or was lately
// admitted.
func (shares *shares) even(waiting []Request) float64 {
	organisations := make(map[uint32]bool, len(shares.tokens))
	for organisation := range shares.tokens {
		organisations[organisation] = true
	}
	for _, request := range waiting {
		organisations[request.Organisation] = true
	}
	return shares.total / float64(max(len(organisations), 1))
}

// above reports whether an organisation has got far more than its even share.
func (shares *shares) above(organisation uint32, even float64) bool {
	return shares.tokens[organisation] > maxShare*even
}

// lateBelow reports whether late requests have got less than a part of all.
func (shares *shares) lateBelow(part float64) bool { return shares.late < part*shares.total }
