package relay

import (
	"errors"
	"net/http"
	"os"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/logs"
	"jacinthfront.dev/jacinthfront/internal/flow/buffer"
)

// maxBodyBytes limits the body of a request, and of a response that is not a stream.
const maxBodyBytes = 8 << 20

// readBody reads the body of the request.
func (proxyRequest *proxyRequest) readBody() *refusal {
	proxyRequest.body = proxyRequest.relay.buffers.NewBuffer("organisation " + proxyRequest.organisationName())
	hasher := proxyRequest.newIdentityHasher()
	defer func() { proxyRequest.identity = hasher.identity() }()
	if proxyRequest.request.Body == nil || proxyRequest.request.ContentLength == 0 {
		return nil
	}
	// The body may arrive too slowly to end before the caller's deadline.
	control := http.NewResponseController(proxyRequest.writer)
	if err := control.SetReadDeadline(proxyRequest.deadline); err != nil {
		proxyRequest.relay.config.Logger.Debug("relay: failed to set the read deadline", logs.ErrorField(err))
	}
	err := proxyRequest.body.Fill(hasher.tee(proxyRequest.request.Body), maxBodyBytes)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{http.StatusRequestTimeout, "the body did not come in time", retryAfterUnready}
	case errors.Is(err, buffer.ErrFull):
		proxyRequest.closeConnection()
		return &refusal{http.StatusServiceUnavailable, "the memory for bodies is used up", retryAfterFull}
	case errors.Is(err, buffer.ErrLarge):
		proxyRequest.closeConnection()
		return &refusal{http.StatusRequestEntityTooLarge, "the body is too large", 0}
	case err != nil:
		return &refusal{http.StatusBadRequest, "the body cannot be read", 0}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		proxyRequest.relay.config.Logger.Debug("relay: failed to clear the read deadline", logs.ErrorField(err))
	}
	return nil
}

// closeConnection closes the caller's connection after the response, as the rest of the
// request is not read.
func (proxyRequest *proxyRequest) closeConnection() {
	proxyRequest.writer.Header().Set("Connection", "close")
}

// releaseBodies gives back the memory of the bodies that the request holds.
func (proxyRequest *proxyRequest) releaseBodies() {
	for _, body := range []*buffer.Buffer{proxyRequest.body, proxyRequest.failureBody} {
		if body != nil {
			body.Release()
		}
	}
}
