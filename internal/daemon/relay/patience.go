package relay

import (
	"context"
	"net/http"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/picker"
)

const (
	// placePart is the part of the response-time goal that a request waits for
	// a place at an upstream before it is refused.
	placePart = 8
	// refusalTime is how long before a caller gives up a refusal is sent.
	refusalTime = 100 * time.Millisecond
)

// learn takes over how long requests of the route usually take, as far as that
// leaves half of the caller's time: one that comes is tried at least, so that
// times which were long once do not stand for ever.
func (flight *flight) learn() {
	first, whole := flight.relay.spans.usual(flight.route.Name)
	patience := flight.until.Sub(flight.started)
	flight.usualFirst = min(first, patience/2)
	if flight.route.Silence > 0 {
		flight.usualFirst = min(flight.usualFirst, flight.route.Silence/2)
	}
	flight.usualWhole = min(whole, patience/2)
}

// goal returns when the request misses its response-time goal if it was not sent
// before, or zero if it has none. A stream that broke goes on first.
func (flight *flight) goal() time.Time {
	if flight.begun || flight.route.Target <= 0 {
		return time.Time{}
	}
	return flight.started.Add(flight.route.Target - min(flight.usualFirst, flight.route.Target/2))
}

// late reports whether the request misses its response-time goal.
func (flight *flight) late() bool {
	goal := flight.goal()
	return !goal.IsZero() && !time.Now().Before(goal)
}

// left returns how long the request may still wait and be answered in its
// caller's time.
func (flight *flight) left() time.Duration {
	left := time.Until(flight.until) - flight.usualWhole
	if flight.route.Stream && flight.route.Silence > 0 {
		left = min(left, time.Until(flight.started.Add(flight.route.Silence))-flight.usualFirst-refusalTime)
	}
	return left
}

// noteWait adds the time since the last look to what it was waited for.
func (flight *flight) noteWait(choice picker.Choice) {
	now := time.Now()
	if !flight.lookedAt.IsZero() && choice.Result == picker.AdapterMissing {
		flight.waitedAdapter += now.Sub(flight.lookedAt)
	}
	flight.lookedAt = now
}

// impatient returns the refusal of a request that has waited long enough.
func (flight *flight) impatient(ctx context.Context, choice picker.Choice, waited time.Duration) *refusal {
	if ctx.Err() != nil {
		return &refusal{http.StatusServiceUnavailable, "the time ran out before an upstream took the request", comeBackFull}
	}
	switch {
	case choice.Result == picker.NoUpstream && choice.RetryAfter > flight.restLimit():
		// Another instance may be served sooner.
		return &refusal{http.StatusServiceUnavailable, "the upstreams take nothing for a time", min(choice.RetryAfter, longestComeBack)}
	case flight.begun:
		// The caller has a part of the answer and cannot come back for the rest
		// sooner than it can go on.
		return nil
	case choice.Result == picker.NoUpstream && waited > flight.route.Target/placePart:
		return &refusal{http.StatusServiceUnavailable, "no upstream is ready", comeBackFull}
	case flight.service.Engine == nil && choice.Result == picker.Full && waited > flight.route.Target/placePart:
		return &refusal{http.StatusServiceUnavailable, "all upstreams are full", comeBackFull}
	case flight.service.Engine != nil && flight.left() <= 0:
		return inVain(choice)
	}
	return nil
}

// inVain returns the refusal of a request that waits in vain.
func inVain(choice picker.Choice) *refusal {
	switch choice.Result {
	case picker.Starting:
		return &refusal{http.StatusServiceUnavailable, "the engines are still loading their model", comeBackStarting}
	case picker.AdapterMissing:
		return &refusal{http.StatusServiceUnavailable, "the adapter could not be loaded in time", comeBackFull}
	case picker.Found:
		return &refusal{http.StatusServiceUnavailable, "the turn could not come in time", comeBackFull}
	default:
		return &refusal{http.StatusServiceUnavailable, "all upstreams are full", comeBackFull}
	}
}

// restLimit returns how long the request may wait for an upstream that rests.
func (flight *flight) restLimit() time.Duration {
	if flight.begun {
		return time.Until(flight.until)
	}
	return flight.route.Target / placePart
}
