package bucket

import (
	"math"
	"time"
)

const (
	// countTime is the time constant of the counts of requests by size.
	countTime = 10 * time.Second
	// fairShare is the least ratio between how often requests of a larger and of a smaller
	// size are served. Below it the smaller ones wait for the level that the larger ones
	// need. It exceeds the half that is promised, as the counts lag.
	fairShare = 0.75
	// minAsked is the least count with which a size delays smaller ones.
	minAsked = 0.1
)

// sizeUse counts the requests of a class whose costs lie between two powers of two.
type sizeUse struct {
	asked  recentCount
	served recentCount
}

// share returns the fraction of the requests that were served.
func (size *sizeUse) share(now time.Time) float64 {
	asked := size.asked.at(now)
	if asked <= 0 {
		return 0
	}
	return size.served.at(now) / asked
}

// sizeOf returns the exponent of the least power of two above a cost.
func sizeOf(cost float64) int {
	_, exponent := math.Frexp(cost)
	return exponent
}

// size returns the counts for a cost, which it creates if there are none.
func (use *classUse) size(cost float64) *sizeUse {
	found, ok := use.sizes[sizeOf(cost)]
	if !ok {
		found = &sizeUse{}
		use.sizes[sizeOf(cost)] = found
	}
	return found
}

// heldCost returns a cost, or the greater cost of larger requests if these are served
// too rarely compared with those of this size.
func (use *classUse) heldCost(cost float64) float64 {
	now, held, own := time.Now(), cost, use.size(cost).share(time.Now())
	for exponent, size := range use.sizes {
		if exponent > sizeOf(cost) && size.asked.at(now) >= minAsked && size.share(now) < own*fairShare {
			held = math.Max(held, math.Ldexp(1, exponent))
		}
	}
	return held
}

// recentCount is a count in which older events weigh less.
type recentCount struct {
	value     float64
	updatedAt time.Time
}

func (count *recentCount) add(events float64) {
	now := time.Now()
	count.value, count.updatedAt = count.at(now)+events, now
}

// at returns the count, decayed to the given time.
func (count *recentCount) at(now time.Time) float64 {
	return count.value * math.Exp(-max(now.Sub(count.updatedAt), 0).Seconds()/countTime.Seconds())
}
