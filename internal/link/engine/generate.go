package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// Request asks an engine to generate tokens with an adapter.
type Request struct {
	RequestID string
	Adapter   string
	Version   uint32
	// Path is the endpoint; empty means /v1/completions.
	Path string
	// Body is the caller's JSON object, in which model, max_tokens, stream and
	// priority are replaced. If it is empty, Prompt is sent.
	Body   []byte
	Prompt string
	// MaxTokens limits the generated tokens and must be positive.
	MaxTokens int64
	// Priority orders the engine's queue; lower values go first.
	Priority int
	// ResumeFrom is the index of the first token to send when a broken stream
	// is resumed, 0 for a new request.
	ResumeFrom int64
	// Headers are sent with the request. They must not hold a caller's API key.
	Headers http.Header
}

// encodeBody returns the JSON object to send.
func (request Request) encodeBody() ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if len(request.Body) > 0 {
		if err := json.Unmarshal(request.Body, &fields); err != nil {
			return nil, fault.New(fault.BadRequest, fault.NotRun, "the body is not a JSON object: %v; correct it", err)
		}
		if fields == nil {
			return nil, fault.New(fault.BadRequest, fault.NotRun, "the body is null; send a JSON object")
		}
	}
	overrides := map[string]any{
		"model":      AdapterRef{request.Adapter, request.Version}.String(),
		"max_tokens": request.MaxTokens,
		"priority":   request.Priority,
		"stream":     true,
	}
	if len(request.Body) == 0 {
		overrides["prompt"] = request.Prompt
	}
	for name, value := range overrides {
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, fault.Wrap(err, fault.NotRun)
		}
		fields[name] = encoded
	}
	return json.Marshal(fields)
}

// Generate starts or resumes a generation and returns its stream once the engine
// has accepted the request. The fault is LoadFailed if the adapter is not
// loaded, UnknownRequest if there is no stream to resume, Conflict if the engine
// has received a newer fencing token, and Overloaded if the engine is full.
func (client *Client) Generate(ctx context.Context, request Request) (Stream, error) {
	if request.MaxTokens <= 0 || request.ResumeFrom < 0 || request.ResumeFrom > request.MaxTokens {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "max_tokens %d with resume from %d; send a positive limit and resume within it", request.MaxTokens, request.ResumeFrom)
	}
	body, err := request.encodeBody()
	if err != nil {
		return nil, err
	}
	headers := request.Headers.Clone()
	if headers == nil {
		headers = http.Header{}
	}
	headers.Set("Content-Type", "application/json")
	headers.Set(requestIDHeader, request.RequestID)
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
		return nil, response.refusalFault()
	}
	return newStream(ctx, response.Body, request), nil
}
