package side

import (
	"context"
	"io"

	"jacinthfront.dev/jacinthfront/internal/flow/slots"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// UpstreamClient is the client of the engine or plain service that this process
// serves. Errors may be faults; a fault with NotRun says that the upstream did
// not receive the request.
type UpstreamClient interface {
	// State returns the engine's state.
	State(ctx context.Context) (EngineState, error)
	// Load orders the engine to load an adapter and returns when it is loaded.
	Load(ctx context.Context, adapter string, version uint32) error
	// Unload orders the engine to unload an adapter.
	Unload(ctx context.Context, adapter string, version uint32) error
	// Generate starts or resumes a model request.
	Generate(ctx context.Context, request GenerateRequest) (Stream, error)
	// CallPlain sends a request to a plain service.
	CallPlain(ctx context.Context, request PlainRequest) (*PlainResponse, error)
}

// EngineState is the state that an engine reports.
type EngineState struct {
	// Incarnation changes when the engine restarts.
	Incarnation  string
	Slots        int
	Loaded       []slots.AdapterRef
	FencingToken uint64
	Running      int
	Waiting      int
	// Active lists the requests that the engine runs, if ListsActive is set.
	Active      []string
	ListsActive bool
}

// Header is one header of a request or a response.
type Header struct{ Name, Value string }

// GenerateRequest is a request to an engine.
type GenerateRequest struct {
	RequestID    string
	Attempt      uint32
	Organisation string
	Ref          slots.AdapterRef
	Class        conf.Class
	MaxTokens    conf.Tokens
	// ResumeFrom is the index of the first token to send.
	ResumeFrom int64
	Method     string
	Path       string
	Headers    []Header
	Body       []byte
}

// Token is one token of an engine's response. RequestID, Attempt and Model
// identify the request, as far as the engine echoes them.
type Token struct {
	Index     int64
	Text      string
	RequestID string
	Attempt   uint32
	Model     string
}

// Stream is the stream of an engine's response.
type Stream interface {
	// Next returns io.EOF only after the engine's end marker.
	Next() (Token, error)
	// FinishReason returns the engine's finish reason. It is valid after Next
	// returned io.EOF.
	FinishReason() string
	// Close cancels the request at the engine unless it has ended.
	Close()
}

// PlainRequest is a request to a plain service.
type PlainRequest struct {
	RequestID    string
	Attempt      uint32
	Organisation string
	Method       string
	Path         string
	Headers      []Header
	Body         []byte
}

// PlainResponse is the response of a plain service.
type PlainResponse struct {
	Status  int
	Headers []Header
	Body    io.ReadCloser
}
