package relay

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/bucket"
)

// spend takes the request's cost off the organisation's share.
func (flight *flight) spend() *refusal {
	if flight.organisation == nil {
		return nil
	}
	flight.awaitStart(flight.relay.ledger.Initialised)
	// Where the bucket is about to hold enough, coming back would take longer
	// than waiting.
	until := time.Now().Add(flight.route.Target / placePart)
	wait, ok := flight.relay.ledger.Take(flight.organisation.Name, flight.limit(), flight.cost())
	for !ok && time.Now().Add(wait).Before(until) && flight.request.Context().Err() == nil {
		flight.pause(wait)
		wait, ok = flight.relay.ledger.Take(flight.organisation.Name, flight.limit(), flight.cost())
	}
	if ok {
		return nil
	}
	flight.logShare()
	return &refusal{http.StatusTooManyRequests, "the organisation's rate is used up", min(wait, longestComeBack)}
}

// logShare writes why the organisation's share did not suffice.
func (flight *flight) logShare() {
	limit := flight.limit()
	standing := flight.relay.ledger.Status(flight.organisation.Name, limit)
	flight.log("relay: share used up", zap.Float64("rate", limit.Rate), zap.Float64("burst", limit.Burst),
		zap.Float64("level", standing.Level), zap.Float64("part", standing.Fraction), zap.Int("instances-silent", standing.SilentPeers))
}

func (flight *flight) limit() bucket.Limit {
	return bucket.Limit{Rate: flight.organisation.Rate, Burst: flight.organisation.Burst}
}

func (flight *flight) cost() float64 {
	if !flight.call.HasTokenCounts {
		return flight.organisation.Cost(0)
	}
	return flight.organisation.Cost(flight.call.PromptTokens + flight.call.MaxOutputTokens)
}

// giveBack returns what the request took, if it did not run.
func (flight *flight) giveBack() {
	if flight.organisation != nil && flight.organisation.Rate > 0 && flight.runs == 0 {
		flight.relay.ledger.Refund(flight.organisation.Name, flight.cost())
	}
}
