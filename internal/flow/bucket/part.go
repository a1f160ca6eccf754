package bucket

import (
	"math"
	"time"
)

// part returns the part of an organisation's rate that this instance may count
// on: all of it while it hears the others, since what they spend is taken off.
// A silent instance keeps the part that it spent before, so that both sides of a
// partition together stay within the rate and each can go on as it did.
func (ledger *Limiter) part(organisation string, limit Limit) float64 {
	now := time.Now()
	for _, peer := range ledger.peers {
		if !peer.silent && now.Sub(peer.heard) > ledger.config.Silence {
			peer.silent = true
			peer.kept = make(map[string]float64)
		}
	}
	part := 1.0
	for _, peer := range ledger.peers {
		if !peer.silent {
			continue
		}
		kept, ok := peer.kept[organisation]
		if !ok {
			kept = ledger.proportion(peer, organisation, limit)
			peer.kept[organisation] = kept
		}
		part -= kept
	}
	return max(part, leastPart)
}

// proportion returns the part of an organisation's recent spending that was an
// instance's. Where little was spent, all count alike.
func (ledger *Limiter) proportion(peer *peer, organisation string, limit Limit) float64 {
	base := limit.Rate * evenPart / float64(1+len(ledger.peers))
	sum := base
	if bucket, ok := ledger.buckets[organisation]; ok {
		sum += bucket.pace.at(peer.heard)
	}
	for _, other := range ledger.peers {
		sum += base + other.pace(organisation).at(peer.heard)
	}
	return (base + peer.pace(organisation).at(peer.heard)) / sum
}

func (peer *peer) pace(organisation string) *pace {
	found, ok := peer.paces[organisation]
	if !ok {
		found = &pace{}
		peer.paces[organisation] = found
	}
	return found
}

// pace is an exponentially weighted average of units per second.
type pace struct {
	value float64
	since time.Time
}

func (pace *pace) add(units float64) {
	now := time.Now()
	pace.value = pace.at(now) + units/paceTime.Seconds()
	pace.since = now
}

// at returns the average at a time.
func (pace *pace) at(now time.Time) float64 {
	elapsed := max(now.Sub(pace.since), 0)
	return pace.value * math.Exp(-elapsed.Seconds()/paceTime.Seconds())
}
