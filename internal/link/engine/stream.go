package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// maxLine bounds one line of a stream.
const maxLine = 64 << 10

// endLimit bounds the wait for the end of the HTTP body after the end event.
const endLimit = 50 * time.Millisecond

// Token is one generated token.
type Token struct {
	Index int64
	Text  string
}

// Stream is the answer to a generation. Close ends it early; the engine then
// cancels the request.
type Stream interface {
	// Next returns the next token, and io.EOF after the engine's end event. A
	// stream that ends without an end event is a fault.
	Next() (Token, error)
	// FinishReason returns the reason for the end, empty before it.
	FinishReason() string
	// Close frees the connection. It may be called more than once, and while
	// Next waits.
	Close()
}

// sseStream reads server-sent events.
type sseStream struct {
	ctx      context.Context
	body     io.ReadCloser
	reader   *bufio.Reader
	model    string
	next     int64
	finish   string
	terminal error
}

// newStream returns a stream over an answer that has begun.
func newStream(ctx context.Context, body io.ReadCloser, request Request) *sseStream {
	return &sseStream{
		ctx: ctx, body: body, reader: bufio.NewReaderSize(body, maxLine), next: request.ResumeFrom,
		model: AdapterRef{request.Adapter, request.Version}.String(),
	}
}

// event is the data of both kinds of event.
type event struct {
	Index        *int64 `json:"index"`
	Text         string `json:"text"`
	Model        string `json:"model"`
	FinishReason string `json:"finish-reason"`
	Message      string `json:"message"`
}

// Next implements Stream.
func (stream *sseStream) Next() (Token, error) {
	if stream.terminal != nil {
		return Token{}, stream.terminal
	}
	token, err := stream.advance()
	if err != nil {
		stream.terminal = err
		stream.end(err)
	}
	return token, err
}

// FinishReason implements Stream.
func (stream *sseStream) FinishReason() string { return stream.finish }

// Close implements Stream.
func (stream *sseStream) Close() { _ = stream.body.Close() }

// end frees the connection. After an end event the rest of the answer is empty,
// and reading it to its end lets the connection be used again.
func (stream *sseStream) end(err error) {
	if errors.Is(err, io.EOF) {
		timer := time.AfterFunc(endLimit, stream.Close)
		_, _ = stream.reader.Discard(1)
		timer.Stop()
	}
	stream.Close()
}

// advance reads one event.
func (stream *sseStream) advance() (Token, error) {
	name, data, err := stream.readEvent()
	if err != nil {
		return Token{}, stream.broken(err)
	}
	var event event
	if err := json.Unmarshal(data, &event); err != nil {
		return Token{}, stream.malformed("event data %q", data)
	}
	switch name {
	case "end":
		stream.finish = event.FinishReason
		return Token{}, io.EOF
	case "error":
		return Token{}, fault.New(fault.UpstreamFailed, fault.DidRun, "the engine ended the answer: %s", event.Message)
	case "":
	default:
		return Token{}, stream.malformed("event %q", name)
	}
	if event.Index == nil || *event.Index != stream.next {
		return Token{}, stream.malformed("event %q where token %d was due", data, stream.next)
	}
	if event.Model != "" && event.Model != stream.model {
		return Token{}, stream.malformed("a token of %q in an answer of %q", event.Model, stream.model)
	}
	stream.next++
	return Token{Index: *event.Index, Text: event.Text}, nil
}

// readEvent returns the name and data of the next event.
func (stream *sseStream) readEvent() (name string, data []byte, err error) {
	for {
		line, err := stream.reader.ReadSlice('\n')
		if err != nil {
			return "", nil, err
		}
		line = bytes.TrimRight(line, "\r\n")
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0 && data != nil:
			return name, data, nil
		case string(field) == "event":
			name = string(value)
		case string(field) == "data":
			data = append(data, value...)
		}
	}
}

// broken describes an answer that ended without its end event.
func (stream *sseStream) broken(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return stream.malformed("a line above %d bytes", maxLine)
	}
	return transportFault(stream.ctx, err, fault.DidRun)
}

// malformed describes an answer that breaks the protocol.
func (stream *sseStream) malformed(format string, args ...any) error {
	return fault.New(fault.UpstreamFailed, fault.DidRun, "the engine sent "+format+"; check its version", args...)
}
