package relay

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/steer"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/table"
)

const (
	// placePart is the part of the response-time goal that a request waits for
	// a place at an upstream before it is refused.
	placePart = 8
	// adapterGoals is how many response-time goals a request waits for its
	// adapter.
	adapterGoals = 2
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
		flight.log("relay: answer cut", zap.Error(ctx.Err()))
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
		Urgent:  flight.priority() == 0,
	}
	if need.Engine && flight.call.Adapter != "" {
		flight.adapter.Name = flight.call.Adapter
		flight.adapter.Version = flight.relay.belief.version(flight.call.Model, flight.call.Adapter)
		need.Adapter = flight.adapter
	}
	return need
}

// choose returns an upstream that can take the request now. It waits for the
// adapter to be brought, and a little for a place.
func (flight *flight) choose(ctx context.Context) (steer.Choice, *refusal) {
	began := time.Now()
	defer func() { flight.waited += time.Since(began) }()
	board := flight.relay.board
	waitingAt, waitingFor := "", flight.adapter
	defer func() {
		if waitingAt != "" {
			board.Waited(waitingAt, waitingFor)
		}
	}()
	for {
		changed := flight.relay.changed.next()
		choice := board.Choose(flight.need())
		if choice.Result == steer.Found {
			flight.found(choice)
			return choice, nil
		}
		target := choice.Upstream.ID
		if target != waitingAt || flight.adapter != waitingFor {
			if waitingAt != "" {
				board.Waited(waitingAt, waitingFor)
			}
			waitingAt, waitingFor = target, flight.adapter
			if target != "" {
				board.Wait(target, flight.adapter)
				flight.relay.kick()
			}
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

// impatient returns the refusal of a request that has waited long enough.
func (flight *flight) impatient(ctx context.Context, choice steer.Choice, waited time.Duration) *refusal {
	if ctx.Err() != nil {
		return &refusal{http.StatusServiceUnavailable, "the time ran out before an upstream took the request", comeBackFull}
	}
	switch {
	case choice.Result == steer.Absent && waited > adapterGoals*flight.route.Target:
		return &refusal{http.StatusServiceUnavailable, "the adapter could not be loaded in time", comeBackFull}
	case choice.Result == steer.Full && waited > flight.route.Target/placePart:
		return &refusal{http.StatusServiceUnavailable, "all upstreams are full", comeBackFull}
	case choice.Result == steer.None && waited > flight.route.Target/placePart:
		return &refusal{http.StatusServiceUnavailable, "no upstream is ready", comeBackFull}
	}
	return nil
}

func (flight *flight) found(choice steer.Choice) {
	flight.upstream, flight.load = choice.Upstream.ID, choice.Load
	if choice.Copy.ID != "" {
		flight.relay.bringCopy(choice.Copy, flight)
	}
}

// bringCopy asks for an adapter at one more upstream, without a request that
// waits for it.
func (relay *Relay) bringCopy(target fleet.Upstream, flight *flight) {
	adapter := flight.adapter
	relay.metrics.count("copies-asked")
	relay.board.Wait(target.ID, adapter)
	relay.kick()
	time.AfterFunc(copyTime, func() { relay.board.Waited(target.ID, adapter) })
}
