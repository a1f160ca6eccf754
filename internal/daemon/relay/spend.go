package relay

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/share"
)

// spend takes the request's cost off the organisation's share.
func (flight *flight) spend() *refusal {
	if flight.organisation == nil {
		return nil
	}
	flight.awaitStart(flight.relay.ledger.Settled)
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
	standing := flight.relay.ledger.Standing(flight.organisation.Name, limit)
	flight.log("relay: share used up", zap.Float64("rate", limit.Rate), zap.Float64("burst", limit.Burst),
		zap.Float64("level", standing.Level), zap.Float64("part", standing.Part), zap.Int("instances-silent", standing.Silent))
}

func (flight *flight) limit() share.Limit {
	return share.Limit{Rate: flight.organisation.Rate, Burst: flight.organisation.Burst}
}

func (flight *flight) cost() float64 {
	if !flight.call.Counted {
		return flight.organisation.Cost(0)
	}
	return flight.organisation.Cost(flight.call.Prompt + flight.call.Output)
}

// giveBack returns what the request took, if it did not run.
func (flight *flight) giveBack() {
	if flight.organisation != nil && flight.organisation.Rate > 0 && flight.runs == 0 {
		flight.relay.ledger.Return(flight.organisation.Name, flight.cost())
	}
}
