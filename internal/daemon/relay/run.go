package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/logs"
	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
)

const (
	// recheckInterval is how often a waiting request is checked again if nothing changes.
	recheckInterval = 40 * time.Millisecond
	// pendingRecheckInterval is how often a request is checked again that waits for the
	// answer to an ask for a permit.
	pendingRecheckInterval = 16 * time.Millisecond
	// copyRequestTime is how long a second copy of an adapter is requested.
	copyRequestTime = 600 * time.Millisecond
)

// outcome is the result of a send.
type outcome uint8

const (
	// outcomeAnswered means that the caller has its response.
	outcomeAnswered outcome = iota
	// outcomeNotRun means that the upstream said that it did not run the request.
	outcomeNotRun
	// outcomeNotSent means that nothing was sent.
	outcomeNotSent
	// outcomeUnfunded means that nothing was sent, as the retry budget is empty.
	outcomeUnfunded
	// outcomeUnknown means that the request may have run, without a usable response.
	outcomeUnknown
	// outcomeFailed means that the upstream ran the request and failed.
	outcomeFailed
)

// run sends the request to upstreams until one answers or no further attempt is
// allowed.
func (proxyRequest *proxyRequest) run(ctx context.Context) {
	proxyRequest.setTypicalLatencies()
	defer proxyRequest.releaseRetry()
	if refused := proxyRequest.takeUp(ctx); refused != nil {
		proxyRequest.giveUp(ctx, refused)
		return
	}
	if refused := proxyRequest.backlogRefusal(); refused != nil {
		proxyRequest.giveUp(ctx, refused)
		return
	}
	for {
		choice, refused := proxyRequest.awaitUpstream(ctx)
		if refused != nil {
			proxyRequest.giveUp(ctx, refused)
			return
		}
		result := proxyRequest.send(ctx, choice.Upstream)
		if result == outcomeAnswered {
			return
		}
		if ctx.Err() != nil {
			proxyRequest.giveUp(ctx, nil)
			return
		}
		proxyRequest.tried = append(proxyRequest.tried, choice.Upstream.ID)
		if retry, refused := proxyRequest.mayRetry(ctx, result); !retry {
			proxyRequest.giveUp(ctx, refused)
			return
		}
		proxyRequest.prepareResume(ctx)
	}
}

// mayRetry decides whether the request may be sent to another upstream. If not, it
// returns the refusal.
func (proxyRequest *proxyRequest) mayRetry(ctx context.Context, result outcome) (bool, *refusal) {
	refused := &refusal{http.StatusServiceUnavailable, "no upstream took the request", retryAfterFull}
	if proxyRequest.passedOn {
		return false, refused
	}
	switch result {
	case outcomeNotSent:
		return true, nil
	case outcomeUnfunded:
		return false, refused
	}
	if result != outcomeNotRun {
		if proxyRequest.route.Semantics != routes.Idempotent || proxyRequest.runs >= proxyRequest.route.MaxAttempts {
			return false, refused
		}
	}
	if !proxyRequest.takeRetry(ctx) {
		return false, refused
	}
	return true, nil
}

// giveUp ends a request that was not answered: it forwards a failure kept by
// keepFailure, refuses the request, or panics with http.ErrAbortHandler.
func (proxyRequest *proxyRequest) giveUp(ctx context.Context, refused *refusal) {
	proxyRequest.refund()
	switch {
	case proxyRequest.stalled.Load():
		proxyRequest.log("relay: response ended for its caller")
		panic(http.ErrAbortHandler)
	case proxyRequest.request.Context().Err() != nil:
		proxyRequest.abandon()
	case proxyRequest.headersSent:
		proxyRequest.relay.metrics.increment("stream-cut")
		proxyRequest.log("relay: response aborted", logs.ErrorField(ctx.Err()))
		panic(http.ErrAbortHandler)
	case proxyRequest.failure != nil:
		proxyRequest.writeResponse(proxyRequest.failure, proxyRequest.failureBody)
		return
	case errors.Is(context.Cause(ctx), errStopping) && proxyRequest.runs == 0:
		refused = &refusal{http.StatusServiceUnavailable, "the instance stops", retryAfterStopping}
	case errors.Is(context.Cause(ctx), errStopping):
		refused = &refusal{http.StatusBadGateway, "the instance stops; the request may have run", 0}
	case ctx.Err() != nil && proxyRequest.runs == 0:
		refused = &refusal{http.StatusServiceUnavailable, "the time ran out before an upstream took the request", retryAfterFull}
	case ctx.Err() != nil:
		refused = &refusal{http.StatusGatewayTimeout, "the time ran out; the request may have run", 0}
	case proxyRequest.runs > 0:
		refused = &refusal{http.StatusBadGateway, "the upstream broke off; the request may have run", 0}
	}
	proxyRequest.refuse(*refused)
}

// requirements returns what the request requires of an upstream at present. It takes the
// newest version of the adapter, even if that was announced while the request
// waited.
func (proxyRequest *proxyRequest) requirements() picker.Request {
	requirements := picker.Request{
		Service:      proxyRequest.service.Name,
		Engine:       proxyRequest.service.Engine != nil,
		PromptTokens: proxyRequest.info.PromptTokens,
		ResponseGoal: proxyRequest.route.ResponseGoal,
		EventGapGoal: proxyRequest.route.EventGapGoal,
		KVTokens:     proxyRequest.info.PromptTokens + proxyRequest.info.MaxOutputTokens,
		Exclude:      proxyRequest.tried,
		Urgent:       proxyRequest.resumes() || proxyRequest.priority() == 0,
		Late:         proxyRequest.late(),
		Priority:     proxyRequest.admissionPriority(),

		Resumed:         proxyRequest.resumes(),
		SoftwareVersion: proxyRequest.origin.Version,
	}
	if !requirements.Resumed && !requirements.Late {
		requirements.MaxWait = proxyRequest.route.ResponseGoal
	}
	if requirements.Engine && proxyRequest.info.Adapter != "" {
		proxyRequest.adapter.Name = proxyRequest.info.Adapter
		proxyRequest.adapter.Version = proxyRequest.relay.store.adapterVersion(proxyRequest.info.Model, proxyRequest.info.Adapter)
		requirements.Adapter = proxyRequest.adapter
	}
	return requirements
}

// awaitUpstream returns an upstream that can take the request now. At an engine, it
// waits for admission and for the adapter to be loaded.
func (proxyRequest *proxyRequest) awaitUpstream(ctx context.Context) (picker.Choice, *refusal) {
	began := time.Now()
	waitingRequest := &waitingRequest{proxyRequest: proxyRequest, number: proxyRequest.relay.requestNumbers.Add(1)}
	defer func() {
		waitingRequest.withdraw()
		proxyRequest.leavePermitQueue(waitingRequest.number)
		waitingRequest.forgetPermits()
		proxyRequest.waited += time.Since(began)
	}()
	if proxyRequest.headersSent {
		proxyRequest.joinPermitQueue(waitingRequest.number)
	}
	for {
		proxyRequest.relay.callers.CheckDue()
		changed := proxyRequest.relay.stateChanged.next()
		if refused := proxyRequest.stopRefusal(); refused != nil {
			return picker.Choice{}, refused
		}
		if refused := proxyRequest.poisonRefusal(); refused != nil {
			return picker.Choice{}, refused
		}
		if refused := proxyRequest.resumeRefusal(); refused != nil {
			return picker.Choice{}, refused
		}
		if proxyRequest.resumes() {
			proxyRequest.relay.askSilentEngines(proxyRequest.requirements())
		}
		choice := waitingRequest.choose()
		proxyRequest.recordWait(choice)
		if grant, ok := waitingRequest.admitted(choice); ok && proxyRequest.maySend(ctx) {
			if !proxyRequest.relay.permits.take(choice.Upstream, grant != 0) {
				// Another request has used the permit since the choice.
				continue
			}
			if !proxyRequest.relay.health.admits(choice.Upstream) {
				// The upstream was ejected since the choice, or another request probes it.
				waitingRequest.leave()
				continue
			}
			proxyRequest.recordChoice(choice)
			proxyRequest.grant = grant
			return choice, nil
		}
		if refused := proxyRequest.waitRefusal(ctx, choice, time.Since(began)); refused != nil {
			return choice, proxyRequest.relay.countRefused(refused)
		}
		recheck := recheckInterval
		switch choice.Result {
		case picker.RateLimited:
			proxyRequest.joinPermitQueue(waitingRequest.number)
			waitingRequest.askPermits()
		case picker.PermitPending:
			recheck = pendingRecheckInterval
			waitingRequest.askPermits()
		}
		awaitChange(ctx, changed, recheck)
	}
}

// recordChoice records the chosen upstream, and requests a second copy of the
// adapter if the choice names an upstream for it.
func (proxyRequest *proxyRequest) recordChoice(choice picker.Choice) {
	proxyRequest.upstream, proxyRequest.load, proxyRequest.backlog = choice.Upstream.ID, choice.Load, choice.Backlog
	proxyRequest.workFactor = proxyRequest.relay.picker.WorkFactor(choice.Upstream.ID)
	proxyRequest.orderClass = proxyRequest.presentClass()
	if choice.CopyTo.ID != "" {
		proxyRequest.relay.requestCopy(choice.CopyTo, proxyRequest)
	}
}

// requestCopy requests an adapter at one more upstream, without a request that waits
// for it there.
func (relay *Relay) requestCopy(target fleet.Upstream, proxyRequest *proxyRequest) {
	adapter := proxyRequest.adapter
	relay.metrics.increment("copies-asked")
	relay.picker.RequestCopy(target.ID, adapter)
	relay.reportSoon()
	time.AfterFunc(copyRequestTime, func() { relay.picker.CancelCopy(target.ID, adapter) })
}
