package relay

import (
	"errors"
	"net/http"

	"jacinthfront.dev/jacinthfront/internal/link/http1"
)

// stage is how far the exchange with an upstream came. What is concluded from an exchange
// that broke off follows from its stage alone.
type stage uint8

const (
	// stageUnsent means that no byte of the request was sent.
	stageUnsent stage = iota
	// stageSent means that the request was sent at least in part. It may wait in the
	// upstream's queue.
	stageSent
	// stageHead means that the upstream has begun to write the head of its answer.
	stageHead
	// stageBody means that the head was received whole.
	stageBody
	// stageEvent means that an event of a stream was received.
	stageEvent
)

// String implements fmt.Stringer.
func (stage stage) String() string {
	return [...]string{"unsent", "sent", "head", "body", "event"}[stage]
}

// begun reports whether the upstream had begun to answer.
func (stage stage) begun() bool { return stage >= stageHead }

// recordStage records how far a send came that ended without a whole response head.
func (proxyRequest *proxyRequest) recordStage(err error) {
	if http1.NotSent.Has(err) {
		proxyRequest.stage = stageUnsent
		return
	}
	proxyRequest.stage = stageSent
	var cut *http1.CutHeadError
	if errors.As(err, &cut) && proxyRequest.isAnswer(cut) {
		proxyRequest.stage, proxyRequest.begunAt = stageHead, cut.BeganAt
	}
}

// isAnswer reports whether a response head, as far as it was received, may be that of
// an answer to the request: no refusal, no failure, and no late answer to another request.
func (proxyRequest *proxyRequest) isAnswer(cut *http1.CutHeadError) bool {
	info := proxyRequest.relay.config.Protocol.ParseResponse(cut.Status, cut.Header)
	return !proxyRequest.isForeign(info) && !info.NotRun && cut.Status < http.StatusMultipleChoices
}
