package relay

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/steer"
)

// stayTime is how long a request waits at an upstream before it looks for a
// better one.
const stayTime = 250 * time.Millisecond

// place is where a request waits for its turn.
type place struct {
	flight *flight
	number uint64
	choice steer.Choice
	taken  time.Time
	need   steer.Need
}

// choose returns the upstream to wait for. The one where the request waits
// already stays for a while, so that its turn can come.
func (place *place) choose() steer.Choice {
	flight := place.flight
	need := flight.need()
	kept := place.choice.Upstream.ID != "" && need.Adapter == place.need.Adapter && time.Since(place.taken) < stayTime
	if kept && flight.relay.board.Turn(place.choice.Upstream.ID, place.number) != steer.Lost {
		return place.choice
	}
	need.At = place.choice.Upstream.ID
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
func (place *place) take(choice steer.Choice, need steer.Need) {
	moved := choice.Upstream.ID != place.choice.Upstream.ID || need.Adapter != place.need.Adapter
	if moved {
		place.flight.moves++
		place.leave()
		place.flight.relay.board.Place(choice.Upstream.ID, admit.Ask{
			ID: place.number, Adapter: need.Adapter, Priority: place.flight.rank(),
			Prompt: place.flight.call.Prompt, Output: place.flight.call.Output,
			Waited: time.Since(place.flight.started),
		}, place.flight.goal())
		place.flight.relay.kick()
	}
	place.choice, place.need, place.taken = choice, need, time.Now()
}

// leave ends the waiting.
func (place *place) leave() {
	if place.choice.Upstream.ID != "" {
		place.flight.relay.board.Withdraw(place.choice.Upstream.ID, place.number)
	}
}

// start reports whether the request may be sent to the chosen upstream, and the
// number of the turn that has come, 0 if none is needed.
func (place *place) start(choice steer.Choice) (turn uint64, ok bool) {
	if choice.Upstream.ID == "" {
		return 0, false
	}
	if !place.need.Engine {
		return 0, choice.Result == steer.Found
	}
	switch place.flight.relay.board.Turn(choice.Upstream.ID, place.number) {
	case steer.Come:
		return place.number, true
	case steer.Unruled:
		return 0, choice.Result == steer.Found
	default:
		return 0, false
	}
}
