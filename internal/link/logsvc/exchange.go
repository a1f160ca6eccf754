package logsvc

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

// singleUse is a request body without GetBody. http.Transport would otherwise
// resend some requests when a reused connection fails.
type singleUse struct{ *bytes.Reader }

// Close implements io.Closer.
func (singleUse) Close() error { return nil }

// exchange sends a request once and returns the body of a 200 response. If the
// response is not read to its end, the connection is closed instead of reused. After a
// response other than 200 idle connections are closed: responses name no request, so that
// a refusal that is written again would be taken for that of the next request.
func (client *Client) exchange(ctx context.Context, method, path string, body []byte, limit int64) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, transportFault(ctx, ctx.Err(), fault.NotRun)
	}
	var waitingForConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { waitingForConn.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { waitingForConn.Store(false) },
	})
	request, err := http.NewRequestWithContext(ctx, method, client.url+path, singleUse{bytes.NewReader(body)})
	if err != nil {
		return nil, fault.New(fault.Invalid, fault.NotRun, "log address %q: %v; correct the setting", client.url, err)
	}
	request.ContentLength = int64(len(body))
	response, err := client.http.Do(request)
	if err != nil {
		return nil, transportFault(ctx, err, executionAfterFailure(&waitingForConn))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		failure := statusFault(response)
		// The body was read, so that the connection is idle unless another call has taken it.
		client.http.CloseIdleConnections()
		return nil, failure
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, transportFault(ctx, err, fault.RunUnknown)
	}
	if int64(len(data)) > limit {
		return nil, fault.New(fault.LogUnavailable, fault.RunUnknown, "the log answered with more than %d bytes; ask for fewer records", limit)
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
func transportFault(ctx context.Context, err error, execution fault.Execution) error {
	kind := fault.LogUnavailable
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		kind = fault.Cancelled
	case ctx.Err() != nil, errors.Is(err, context.DeadlineExceeded):
		kind = fault.DeadlineExceeded
	}
	return fault.New(kind, execution, "no answer from the log: %v; read the stream before trying again", err)
}

// statusFault returns the fault for a response other than 200. The log service's
// protocol says that a request answered with a status below 500, or with 503, had
// no effect.
func statusFault(response *http.Response) error {
	status := response.StatusCode
	kind, execution := fault.LogUnavailable, fault.NotRun
	switch {
	case status == http.StatusRequestEntityTooLarge:
		kind = fault.BodyTooLarge
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
	case status >= http.StatusInternalServerError, status < http.StatusBadRequest:
		execution = fault.RunUnknown
	default:
		kind = fault.Invalid
	}
	failure := fault.New(kind, execution, "the log answered %s", statusText(response))
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		return failure.WithRetryAfter(time.Duration(seconds * float64(time.Second)))
	}
	return failure
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
