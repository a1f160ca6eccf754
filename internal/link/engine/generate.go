package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// Request is a generation on one adapter.
type Request struct {
	RequestID string
	Adapter   string
	Version   uint32
	// Path is the endpoint; empty stands for /v1/completions.
	Path string
	// Body is the caller's JSON object, of which model, max_tokens, stream and
	// priority are replaced. When it is empty, Prompt is sent.
	Body   []byte
	Prompt string
	// MaxTokens limits the answer and must be above 0.
	MaxTokens int64
	// Priority orders the engine's queue; lower goes first.
	Priority int
	// ResumeFrom is the index of the first token wanted of a request that broke.
	ResumeFrom int64
	// Headers accompany the call; never a caller's key.
	Headers http.Header
}

// body returns the JSON object to send.
func (request Request) body() ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if len(request.Body) > 0 {
		if err := json.Unmarshal(request.Body, &fields); err != nil {
			return nil, fault.New(fault.BadRequest, fault.NotRun, "the body is not a JSON object: %v; correct it", err)
		}
		if fields == nil {
			return nil, fault.New(fault.BadRequest, fault.NotRun, "the body is null; send a JSON object")
		}
	}
	set := map[string]any{
		"model":      AdapterRef{request.Adapter, request.Version}.String(),
		"max_tokens": request.MaxTokens,
		"priority":   request.Priority,
		"stream":     true,
	}
	if len(request.Body) == 0 {
		set["prompt"] = request.Prompt
	}
	for name, value := range set {
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, fault.Wrap(err, fault.NotRun)
		}
		fields[name] = encoded
	}
	return json.Marshal(fields)
}

// Generate starts or resumes a generation and returns its stream once the
// engine has accepted it. The kinds of fault are LoadFailed, when the adapter is
// not loaded, UnknownRequest, when there is nothing to resume, Conflict, when
// the engine has seen a newer fencing token, and Overloaded.
func (client *Client) Generate(ctx context.Context, request Request) (Stream, error) {
	if request.MaxTokens <= 0 || request.ResumeFrom < 0 || request.ResumeFrom > request.MaxTokens {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "max_tokens %d with resume from %d; send a positive limit and resume within it", request.MaxTokens, request.ResumeFrom)
	}
	body, err := request.body()
	if err != nil {
		return nil, err
	}
	headers := request.Headers.Clone()
	if headers == nil {
		headers = http.Header{}
	}
	headers.Set("Content-Type", "application/json")
	headers.Set("X-Request-Id", request.RequestID)
	if request.ResumeFrom > 0 {
		headers.Set("X-Resume-From", strconv.FormatInt(request.ResumeFrom, 10))
	}
	path := request.Path
	if path == "" {
		path = "/v1/completions"
	}
	response, err := client.send(ctx, http.MethodPost, path, headers, body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		return nil, statusFault(response)
	}
	return newStream(ctx, response.Body, request), nil
}
