package relay

import (
	"errors"
	"io"
	"strconv"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/buffer"
	"jacinthfront.dev/jacinthfront/internal/link/http1"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// forwardWhole forwards a response that is not a stream. It reads the response to
// its end first, so that an incomplete one never reaches the caller as complete.
func (proxyRequest *proxyRequest) forwardWhole(upstream fleet.Upstream, response *http1.Response) outcome {
	body, err := proxyRequest.readResponse(upstream, response)
	defer body.Release()
	if err == nil && response.Unframed && mediaType(response) == mediaTypeEvents {
		err = checkEvents(body.Reader())
	}
	switch {
	case errors.Is(err, buffer.ErrFull):
		return proxyRequest.handleFull(upstream, response, body)
	case err != nil:
		return proxyRequest.recordBroken(upstream, err)
	}
	proxyRequest.recordHealth(upstream, true)
	proxyRequest.writeResponse(response, body)
	return outcomeAnswered
}

// readResponse reads the body of a response to its end. The caller must release the body,
// also after an error.
func (proxyRequest *proxyRequest) readResponse(upstream fleet.Upstream, response *http1.Response) (*buffer.Buffer, error) {
	body := proxyRequest.relay.buffers.NewBuffer(upstreamOwner(upstream))
	if response.ContentLength > maxBodyBytes {
		return body, buffer.ErrLarge
	}
	return body, body.Fill(response.Body, maxBodyBytes)
}

// upstreamOwner returns the owner of the memory that responses of an upstream hold.
func upstreamOwner(upstream fleet.Upstream) string { return "upstream " + upstream.ID }

// handleFull handles a response for which there is no memory. One of a length is passed on
// as it comes, since its caller notices if it breaks off. Another one is given up, which
// counts against an upstream that holds a large part of the memory.
func (proxyRequest *proxyRequest) handleFull(upstream fleet.Upstream, response *http1.Response, begun *buffer.Buffer) outcome {
	relay := proxyRequest.relay
	relay.metrics.increment("buffers-full")
	if response.ContentLength >= 0 {
		return proxyRequest.passOn(upstream, response, begun)
	}
	heavy := relay.buffers.Heavy(upstreamOwner(upstream))
	proxyRequest.log("relay: no memory for the response", zap.Int64("held", relay.buffers.Held()), zap.Int64("size", begun.Size()), zap.Bool("upstream-heavy", heavy))
	if heavy {
		proxyRequest.recordHealth(upstream, false)
	}
	return outcomeUnknown
}

// passOn passes a response on as it comes, after the part that was read. If it breaks off,
// the request cannot be sent again.
func (proxyRequest *proxyRequest) passOn(upstream fleet.Upstream, response *http1.Response, begun *buffer.Buffer) outcome {
	proxyRequest.headersSent, proxyRequest.passedOn = true, true
	proxyRequest.copyHeaders(response)
	proxyRequest.writer.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	proxyRequest.writer.WriteHeader(response.Status)
	writer := &callerWriter{request: proxyRequest, held: begun.Size()}
	_, err := begun.WriteTo(writer)
	begun.Release()
	if writer.held = 0; err == nil {
		_, err = io.Copy(writer, &watchedReader{proxyRequest, response.Body})
	}
	switch {
	case err == nil:
		proxyRequest.recordHealth(upstream, true)
		proxyRequest.recordDone(response.Status)
		return outcomeAnswered
	case proxyRequest.request.Context().Err() != nil:
		return outcomeUnknown
	case proxyRequest.brokeOffUnread(err):
		return proxyRequest.recordUnread(err)
	default:
		return proxyRequest.recordBroken(upstream, err)
	}
}

// writeResponse writes a complete response to the caller.
func (proxyRequest *proxyRequest) writeResponse(response *http1.Response, body *buffer.Buffer) {
	proxyRequest.copyHeaders(response)
	if response.ContentLength >= 0 || body.Size() > 0 {
		proxyRequest.writer.Header().Set("Content-Length", strconv.FormatInt(body.Size(), 10))
	}
	proxyRequest.writer.WriteHeader(response.Status)
	// The end is flushed here, as the server does not watch how long that takes.
	_ = proxyRequest.writeCaller(body.Size(), func() error {
		_, err := body.WriteTo(proxyRequest.writer)
		proxyRequest.flush()
		return err
	})
	if !proxyRequest.stalled.Load() {
		proxyRequest.recordDone(response.Status)
	}
}

// keepFailure keeps a failure of an upstream, to be forwarded if no other upstream
// does better.
func (proxyRequest *proxyRequest) keepFailure(upstream fleet.Upstream, response *http1.Response) outcome {
	proxyRequest.log("relay: upstream failed", zap.Int("status", response.Status))
	body, err := proxyRequest.readResponse(upstream, response)
	if err != nil {
		body.Release()
		return proxyRequest.recordBroken(upstream, err)
	}
	if proxyRequest.failureBody != nil {
		proxyRequest.failureBody.Release()
	}
	proxyRequest.failure, proxyRequest.failureBody = response, body
	return outcomeFailed
}
