package relay

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/picker"
)

// stayTime is how long a request waits at an upstream before it looks for a
// better one.
const stayTime = 250 * time.Millisecond

// place is where a request waits for its turn.
type place struct {
	flight *flight
	number uint64
	choice picker.Choice
	taken  time.Time
	need   picker.Request
}

// choose returns the upstream to wait for. The one where the request waits
// already stays for a while, so that its turn can come.
func (place *place) choose() picker.Choice {
	flight := place.flight
	need := flight.need()
	kept := place.choice.Upstream.ID != "" && need.Adapter == place.need.Adapter && time.Since(place.taken) < stayTime
	if kept && flight.relay.board.GrantState(place.choice.Upstream.ID, place.number) != picker.Unusable {
		return place.choice
	}
	need.WaitingAt = place.choice.Upstream.ID
	choice := flight.relay.board.Choose(need)
	if !need.Engine || choice.Upstream.ID == "" {
		return choice
	}
	place.take(choice, need)
	return choice
}

// rank returns the rank of the request's turn. A stream that broke goes on
// first.
func (flight *flight) rank() int {
	if flight.begun {
		return 0
	}
	return flight.priority()
}

// take moves the request to an upstream, unless it waits there already.
func (place *place) take(choice picker.Choice, need picker.Request) {
	moved := choice.Upstream.ID != place.choice.Upstream.ID || need.Adapter != place.need.Adapter
	if moved {
		place.flight.moves++
		place.leave()
		place.flight.relay.board.AddWaiting(choice.Upstream.ID, admit.Request{
			ID: place.number, Adapter: need.Adapter, Priority: place.flight.rank(),
			PromptTokens: place.flight.call.PromptTokens, OutputTokens: place.flight.call.MaxOutputTokens,
			Waited: time.Since(place.flight.started),
		}, place.flight.goal())
		place.flight.relay.kick()
	}
	place.choice, place.need, place.taken = choice, need, time.Now()
}

// leave ends the waiting.
func (place *place) leave() {
	if place.choice.Upstream.ID != "" {
		place.flight.relay.board.RemoveWaiting(place.choice.Upstream.ID, place.number)
	}
}

// start reports whether the request may be sent to the chosen upstream, and the
// number of the turn that has come, 0 if none is needed.
func (place *place) start(choice picker.Choice) (turn uint64, ok bool) {
	if choice.Upstream.ID == "" {
		return 0, false
	}
	if !place.need.Engine {
		return 0, choice.Result == picker.Found
	}
	switch place.flight.relay.board.GrantState(choice.Upstream.ID, place.number) {
	case picker.Granted:
		return place.number, true
	case picker.NoLoader:
		return 0, choice.Result == picker.Found
	default:
		return 0, false
	}
}
