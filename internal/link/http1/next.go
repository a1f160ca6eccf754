package http1

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/zeebo/errs"
)

const (
	// maxSkipped is the number of responses that Next skips for one request, and
	// maxSkippedBytes the size of the body of each, in bytes. Refusals have short bodies.
	maxSkipped      = 4
	maxSkippedBytes = 64 << 10
)

// Abandoned is the class of errors with which Next gives up: the response cannot be told
// from what follows, exceeds a bound, or no other response came in time.
var Abandoned = errs.Class("abandoned")

// Next skips the response, which belongs to another request, and returns the one that
// follows it on the connection, if its head arrives within a time. The connection is
// closed after that one. Response must not be used any more. The errors are of class
// Broken or Abandoned; the connection is then closed.
func (response *Response) Next(within time.Duration) (*Response, error) {
	body := response.body
	next, err := body.next(within)
	if err != nil {
		body.once.Do(body.abort)
		return nil, err
	}
	return next, nil
}

func (body *body) next(within time.Duration) (*Response, error) {
	body.skipped++
	switch {
	case body.skipped > maxSkipped:
		return nil, Abandoned.New("more than %d responses to other requests", maxSkipped)
	case body.method == http.MethodHead:
		// Its response has no body, while that to another request may have one.
		return nil, Abandoned.New("the length of a response to another request is not known")
	case isUnframed(body.response):
		return nil, Abandoned.New("the response to another request ends with the connection")
	}
	_ = body.conn.SetReadDeadline(time.Now().Add(within))
	// The caller of Next closes the body.
	response, err := body.readNext() //nolint:bodyclose
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, Abandoned.New("no other response came in %v", within)
	case err != nil:
		return nil, err
	}
	_ = body.conn.SetReadDeadline(time.Time{})
	body.response = response
	return body.newResponse(), nil
}

// readNext reads the rest of the present response and the head of the next one.
func (body *body) readNext() (*http.Response, error) {
	switch n, err := io.CopyN(io.Discard, body.response.Body, maxSkippedBytes+1); {
	case n > maxSkippedBytes:
		return nil, Abandoned.New("the response to another request has over %d bytes", maxSkippedBytes)
	case !errors.Is(err, io.EOF):
		return nil, Broken.Wrap(fmt.Errorf("within the response to another request: %w", err))
	}
	response, err := body.conn.readResponse(body.method)
	if err != nil {
		return nil, Broken.Wrap(fmt.Errorf("after the response to another request: %w", err))
	}
	return response, nil
}

// isUnframed reports whether a response has neither a length nor chunks.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// newResponse returns the response that the body belongs to.
func (body *body) newResponse() *Response {
	response := body.response
	return &Response{
		Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength,
		Unframed: isUnframed(response), Reused: body.conn.answered || body.skipped > 0, OpenedAt: body.conn.openedAt, Body: body, body: body,
	}
}
