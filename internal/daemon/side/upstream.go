package side

import (
	"context"
	"io"

	"jacinthfront.dev/jacinthfront/internal/flow/slots"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// UpstreamClient is the engine or plain service beside this process. Errors may be
// faults; one with NotRun says that the upstream did not receive the request.
type UpstreamClient interface {
	State(ctx context.Context) (EngineState, error)
	Load(ctx context.Context, adapter string, version uint32) error
	Unload(ctx context.Context, adapter string, version uint32) error
	Generate(ctx context.Context, generation GenerateRequest) (Stream, error)
	CallPlain(ctx context.Context, call PlainRequest) (*PlainResponse, error)
}

// EngineState is what an engine reports of itself.
type EngineState struct {
	// Epoch changes when the engine starts anew.
	Epoch        string
	Slots        int
	Loaded       []slots.AdapterRef
	FencingToken uint64
	Running      int
	Waiting      int
	// Active lists the requests that the engine works on, if Listed is set.
	Active []string
	Listed bool
}

// Header is one header of a request or an answer.
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

// Token is one token of an engine's answer. RequestID, Attempt and Model tell
// which request it belongs to, as far as the engine echoes them.
type Token struct {
	Index     int64
	Text      string
	RequestID string
	Attempt   uint32
	Model     string
}

// Stream is an engine's answer.
type Stream interface {
	// Next returns io.EOF after the engine's end marker only.
	Next() (Token, error)
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

// PlainResponse is the answer of a plain service.
type PlainResponse struct {
	Status  int
	Headers []Header
	Body    io.ReadCloser
}
