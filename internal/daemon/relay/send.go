package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/telem"
	"jacinthfront.dev/jacinthfront/internal/link/hop"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/table"
)

var errLargeAnswer = errors.New("the answer is too large")

// send passes the request to an upstream and its answer to the caller.
func (flight *flight) send(ctx context.Context, upstream fleet.Upstream) outcome {
	relay := flight.relay
	if flight.sends == 0 {
		relay.budget.request(flight.service.Name)
	}
	if flight.mayRepeat() && flight.runs+1 < flight.route.Attempts {
		watched, done := relay.sends.watch(ctx, upstream.ID, flight)
		defer done()
		ctx = watched
	}
	relay.board.RecordSent(upstream.ID, flight.adapter)
	flight.sentAt, flight.pauses = time.Now(), nil
	defer relay.board.RecordEnded(upstream.ID, flight.adapter)
	response, err := relay.config.Pool.Do(ctx, upstream.Address, flight.outgoing(upstream))
	if err != nil {
		return flight.unanswered(ctx, upstream, err)
	}
	defer func() { _ = response.Body.Close() }()
	flight.sends++
	answer := relay.config.Protocol.ParseResponse(response.Status, response.Header)
	flight.heed(upstream, answer)
	if answer.Load >= 0 {
		relay.board.RecordLoad(upstream.ID, answer.Load)
	}
	switch {
	case answer.ID != "" && answer.ID != flight.call.ID, answer.ID == "" && !answer.NotRun:
		flight.log("relay: answer belongs to another request", zap.String("answer", answer.ID))
		return flight.mayHaveRun(upstream)
	case answer.NotRun:
		return flight.turnedAway(upstream, response)
	}
	flight.runs++
	if !answer.Sealed {
		return flight.broken(upstream, errors.New("the answer bears no seal"))
	}
	if flight.begun && response.Status != http.StatusOK {
		return flight.broken(upstream, fmt.Errorf("the stream cannot go on: the upstream answered %d", response.Status))
	}
	if response.Status >= http.StatusInternalServerError && flight.mayRepeat() {
		return flight.keep(upstream, response)
	}
	if flight.route.Stream && response.Status == http.StatusOK {
		return flight.stream(upstream, response)
	}
	return flight.whole(upstream, response)
}

func (flight *flight) outgoing(upstream fleet.Upstream) hop.Request {
	send := ForwardInfo{
		Upstream:    upstream.ID,
		Remaining:   time.Until(flight.until),
		Priority:    flight.priority(),
		LastEventID: flight.lastEvent,
	}
	if flight.organisation != nil {
		send.Organisation = flight.organisation.Name
	}
	return hop.Request{
		Method:  flight.request.Method,
		Target:  flight.request.RequestURI,
		Host:    flight.request.Host,
		Header:  flight.relay.config.Protocol.UpstreamHeader(flight.request, send),
		Body:    flight.body,
		HasBody: flight.request.ContentLength != 0 || flight.request.Method == http.MethodPost,
	}
}

// unanswered handles a send without an answer.
func (flight *flight) unanswered(ctx context.Context, upstream fleet.Upstream, err error) outcome {
	lost := errors.Is(context.Cause(ctx), errUpstreamLost)
	if hop.NotSent.Has(err) {
		if ctx.Err() == nil {
			flight.log("relay: upstream not reached", telem.Error(err))
			flight.relay.readList()
			flight.judge(upstream, false)
		}
		return unreached
	}
	flight.sends++
	if ctx.Err() == nil || lost {
		flight.log("relay: no answer", telem.Error(err), zap.Bool("upstream-lost", lost))
	}
	return flight.mayHaveRun(upstream)
}

func (flight *flight) mayHaveRun(upstream fleet.Upstream) outcome {
	flight.runs++
	if flight.request.Context().Err() == nil {
		flight.judge(upstream, false)
	}
	return unknown
}

func (flight *flight) broken(upstream fleet.Upstream, err error) outcome {
	flight.log("relay: answer broken", telem.Error(err))
	flight.judge(upstream, false)
	return unknown
}

// turnedAway handles an answer that says that the request did not run.
func (flight *flight) turnedAway(upstream fleet.Upstream, response *hop.Response) outcome {
	if response.Status == http.StatusMisdirectedRequest {
		flight.relay.readList()
		if flight.adapter.Name != "" {
			flight.relay.board.RecordMissing(upstream.ID, flight.adapter)
		}
	}
	flight.relay.metrics.count("turned-away-" + strconv.Itoa(response.Status))
	flight.log("relay: upstream turned the request away", zap.Int("status", response.Status))
	// The rest is short; reading it keeps the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, bodyBytes))
	return notRun
}

func (flight *flight) mayRepeat() bool {
	return flight.runs < flight.route.Attempts && flight.route.Repeat == table.Idempotent
}

// judge records how an upstream behaved.
func (flight *flight) judge(upstream fleet.Upstream, well bool) {
	if flight.relay.health.answered(upstream.Service, upstream.ID, well) {
		flight.relay.config.Logger.Info("fleet: upstream ejected", zap.String("upstream", upstream.ID))
	}
}

// whole passes on an answer that is not a stream. It is read to its end first,
// so that one that breaks off never reaches the caller as complete.
func (flight *flight) whole(upstream fleet.Upstream, response *hop.Response) outcome {
	text, err := readWhole(response)
	if err != nil {
		return flight.broken(upstream, err)
	}
	flight.judge(upstream, true)
	flight.deliver(response, text)
	return answered
}

// readWhole reads an answer to its end.
func readWhole(response *hop.Response) ([]byte, error) {
	if response.Length > bodyBytes {
		return nil, errLargeAnswer
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, bodyBytes+1))
	if err == nil && len(text) > bodyBytes {
		return nil, errLargeAnswer
	}
	return text, err
}

// deliver writes a whole answer to the caller.
func (flight *flight) deliver(response *hop.Response, text []byte) {
	flight.head(response)
	if response.Length >= 0 || len(text) > 0 {
		flight.writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	flight.writer.WriteHeader(response.Status)
	_, _ = flight.writer.Write(text)
	flight.done(response.Status)
}

// keep sets a failure of the upstream aside, to be passed on if no other
// upstream does better.
func (flight *flight) keep(upstream fleet.Upstream, response *hop.Response) outcome {
	flight.log("relay: upstream failed", zap.Int("status", response.Status))
	text, err := readWhole(response)
	if err != nil {
		return flight.broken(upstream, err)
	}
	flight.failure, flight.failureText = response, text
	return failed
}

// head passes on the headers of an answer.
func (flight *flight) head(response *hop.Response) {
	header := flight.writer.Header()
	for name, values := range flight.relay.config.Protocol.CallerHeader(response.Header) {
		header[name] = values
	}
}

func (flight *flight) done(status int) {
	flight.relay.metrics.answered(flight.route.Name, status, time.Since(flight.started))
	if flight.sends == 1 {
		flight.relay.spans.ended(flight.route.Name, time.Since(flight.sentAt))
	}
	flight.log(MessageAnswered, zap.Int("status", status))
}
