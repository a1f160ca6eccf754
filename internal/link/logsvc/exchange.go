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

// maxErrorBody bounds how much of a refusal is read for its message.
const maxErrorBody = 4 << 10

// singleUse is a request body without GetBody, which keeps http.Transport from
// sending a request a second time on its own.
type singleUse struct{ *bytes.Reader }

// Close implements io.Closer.
func (singleUse) Close() error { return nil }

// exchange sends one request once and returns the body of a 200 answer. A
// connection whose answer was not read to its end is closed, not reused.
func (client *Client) exchange(ctx context.Context, method, path string, body []byte, limit int64) ([]byte, error) {
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
		return nil, fault.New(fault.Invalid, fault.NotRun, "log address %q: %v; correct the setting", client.url, err)
	}
	request.ContentLength = int64(len(body))
	response, err := client.http.Do(request)
	if err != nil {
		return nil, transportFault(ctx, err, effect(&unsent))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, statusFault(response)
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

// effect returns the effect of an exchange that failed. It did not run only if a
// connection was asked for and never came.
func effect(unsent *atomic.Bool) fault.Execution {
	if unsent.Load() {
		return fault.NotRun
	}
	return fault.RunUnknown
}

// transportFault describes an exchange that ended without a complete answer.
func transportFault(ctx context.Context, err error, ran fault.Execution) error {
	kind := fault.LogUnavailable
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		kind = fault.Cancelled
	case ctx.Err() != nil, errors.Is(err, context.DeadlineExceeded):
		kind = fault.DeadlineExceeded
	}
	return fault.New(kind, ran, "no answer from the log: %v; read the stream before trying again", err)
}

// statusFault describes an answer other than 200. The protocol says that an
// answer below 500 and a 503 have no effect.
func statusFault(response *http.Response) error {
	status := response.StatusCode
	kind, ran := fault.LogUnavailable, fault.NotRun
	switch {
	case status == http.StatusRequestEntityTooLarge:
		kind = fault.BodyTooLarge
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
	case status >= http.StatusInternalServerError, status < http.StatusBadRequest:
		ran = fault.RunUnknown
	default:
		kind = fault.Invalid
	}
	answer := fault.New(kind, ran, "the log answered %s", describe(response))
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
