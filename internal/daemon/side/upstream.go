package side

import (
	"context"
	"io"

	"jacinthfront.dev/jacinthfront/internal/flow/slots"
	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// Upstream is the engine or plain service beside this process. Errors may be
// faults; one with NotRun says that the upstream did not receive the request.
type Upstream interface {
	State(ctx context.Context) (State, error)
	Load(ctx context.Context, adapter string, version uint32) error
	Unload(ctx context.Context, adapter string, version uint32) error
	Generate(ctx context.Context, generation Generation) (Stream, error)
	Call(ctx context.Context, call Call) (*Reply, error)
}

// State is what an engine reports of itself.
type State struct {
	// Epoch changes when the engine starts anew.
	Epoch   string
	Slots   int
	Loaded  []slots.AdapterRef
	Fence   uint64
	Running int
	Waiting int
	// Active lists the requests that the engine works on, if Listed is set.
	Active []string
	Listed bool
}

// Header is one header of a request or an answer.
type Header struct{ Name, Value string }

// Generation is a request to an engine.
type Generation struct {
	RequestID    string
	Attempt      uint32
	Organisation string
	Ref          slots.AdapterRef
	Class        model.Class
	MaxTokens    model.Tokens
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
	Finish() string
	// Close cancels the request at the engine unless it has ended.
	Close()
}

// Call is a request to a plain service.
type Call struct {
	RequestID    string
	Attempt      uint32
	Organisation string
	Method       string
	Path         string
	Headers      []Header
	Body         []byte
}

// Reply is the answer of a plain service.
type Reply struct {
	Status  int
	Headers []Header
	Body    io.ReadCloser
}
