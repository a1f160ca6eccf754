package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/logs"
	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/flow/origin"
	"jacinthfront.dev/jacinthfront/internal/flow/permit"
	"jacinthfront.dev/jacinthfront/internal/link/http1"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
)

// send sends the request to an upstream and forwards the response to the caller.
func (proxyRequest *proxyRequest) send(ctx context.Context, upstream fleet.Upstream) outcome {
	relay := proxyRequest.relay
	if !proxyRequest.countRetry(ctx) {
		return outcomeUnfunded
	}
	ctx, active, done := relay.activeSends.track(ctx, upstream.ID, proxyRequest, proxyRequest.mayRepeat())
	defer done()
	proxyRequest.active = active
	proxyRequest.countLimitedSend(upstream)
	relay.picker.RecordSent(upstream.ID, proxyRequest.adapter)
	proxyRequest.sentAt, proxyRequest.eventIntervals, proxyRequest.stage = time.Now(), nil, stageUnsent
	proxyRequest.streamCounted = false
	proxyRequest.continues, proxyRequest.identified, proxyRequest.behind = proxyRequest.resumes(), false, false
	if !proxyRequest.continues {
		// No event of an earlier send was forwarded.
		proxyRequest.origin = origin.Origin{}
	}
	defer relay.picker.RecordEnded(upstream.ID, proxyRequest.adapter)
	response, info, err := proxyRequest.exchange(ctx, upstream)
	if err != nil {
		return proxyRequest.handleSendError(ctx, upstream, err)
	}
	defer func() { _ = response.Body.Close() }()
	proxyRequest.recordSent()
	proxyRequest.stage, proxyRequest.begunAt = stageBody, time.Now()
	active.begun.Store(true)
	proxyRequest.applyNotices(upstream, info)
	switch {
	case info.ID == "" && (!info.NotRun || response.Reused):
		proxyRequest.log("relay: response names no request")
		return proxyRequest.recordUnknown(upstream)
	case info.NotRun:
		return proxyRequest.handleNotRun(upstream, response)
	}
	proxyRequest.runs++
	if response.Status >= http.StatusBadRequest {
		// The request may come back: this instance or its caller repeats it.
		response.MarkRefused()
	}
	if !info.Sealed {
		return proxyRequest.recordBroken(upstream, errors.New("the response bears no seal"))
	}
	if err := proxyRequest.checkResumes(response); err != nil {
		return proxyRequest.recordBroken(upstream, err)
	}
	if response.Status >= http.StatusInternalServerError && proxyRequest.mayRunAgain() {
		return proxyRequest.keepFailure(upstream, response)
	}
	result := proxyRequest.forward(ctx, upstream, response)
	switch result {
	case outcomeAnswered:
		proxyRequest.recordCompleted()
	case outcomeUnknown:
		proxyRequest.recordBreak(ctx, upstream)
	}
	return result
}

// forward forwards the response to the caller.
func (proxyRequest *proxyRequest) forward(ctx context.Context, upstream fleet.Upstream, response *http1.Response) outcome {
	if proxyRequest.route.Streaming && response.Status == http.StatusOK {
		return proxyRequest.forwardStream(ctx, upstream, response)
	}
	return proxyRequest.forwardWhole(upstream, response)
}

// countLimitedSend counts a send to an upstream with a rate limit in force.
func (proxyRequest *proxyRequest) countLimitedSend(upstream fleet.Upstream) {
	metrics := &proxyRequest.relay.metrics
	switch {
	case proxyRequest.relay.permits.limits.Rate(incarnationOf(upstream)) == permit.Unlimited:
	case proxyRequest.headersSent:
		metrics.increment("limited-sends-resumed")
	case proxyRequest.sends > 0:
		metrics.increment("limited-sends-repeated")
	default:
		metrics.increment("limited-sends-first")
	}
}

// incarnationOf returns the incarnation of a listed upstream.
func incarnationOf(upstream fleet.Upstream) cordon.Incarnation {
	return cordon.Incarnation{ID: upstream.ID, StartedAt: upstream.StartedAt}
}

// upstreamRequest returns the request to send to an upstream.
func (proxyRequest *proxyRequest) upstreamRequest(upstream fleet.Upstream) http1.Request {
	info := ForwardInfo{
		Upstream:    upstream.ID,
		Remaining:   time.Until(proxyRequest.deadline),
		Priority:    proxyRequest.priority(),
		LastEventID: proxyRequest.lastEventID,
	}
	if proxyRequest.organisation != nil {
		info.Organisation = proxyRequest.organisation.Name
	}
	return http1.Request{
		ID:      proxyRequest.info.ID,
		Method:  proxyRequest.request.Method,
		Target:  proxyRequest.request.RequestURI,
		Host:    proxyRequest.request.Host,
		Header:  proxyRequest.relay.config.Protocol.UpstreamHeader(proxyRequest.request, info),
		Body:    proxyRequest.body.Chunks(),
		HasBody: proxyRequest.request.ContentLength != 0 || proxyRequest.request.Method == http.MethodPost,
		Confirm: proxyRequest.confirmCaller,
		OnLeave: proxyRequest.caller.OnLeave,
	}
}

// handleSendError handles a send without a response.
func (proxyRequest *proxyRequest) handleSendError(ctx context.Context, upstream fleet.Upstream, err error) outcome {
	lost := errors.Is(context.Cause(ctx), errUpstreamLost)
	proxyRequest.recordStage(err)
	if proxyRequest.stage == stageUnsent {
		if ctx.Err() == nil {
			proxyRequest.log("relay: failed to reach upstream", logs.ErrorField(err))
			proxyRequest.relay.readInstancesSoon()
			proxyRequest.relay.recordRefusedConnection(upstream, err)
			proxyRequest.recordHealth(upstream, false)
		}
		proxyRequest.recordUnsent()
		return outcomeNotSent
	}
	proxyRequest.recordSent()
	if errors.Is(context.Cause(ctx), errBlocked) {
		proxyRequest.runs++
		return outcomeUnknown
	}
	if http1.Abandoned.Has(err) {
		proxyRequest.log("relay: no response after one to another request", logs.ErrorField(err))
		return proxyRequest.recordUnknown(upstream)
	}
	if ctx.Err() == nil || lost {
		proxyRequest.log("relay: no response", logs.ErrorField(err), zap.Bool("upstream-lost", lost), zap.Stringer("stage", proxyRequest.stage),
			zap.Strings("parts", proxyRequest.info.SharedParts), proxyRequest.identityField())
		proxyRequest.recordBreak(ctx, upstream)
	}
	return proxyRequest.recordUnknown(upstream)
}

// recordUnknown records a send after which the request may have run, without a
// response of its own.
func (proxyRequest *proxyRequest) recordUnknown(upstream fleet.Upstream) outcome {
	proxyRequest.runs++
	if proxyRequest.request.Context().Err() == nil {
		proxyRequest.recordHealth(upstream, false)
	}
	return outcomeUnknown
}

// recordBroken records a response that is incomplete or invalid.
func (proxyRequest *proxyRequest) recordBroken(upstream fleet.Upstream, err error) outcome {
	proxyRequest.log("relay: response incomplete or invalid", logs.ErrorField(err),
		zap.Strings("parts", proxyRequest.info.SharedParts), zap.Duration("since-begun", time.Since(proxyRequest.begunAt)),
		proxyRequest.identityField(), zap.Stringer("stage", proxyRequest.stage))
	proxyRequest.recordHealth(upstream, false)
	return outcomeUnknown
}

// handleNotRun handles a response saying that the request did not run.
func (proxyRequest *proxyRequest) handleNotRun(upstream fleet.Upstream, response *http1.Response) outcome {
	response.MarkRefused()
	if response.Status == http.StatusMisdirectedRequest {
		proxyRequest.relay.readInstancesSoon()
		if proxyRequest.adapter.Name != "" {
			proxyRequest.relay.picker.RecordMissing(upstream.ID, proxyRequest.adapter)
		}
	}
	proxyRequest.relay.metrics.increment("turned-away-" + strconv.Itoa(response.Status))
	proxyRequest.log("relay: upstream did not run the request", zap.Int("status", response.Status),
		zap.Bool("reused", response.Reused), zap.String("address", upstream.Address))
	if !response.Unframed {
		// The rest of the body is short; reading it lets the connection be reused.
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes))
	}
	return outcomeNotRun
}

// mayRepeat reports whether the request may be sent to another upstream after the present
// send, also if it has run there.
func (proxyRequest *proxyRequest) mayRepeat() bool {
	return proxyRequest.mayRunAgain() && proxyRequest.runs+1 < proxyRequest.route.MaxAttempts
}

// mayRunAgain reports whether the route allows the request to run again.
func (proxyRequest *proxyRequest) mayRunAgain() bool {
	return proxyRequest.runs < proxyRequest.route.MaxAttempts && proxyRequest.route.Semantics == routes.Idempotent
}

// recordHealth records whether a request to an upstream succeeded.
func (proxyRequest *proxyRequest) recordHealth(upstream fleet.Upstream, succeeded bool) {
	if proxyRequest.relay.health.record(upstream.Service, upstream.ID, succeeded) {
		proxyRequest.relay.config.Logger.Info("fleet: upstream ejected", zap.String("upstream", upstream.ID))
	}
}

// copyHeaders copies the headers of a response for the caller.
func (proxyRequest *proxyRequest) copyHeaders(response *http1.Response) {
	header := proxyRequest.writer.Header()
	for name, values := range proxyRequest.relay.config.Protocol.CallerHeader(response.Header) {
		header[name] = values
	}
}

// recordDone records the metrics of an answered request and logs it.
func (proxyRequest *proxyRequest) recordDone(status int) {
	proxyRequest.relay.metrics.recordAnswered(proxyRequest.route.Name, status, time.Since(proxyRequest.started))
	if proxyRequest.sends == 1 {
		proxyRequest.relay.latencies.recordTotal(proxyRequest.route.Name, time.Since(proxyRequest.sentAt))
	}
	proxyRequest.log(MessageAnswered, zap.Int("status", status))
}
