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

// maxErrorBody bounds how much of a refusal is read for its message.
const maxErrorBody = 4 << 10

// fencingHeader carries the fencing token of an order.
const fencingHeader = "X-Fencing-Token"

// singleUse is a request body without GetBody, which keeps http.Transport from
// sending a request a second time on its own; it would do so for a GET and for
// any request with an Idempotency-Key.
type singleUse struct{ *bytes.Reader }

// Close implements io.Closer.
func (singleUse) Close() error { return nil }

// send sends one request once. The caller closes the answer's body; closing it
// before its end closes the connection.
func (client *Client) send(ctx context.Context, method, path string, headers http.Header, body []byte) (*http.Response, error) {
	if ctx.Err() != nil {
		return nil, transportFault(ctx, ctx.Err(), fault.NotRun)
	}
	var unsent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { unsent.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { unsent.Store(false) },
	})
	request, err := http.NewRequestWithContext(ctx, method, client.url+path, singleUse{bytes.NewReader(body)})
	if err != nil {
		return nil, fault.New(fault.Invalid, fault.NotRun, "call %s %q: %v; correct the path or the upstream's address", method, path, err)
	}
	request.ContentLength = int64(len(body))
	if headers != nil {
		request.Header = headers.Clone()
	}
	if client.token != nil {
		request.Header.Set(fencingHeader, strconv.FormatUint(client.token(), 10))
	}
	response, err := client.http.Do(request)
	if err != nil {
		return nil, transportFault(ctx, err, effect(&unsent))
	}
	return response, nil
}

// order sends a JSON object and returns the 200 answer's body, if it is wanted.
func (client *Client) order(ctx context.Context, method, path string, message, answer any) error {
	var body []byte
	headers := http.Header{}
	if message != nil {
		var err error
		if body, err = json.Marshal(message); err != nil {
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
		return statusFault(response)
	}
	data, err := readBounded(ctx, response.Body, maxAnswer)
	if err != nil {
		return err
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fault.New(fault.UpstreamFailed, fault.RunUnknown, "answer of %s is not valid: %v; check that %s is an engine", path, err, client.url)
	}
	return nil
}

// readBounded reads an answer that has begun.
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

// effect returns the effect of an exchange that failed. It did not run only if a
// connection was asked for and never came.
func effect(unsent *atomic.Bool) fault.Execution {
	if unsent.Load() {
		return fault.NotRun
	}
	return fault.RunUnknown
}

// transportFault describes an exchange that ended without a complete answer.
func transportFault(ctx context.Context, err error, ran fault.Execution) *fault.Fault {
	kind := fault.UpstreamFailed
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		kind = fault.Cancelled
	case ctx.Err() != nil, errors.Is(err, context.DeadlineExceeded):
		kind = fault.DeadlineExceeded
	}
	return fault.New(kind, ran, "no complete answer from the upstream: %v; send it again only if it may run twice", err)
}

// statusFault describes an answer other than 200 from an engine. By its
// protocol, an answer below 500 and a 503 mean that the order had no effect.
func statusFault(response *http.Response) error {
	kind, ran := fault.UpstreamFailed, fault.RunUnknown
	switch response.StatusCode {
	case http.StatusConflict:
		kind, ran = fault.LoadFailed, fault.NotRun
	case http.StatusPreconditionFailed:
		kind, ran = fault.Conflict, fault.NotRun
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		kind, ran = fault.Overloaded, fault.NotRun
	case http.StatusBadGateway:
		kind, ran = fault.LoadFailed, fault.NotRun
	case http.StatusGone:
		kind, ran = fault.UnknownRequest, fault.NotRun
	case http.StatusRequestEntityTooLarge:
		kind, ran = fault.BodyTooLarge, fault.NotRun
	default:
		if response.StatusCode >= http.StatusBadRequest && response.StatusCode < http.StatusInternalServerError {
			kind, ran = fault.BadRequest, fault.NotRun
		}
	}
	answer := fault.New(kind, ran, "the engine answered %s", describe(response))
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		return answer.WithRetryAfter(time.Duration(seconds * float64(time.Second)))
	}
	return answer
}

// describe returns the status and, if there is one, the message of a refusal.
func describe(response *http.Response) string {
	var refusal struct {
		Error struct{ Message string }
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	if err != nil || json.Unmarshal(data, &refusal) != nil || refusal.Error.Message == "" {
		return strconv.Itoa(response.StatusCode)
	}
	return fmt.Sprintf("%d: %s", response.StatusCode, refusal.Error.Message)
}
