package engine

import (
	"context"
	"net/http"
	"strings"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// PlainRequest is a request to a plain service.
type PlainRequest struct {
	RequestID string
	Method    string
	// Path is the path with its query and begins with a slash.
	Path    string
	Headers http.Header
	Body    []byte
}

// PlainResponse is the response of a plain service, with any status.
type PlainResponse struct {
	Status  int
	Headers http.Header
	Body    []byte
}

// CallPlain sends a request to a plain service once. A response with any status is
// returned without an error; a fault means that no complete response was read.
func (client *Client) CallPlain(ctx context.Context, request PlainRequest) (*PlainResponse, error) {
	if !strings.HasPrefix(request.Path, "/") {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "path %q does not begin with a slash; correct the call", request.Path)
	}
	headers := request.Headers.Clone()
	if headers == nil {
		headers = http.Header{}
	}
	headers.Set(requestIDHeader, request.RequestID)
	response, err := client.send(ctx, request.Method, request.Path, headers, request.Body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBounded(ctx, response.Body, client.maxResponse)
	if err != nil {
		return nil, err
	}
	return &PlainResponse{Status: response.StatusCode, Headers: response.Header, Body: body}, nil
}
