package relay

import (
	"context"
	"net/http"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/telem"
	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/table"
)

const (
	// lookAgain is how often a waiting request looks without a change.
	lookAgain = 40 * time.Millisecond
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
func (flight *flight) need() picker.Request {
	need := picker.Request{
		Service:  flight.service.Name,
		Engine:   flight.service.Engine != nil,
		KVTokens: flight.call.PromptTokens + flight.call.MaxOutputTokens,
		Exclude:  flight.tried,
		Urgent:   flight.begun || flight.priority() == 0,
		Late:     flight.late(),
	}
	if !flight.begun && !need.Late {
		need.MaxWait = flight.route.Target
	}
	if need.Engine && flight.call.Adapter != "" {
		flight.adapter.Name = flight.call.Adapter
		flight.adapter.Version = flight.relay.belief.version(flight.call.Model, flight.call.Adapter)
		need.Adapter = flight.adapter
	}
	return need
}

// choose returns an upstream that can take the request now. At an engine it
// waits for its turn, and for the adapter to be brought.
func (flight *flight) choose(ctx context.Context) (picker.Choice, *refusal) {
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

func (flight *flight) found(choice picker.Choice) {
	flight.upstream, flight.load, flight.backlog = choice.Upstream.ID, choice.Load, choice.Backlog
	if choice.CopyTo.ID != "" {
		flight.relay.bringCopy(choice.CopyTo, flight)
	}
}

// bringCopy asks for an adapter at one more upstream, without a request that
// waits for it.
func (relay *Relay) bringCopy(target fleet.Upstream, flight *flight) {
	adapter := flight.adapter
	relay.metrics.count("copies-asked")
	relay.board.RequestCopy(target.ID, adapter)
	relay.kick()
	time.AfterFunc(copyTime, func() { relay.board.CancelCopy(target.ID, adapter) })
}
