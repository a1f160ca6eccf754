package relay

import (
	"context"
	"net/http"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/telem"
	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/steer"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/table"
)

const (
	// placePart is the part of the response-time goal that a request waits for
	// a place at an upstream before it is refused.
	placePart = 8
	// refusalTime is how long before a caller gives up a refusal is sent.
	refusalTime = 100 * time.Millisecond
	// lookAgain is how often a waiting request looks without a change.
	lookAgain = 40 * time.Millisecond
	// stayTime is how long a request waits at an upstream before it looks for a
	// better one.
	stayTime = 250 * time.Millisecond
	// copyTime is how long a second copy of an adapter is asked for.
	copyTime = 600 * time.Millisecond
)

// outcome says how a send ended.
type outcome uint8

const (
	// answered means that the caller has its answer.
	answered outcome = iota
	// notRun means that the upstream said that it did not run the request.
	notRun
	// unreached means that nothing was sent.
	unreached
	// unknown means that the request may have run, without a usable answer.
	unknown
	// failed means that the upstream ran the request and failed.
	failed
)

// run sends the request to upstreams until one answers or nothing may be tried
// any more.
func (flight *flight) run(ctx context.Context) {
	flight.learn()
	for {
		choice, refused := flight.choose(ctx)
		if refused != nil {
			flight.giveUp(ctx, refused)
			return
		}
		result := flight.send(ctx, choice.Upstream)
		if result == answered {
			return
		}
		if ctx.Err() != nil {
			flight.giveUp(ctx, nil)
			return
		}
		flight.tried = append(flight.tried, choice.Upstream.ID)
		if again, refused := flight.again(result); !again {
			flight.giveUp(ctx, refused)
			return
		}
	}
}

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

// again decides whether the request may be sent to another upstream.
func (flight *flight) again(result outcome) (bool, *refusal) {
	refused := &refusal{http.StatusServiceUnavailable, "no upstream took the request", comeBackFull}
	if result == unreached {
		return true, nil
	}
	if result != notRun {
		if flight.route.Repeat != table.Idempotent || flight.runs >= flight.route.Attempts {
			return false, refused
		}
	}
	if !flight.relay.budget.allow(flight.service.Name) {
		flight.relay.metrics.count("retry-budget-empty")
		return false, refused
	}
	return true, nil
}

// giveUp ends a request that was not answered.
func (flight *flight) giveUp(ctx context.Context, refused *refusal) {
	flight.giveBack()
	switch {
	case flight.request.Context().Err() != nil:
		flight.relay.metrics.count("caller-left")
		flight.log("relay: caller left")
		panic(http.ErrAbortHandler)
	case flight.begun:
		flight.relay.metrics.count("stream-cut")
		flight.log("relay: answer cut", telem.Error(ctx.Err()))
		panic(http.ErrAbortHandler)
	case flight.failure != nil:
		flight.deliver(flight.failure, flight.failureText)
		return
	case ctx.Err() != nil && flight.runs == 0:
		refused = &refusal{http.StatusServiceUnavailable, "the time ran out before an upstream took the request", comeBackFull}
	case ctx.Err() != nil:
		refused = &refusal{http.StatusGatewayTimeout, "the time ran out; the request may have run", 0}
	case flight.runs > 0:
		refused = &refusal{http.StatusBadGateway, "the upstream broke off; the request may have run", 0}
	}
	flight.refuse(*refused)
}

// need returns what the request asks of an upstream now. The newest version of
// the adapter counts, also if it was announced while the request waited.
func (flight *flight) need() steer.Need {
	need := steer.Need{
		Service: flight.service.Name,
		Engine:  flight.service.Engine != nil,
		Tokens:  flight.call.Prompt + flight.call.Output,
		Exclude: flight.tried,
		Urgent:  flight.begun || flight.priority() == 0,
		Late:    flight.late(),
	}
	if !flight.begun && !need.Late {
		need.Limit = flight.route.Target
	}
	if need.Engine && flight.call.Adapter != "" {
		flight.adapter.Name = flight.call.Adapter
		flight.adapter.Version = flight.relay.belief.version(flight.call.Model, flight.call.Adapter)
		need.Adapter = flight.adapter
	}
	return need
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

// choose returns an upstream that can take the request now. At an engine it
// waits for its turn, and for the adapter to be brought.
func (flight *flight) choose(ctx context.Context) (steer.Choice, *refusal) {
	began := time.Now()
	place := &place{flight: flight, number: flight.relay.asks.Add(1)}
	defer func() {
		place.leave()
		flight.waited += time.Since(began)
	}()
	for {
		changed := flight.relay.changed.next()
		choice := place.choose()
		flight.noteWait(choice)
		if turn, ok := place.start(choice); ok {
			flight.found(choice)
			flight.ask = turn
			return choice, nil
		}
		if refused := flight.impatient(ctx, choice, time.Since(began)); refused != nil {
			return choice, refused
		}
		timer := time.NewTimer(lookAgain)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// noteWait adds the time since the last look to what it was waited for.
func (flight *flight) noteWait(choice steer.Choice) {
	now := time.Now()
	if !flight.lookedAt.IsZero() && choice.Result == steer.Absent {
		flight.waitedAdapter += now.Sub(flight.lookedAt)
	}
	flight.lookedAt = now
}

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

// impatient returns the refusal of a request that has waited long enough.
func (flight *flight) impatient(ctx context.Context, choice steer.Choice, waited time.Duration) *refusal {
	if ctx.Err() != nil {
		return &refusal{http.StatusServiceUnavailable, "the time ran out before an upstream took the request", comeBackFull}
	}
	switch {
	case choice.Result == steer.None && choice.Rest > flight.restLimit():
		// Another instance may be served sooner.
		return &refusal{http.StatusServiceUnavailable, "the upstreams take nothing for a time", min(choice.Rest, longestComeBack)}
	case flight.begun:
		// The caller has a part of the answer and cannot come back for the rest
		// sooner than it can go on.
		return nil
	case choice.Result == steer.None && waited > flight.route.Target/placePart:
		return &refusal{http.StatusServiceUnavailable, "no upstream is ready", comeBackFull}
	case flight.service.Engine == nil && choice.Result == steer.Full && waited > flight.route.Target/placePart:
		return &refusal{http.StatusServiceUnavailable, "all upstreams are full", comeBackFull}
	case flight.service.Engine != nil && flight.left() <= 0:
		return inVain(choice)
	}
	return nil
}

// inVain returns the refusal of a request that waits in vain.
func inVain(choice steer.Choice) *refusal {
	switch choice.Result {
	case steer.Starting:
		return &refusal{http.StatusServiceUnavailable, "the engines are still loading their model", comeBackStarting}
	case steer.Absent:
		return &refusal{http.StatusServiceUnavailable, "the adapter could not be loaded in time", comeBackFull}
	case steer.Found:
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

func (flight *flight) found(choice steer.Choice) {
	flight.upstream, flight.load, flight.backlog = choice.Upstream.ID, choice.Load, choice.Backlog
	if choice.Copy.ID != "" {
		flight.relay.bringCopy(choice.Copy, flight)
	}
}

// bringCopy asks for an adapter at one more upstream, without a request that
// waits for it.
func (relay *Relay) bringCopy(target fleet.Upstream, flight *flight) {
	adapter := flight.adapter
	relay.metrics.count("copies-asked")
	relay.board.Want(target.ID, adapter)
	relay.kick()
	time.AfterFunc(copyTime, func() { relay.board.Unwant(target.ID, adapter) })
}
