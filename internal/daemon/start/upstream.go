package start

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"jacinthfront.dev/jacinthfront/internal/daemon/side"
	"jacinthfront.dev/jacinthfront/internal/flow/slots"
	"jacinthfront.dev/jacinthfront/internal/link/engine"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// upstreamClient implements side.UpstreamClient by HTTP requests.
type upstreamClient struct {
	client *engine.Client
}

// State returns the state that the engine reports.
func (upstream upstreamClient) State(ctx context.Context) (side.EngineState, error) {
	state, err := upstream.client.State(ctx)
	if err != nil {
		return side.EngineState{}, err
	}
	result := side.EngineState{
		Incarnation: state.Incarnation, Slots: state.Slots, FencingToken: state.FencingToken, Running: state.Running, Waiting: state.Waiting,
	}
	for _, ref := range state.Loaded {
		result.Loaded = append(result.Loaded, slots.AdapterRef{Adapter: ref.Adapter, Version: ref.Version})
	}
	return result, nil
}

// Load orders the engine to load an adapter.
func (upstream upstreamClient) Load(ctx context.Context, adapter string, version uint32) error {
	return upstream.client.Load(ctx, adapter, version)
}

// Unload orders the engine to unload an adapter.
func (upstream upstreamClient) Unload(ctx context.Context, adapter string, version uint32) error {
	return upstream.client.Unload(ctx, adapter, version)
}

// The priorities of requests at the engine. It runs those with a lower number
// first.
const (
	interactivePriority = 0
	patientPriority     = 10
)

// Generate sends a request to the engine, or resumes it from a token on.
func (upstream upstreamClient) Generate(ctx context.Context, request side.GenerateRequest) (side.Stream, error) {
	priority := interactivePriority
	if request.Class == conf.Patient {
		priority = patientPriority
	}
	stream, err := upstream.client.Generate(ctx, engine.Request{
		RequestID:  request.RequestID,
		Adapter:    request.Ref.Adapter,
		Version:    request.Ref.Version,
		Path:       request.Path,
		Body:       request.Body,
		MaxTokens:  int64(request.MaxTokens),
		Priority:   priority,
		ResumeFrom: request.ResumeFrom,
		Headers:    httpHeaders(request.Headers),
	})
	if err != nil {
		return nil, err
	}
	return tokenStream{Stream: stream, request: request}, nil
}

// CallPlain sends one request to a plain service.
func (upstream upstreamClient) CallPlain(ctx context.Context, request side.PlainRequest) (*side.PlainResponse, error) {
	response, err := upstream.client.CallPlain(ctx, engine.PlainRequest{
		RequestID: request.RequestID, Method: request.Method, Path: request.Path, Headers: httpHeaders(request.Headers), Body: request.Body,
	})
	if err != nil {
		return nil, err
	}
	reply := &side.PlainResponse{Status: response.Status, Body: io.NopCloser(bytes.NewReader(response.Body))}
	for name, values := range response.Headers {
		for _, value := range values {
			reply.Headers = append(reply.Headers, side.Header{Name: name, Value: value})
		}
	}
	return reply, nil
}

// tokenStream implements side.Stream. The HTTP client has checked that the tokens
// belong to this request and its adapter.
type tokenStream struct {
	engine.Stream
	request side.GenerateRequest
}

// Next returns the next token.
func (stream tokenStream) Next() (side.Token, error) {
	token, err := stream.Stream.Next()
	if err != nil {
		return side.Token{}, err
	}
	return side.Token{Index: token.Index, Text: token.Text}, nil
}

func httpHeaders(headers []side.Header) http.Header {
	result := http.Header{}
	for _, header := range headers {
		result.Add(header.Name, header.Value)
	}
	return result
}
