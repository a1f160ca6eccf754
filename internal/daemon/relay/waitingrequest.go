package relay

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/picker"
)

// reselectInterval is how long a request waits at an upstream before it may choose
// another one.
const reselectInterval = 250 * time.Millisecond

// waitingRequest is a request that waits for admission at an upstream.
type waitingRequest struct {
	proxyRequest *proxyRequest
	number       uint64
	choice       picker.Choice
	chosenAt     time.Time
	requirements picker.Request
	// wantsPermit means that the request may want permits of upstreams.
	wantsPermit bool
}

// choose returns the upstream to wait for. It keeps the previous choice for
// reselectInterval, so that the request can be admitted there.
func (waitingRequest *waitingRequest) choose() picker.Choice {
	proxyRequest := waitingRequest.proxyRequest
	requirements := proxyRequest.requirements()
	kept := waitingRequest.choice.Upstream.ID != "" && requirements.Adapter == waitingRequest.requirements.Adapter && time.Since(waitingRequest.chosenAt) < reselectInterval
	if kept && proxyRequest.relay.picker.GrantState(waitingRequest.choice.Upstream.ID, waitingRequest.number) != picker.Unusable {
		return waitingRequest.choice
	}
	requirements.WaitingAt, requirements.Number = waitingRequest.choice.Upstream.ID, waitingRequest.number
	choice := proxyRequest.relay.picker.Choose(requirements)
	if !requirements.Engine || choice.Upstream.ID == "" || choice.Result == picker.PermitPending {
		return choice
	}
	waitingRequest.moveTo(choice, requirements)
	return choice
}

// admissionPriority returns the priority with which the request waits for
// admission. An interrupted stream comes first.
func (proxyRequest *proxyRequest) admissionPriority() int {
	if proxyRequest.resumes() {
		return 0
	}
	return proxyRequest.priority()
}

// moveTo makes the request wait at the chosen upstream, unless it waits there
// already.
func (waitingRequest *waitingRequest) moveTo(choice picker.Choice, requirements picker.Request) {
	moved := choice.Upstream.ID != waitingRequest.choice.Upstream.ID || requirements.Adapter != waitingRequest.requirements.Adapter
	if moved {
		waitingRequest.proxyRequest.moves++
		waitingRequest.withdraw()
		waitingRequest.proxyRequest.relay.picker.AddWaiting(choice.Upstream.ID, admit.Request{
			ID: waitingRequest.number, Adapter: requirements.Adapter, Priority: waitingRequest.proxyRequest.admissionPriority(),
			PromptTokens: waitingRequest.proxyRequest.info.PromptTokens, OutputTokens: waitingRequest.proxyRequest.info.MaxOutputTokens,
			Waited: time.Since(waitingRequest.proxyRequest.started), Bound: requirements.Resumed,
			Organisation: waitingRequest.proxyRequest.organisationHash(), RoutePriority: waitingRequest.proxyRequest.routePriority(),
			StartBy: waitingRequest.proxyRequest.startBy(), GiveUpBy: time.Now().Add(waitingRequest.proxyRequest.remainingWait()),
		}, waitingRequest.proxyRequest.latestSend())
		waitingRequest.proxyRequest.relay.reportSoon()
	}
	waitingRequest.choice, waitingRequest.requirements, waitingRequest.chosenAt = choice, requirements, time.Now()
}

// askPermits makes the instance ask for the permits that the request wants.
func (waitingRequest *waitingRequest) askPermits() {
	waitingRequest.wantsPermit = true
	waitingRequest.proxyRequest.relay.reportSoon()
}

// forgetPermits ends what the request wants.
func (waitingRequest *waitingRequest) forgetPermits() {
	if waitingRequest.wantsPermit {
		waitingRequest.proxyRequest.relay.permits.client.Forget(waitingRequest.number)
	}
}

// withdraw ends the wait at the present upstream.
func (waitingRequest *waitingRequest) withdraw() {
	if waitingRequest.choice.Upstream.ID != "" {
		waitingRequest.proxyRequest.relay.picker.RemoveWaiting(waitingRequest.choice.Upstream.ID, waitingRequest.number)
	}
}

// leave ends the wait at the present upstream, so that another one is chosen.
func (waitingRequest *waitingRequest) leave() {
	waitingRequest.withdraw()
	waitingRequest.choice = picker.Choice{}
}

// admitted reports whether the request may be sent to the chosen upstream, and the
// number of its grant, 0 if none is needed.
func (waitingRequest *waitingRequest) admitted(choice picker.Choice) (grant uint64, ok bool) {
	if choice.Upstream.ID == "" {
		return 0, false
	}
	if !waitingRequest.requirements.Engine {
		return 0, choice.Result == picker.Found
	}
	switch waitingRequest.proxyRequest.relay.picker.GrantState(choice.Upstream.ID, waitingRequest.number) {
	case picker.Granted:
		return waitingRequest.number, true
	case picker.NoLoader:
		return 0, choice.Result == picker.Found
	default:
		return 0, false
	}
}
