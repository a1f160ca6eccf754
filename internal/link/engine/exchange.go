package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// maxErrorBody bounds how many bytes of an error response are read for its
// message.
const maxErrorBody = 4 << 10

// maxStatus is the highest status of a response. http.Transport returns those with a higher
// one too, and those below 100 and with 101.
const maxStatus = 599

const (
	// fencingHeader carries the fencing token of a request.
	fencingHeader = "X-Fencing-Token"
	// requestIDHeader carries the id of a request, and in a response that of the request
	// to which it belongs.
	requestIDHeader = "X-Request-Id"
)

// singleUse is a request body without GetBody. http.Transport would otherwise
// resend a GET, and any request with an Idempotency-Key, when a reused
// connection fails.
type singleUse struct{ *bytes.Reader }

// Close implements io.Closer.
func (singleUse) Close() error { return nil }

// errConnClosed means that nothing was sent, since the connection was closed before.
var errConnClosed = errors.New("the connection was closed after its last response")

// send sends a request once. The caller closes the response body; closing it
// before its end closes the connection.
func (client *Client) send(ctx context.Context, method, path string, headers http.Header, body []byte) (*exchange, error) {
	for {
		// Each turn takes a closed connection out of the idle pool.
		exchange, err := client.sendOnConn(ctx, method, path, headers, body)
		if !errors.Is(err, errConnClosed) {
			return exchange, err
		}
	}
}

// sendOnConn sends a request on one connection, or returns errConnClosed. It has the
// connection closed at the end of a response that refuses the request, or that is an
// earlier request's.
func (client *Client) sendOnConn(ctx context.Context, method, path string, headers http.Header, body []byte) (*exchange, error) {
	if ctx.Err() != nil {
		return nil, transportFault(ctx, ctx.Err(), fault.NotRun)
	}
	var waitingForConn, reused atomic.Bool
	var latest atomic.Pointer[connUse]
	written := newRequestWrite()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { waitingForConn.Store(true) },
		GotConn: func(info httptrace.GotConnInfo) {
			waitingForConn.Store(false)
			reused.Store(info.Reused)
			latest.Store(client.connUses.begin(info))
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { written.end(info.Err) },
	})
	request, err := http.NewRequestWithContext(ctx, method, client.url+path, singleUse{bytes.NewReader(body)})
	if err != nil {
		return nil, fault.New(fault.Invalid, fault.NotRun, "call %s %q: %v; correct the path or the upstream's address", method, path, err)
	}
	request.ContentLength = int64(len(body))
	if headers != nil {
		request.Header = headers.Clone()
	}
	if client.fencingToken != nil {
		request.Header.Set(fencingHeader, strconv.FormatUint(client.fencingToken(), 10))
	}
	response, err := client.http.Do(request)
	use := latest.Load()
	if err != nil {
		use.end()
		if use.wasClosed() {
			return nil, errConnClosed
		}
		return nil, transportFault(ctx, err, executionAfterFailure(&waitingForConn))
	}
	written.check(ctx, response)
	if status := response.StatusCode; status < http.StatusOK || status > maxStatus {
		use.closeAfter(response)
		_ = response.Body.Close()
		return nil, fault.New(fault.UpstreamFailed, fault.RunUnknown, "the answer has the status %03d, which is none of HTTP; send it again only if it may run twice", status)
	}
	named := response.Header.Get(requestIDHeader)
	foreign := named != "" && named != headers.Get(requestIDHeader)
	if _, execution := classifyStatus(response.StatusCode); foreign || execution == fault.NotRun {
		use.closeAfter(response)
	} else {
		use.end()
	}
	if foreign {
		_ = response.Body.Close()
		return nil, fault.New(fault.UpstreamFailed, fault.RunUnknown, "the answer belongs to request %q; send it again only if it may run twice", named)
	}
	return &exchange{Response: response, reused: reused.Load()}, nil
}

// exchange is a response with what is known of its connection.
type exchange struct {
	*http.Response
	// reused means that the connection has had a response to an earlier request.
	reused bool
}

// refusalFault returns the fault for a response that refuses a request. An upstream
// that has a fault may write an earlier refusal once more on a kept connection, so one
// that names no request proves nothing there.
func (exchange *exchange) refusalFault() error {
	err := statusFault(exchange.Response)
	if found, ok := fault.As(err); ok && found.Ran() == fault.NotRun && exchange.reused && exchange.Header.Get(requestIDHeader) == "" {
		return fault.New(fault.UpstreamFailed, fault.RunUnknown, "the refusal names no request and may be an earlier one's (%v); send it again only if it may run twice", err)
	}
	return err
}

// callJSON sends a JSON object, or no body if request is nil, and decodes the
// body of a 200 response into result unless result is nil.
func (client *Client) callJSON(ctx context.Context, method, path string, request, result any) error {
	var body []byte
	headers := http.Header{}
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return fault.Wrap(err, fault.NotRun)
		}
		headers.Set("Content-Type", "application/json")
	}
	response, err := client.send(ctx, method, path, headers, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return statusFault(response.Response)
	}
	data, err := readBounded(ctx, response.Body, maxResponseSize)
	if err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fault.New(fault.UpstreamFailed, fault.RunUnknown, "answer of %s is not valid: %v; check that %s is an engine", path, err, client.url)
	}
	return nil
}

// readBounded reads the body of a response up to a limit in bytes.
func readBounded(ctx context.Context, body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, transportFault(ctx, err, fault.RunUnknown)
	}
	if int64(len(data)) > limit {
		return nil, fault.New(fault.UpstreamFailed, fault.DidRun, "the answer is larger than %d bytes; ask for less", limit)
	}
	return data, nil
}

// executionAfterFailure returns whether a request whose exchange failed may have
// run. It certainly did not if no connection could be obtained.
func executionAfterFailure(waitingForConn *atomic.Bool) fault.Execution {
	if waitingForConn.Load() {
		return fault.NotRun
	}
	return fault.RunUnknown
}

// transportFault returns the fault for an exchange without a complete response.
func transportFault(ctx context.Context, err error, execution fault.Execution) *fault.Fault {
	kind := fault.UpstreamFailed
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		kind = fault.Cancelled
	case ctx.Err() != nil, errors.Is(err, context.DeadlineExceeded):
		kind = fault.DeadlineExceeded
	}
	return fault.New(kind, execution, "no complete answer from the upstream: %v; send it again only if it may run twice", err)
}

// statusFault returns the fault for an engine response other than 200.
func statusFault(response *http.Response) error {
	kind, execution := classifyStatus(response.StatusCode)
	failure := fault.New(kind, execution, "the engine answered %s", statusText(response))
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		return failure.WithRetryAfter(time.Duration(seconds * float64(time.Second)))
	}
	return failure
}

// classifyStatus returns the fault that an engine's status other than 200 stands for. The
// engine protocol says that a request answered with a status below 500, or with 503, had
// no effect.
func classifyStatus(status int) (fault.Kind, fault.Execution) {
	switch status {
	case http.StatusConflict:
		return fault.LoadFailed, fault.NotRun
	case http.StatusPreconditionFailed:
		return fault.Conflict, fault.NotRun
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fault.Overloaded, fault.NotRun
	case http.StatusBadGateway:
		return fault.LoadFailed, fault.NotRun
	case http.StatusGone:
		return fault.UnknownRequest, fault.NotRun
	case http.StatusRequestEntityTooLarge:
		return fault.BodyTooLarge, fault.NotRun
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return fault.BadRequest, fault.NotRun
	}
	return fault.UpstreamFailed, fault.RunUnknown
}

// statusText returns the status code of an error response with its message, if
// it has one.
func statusText(response *http.Response) string {
	var errorBody struct {
		Error struct{ Message string }
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	if err != nil || json.Unmarshal(data, &errorBody) != nil || errorBody.Error.Message == "" {
		return strconv.Itoa(response.StatusCode)
	}
	return fmt.Sprintf("%d: %s", response.StatusCode, errorBody.Error.Message)
}
