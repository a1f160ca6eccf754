package bucket

import (
	"math"
	"time"
)

// fraction returns the fraction of an organisation's rate that this instance
// may count on. It is 1 while the other instances are heard, since what they
// spend is taken off the local bucket. For a silent instance the fraction that
// it spent before is reserved, so that both sides of a network partition
// together stay within the rate and each can go on as before.
func (limiter *Limiter) fraction(organisation string, limit Limit) float64 {
	now := time.Now()
	for _, peer := range limiter.peers {
		if !peer.silent && now.Sub(peer.heardAt) > limiter.config.PeerTimeout {
			peer.silent = true
			peer.reserved = make(map[string]float64)
		}
	}
	fraction := 1.0
	for _, peer := range limiter.peers {
		if !peer.silent {
			continue
		}
		reserved, ok := peer.reserved[organisation]
		if !ok {
			reserved = limiter.peerFraction(peer, organisation, limit)
			peer.reserved[organisation] = reserved
		}
		fraction -= reserved
	}
	return max(fraction, minFraction)
}

// peerFraction returns a peer's fraction of an organisation's recent spending,
// up to when the peer was last heard. Where little was spent, all instances
// count alike.
func (limiter *Limiter) peerFraction(peer *peer, organisation string, limit Limit) float64 {
	even := limit.Rate * evenFraction / float64(1+len(limiter.peers))
	sum := even
	if bucket, ok := limiter.buckets[organisation]; ok {
		sum += bucket.rate.at(peer.heardAt)
	}
	for _, other := range limiter.peers {
		sum += even + other.spendingRate(organisation).at(peer.heardAt)
	}
	return (even + peer.spendingRate(organisation).at(peer.heardAt)) / sum
}

// spendingRate returns the peer's average for an organisation, which it creates
// if there is none.
func (peer *peer) spendingRate(organisation string) *spendingRate {
	found, ok := peer.rates[organisation]
	if !ok {
		found = &spendingRate{}
		peer.rates[organisation] = found
	}
	return found
}

// spendingRate is an exponentially weighted moving average of what is spent, in
// units per second.
type spendingRate struct {
	value     float64
	updatedAt time.Time
}

// add records that units are spent now.
func (rate *spendingRate) add(units float64) {
	now := time.Now()
	rate.value = rate.at(now) + units/averagingTime.Seconds()
	rate.updatedAt = now
}

// at returns the average, decayed to the given time.
func (rate *spendingRate) at(now time.Time) float64 {
	elapsed := max(now.Sub(rate.updatedAt), 0)
	return rate.value * math.Exp(-elapsed.Seconds()/averagingTime.Seconds())
}
