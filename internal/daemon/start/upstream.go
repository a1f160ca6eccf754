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

// upstream implements side.Upstream with the HTTP client.
type upstream struct {
	client *engine.Client
}

// State returns what the upstream reports of itself.
func (upstream upstream) State(ctx context.Context) (side.EngineState, error) {
	state, err := upstream.client.State(ctx)
	if err != nil {
		return side.EngineState{}, err
	}
	result := side.EngineState{
		Epoch: state.Incarnation, Slots: state.Slots, FencingToken: state.FencingToken, Running: state.Running, Waiting: state.Waiting,
	}
	for _, ref := range state.Loaded {
		result.Loaded = append(result.Loaded, slots.AdapterRef{Adapter: ref.Adapter, Version: ref.Version})
	}
	return result, nil
}

// Load orders the engine to load an adapter.
func (upstream upstream) Load(ctx context.Context, adapter string, version uint32) error {
	return upstream.client.Load(ctx, adapter, version)
}

// Unload orders the engine to unload an adapter.
func (upstream upstream) Unload(ctx context.Context, adapter string, version uint32) error {
	return upstream.client.Unload(ctx, adapter, version)
}

// The engine's priorities; lower goes first.
const (
	interactivePriority = 0
	patientPriority     = 10
)

// Generate starts or resumes a generation.
func (upstream upstream) Generate(ctx context.Context, generation side.GenerateRequest) (side.Stream, error) {
	priority := interactivePriority
	if generation.Class == conf.Patient {
		priority = patientPriority
	}
	stream, err := upstream.client.Generate(ctx, engine.Request{
		RequestID:  generation.RequestID,
		Adapter:    generation.Ref.Adapter,
		Version:    generation.Ref.Version,
		Path:       generation.Path,
		Body:       generation.Body,
		MaxTokens:  int64(generation.MaxTokens),
		Priority:   priority,
		ResumeFrom: generation.ResumeFrom,
		Headers:    httpHeaders(generation.Headers),
	})
	if err != nil {
		return nil, err
	}
	return tokenStream{Stream: stream, generation: generation}, nil
}

// CallPlain sends one call to a plain service.
func (upstream upstream) CallPlain(ctx context.Context, call side.PlainRequest) (*side.PlainResponse, error) {
	response, err := upstream.client.CallPlain(ctx, engine.PlainRequest{
		RequestID: call.RequestID, Method: call.Method, Path: call.Path, Headers: httpHeaders(call.Headers), Body: call.Body,
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

// tokenStream implements side.Stream. The client has checked that the tokens
// belong to the connection's request and adapter.
type tokenStream struct {
	engine.Stream
	generation side.GenerateRequest
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
