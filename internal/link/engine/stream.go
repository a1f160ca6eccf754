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

// maxLineSize bounds one line of a stream, in bytes.
const maxLineSize = 64 << 10

// endTimeout bounds the wait for the end of the HTTP body after the end event.
const endTimeout = 50 * time.Millisecond

// Token is one generated token.
type Token struct {
	Index int64
	Text  string
}

// Stream is the response to a generation request. Closing it early makes the
// engine cancel the request.
type Stream interface {
	// Next returns the next token, or io.EOF after the engine's end event. A
	// stream that ends without an end event is a fault.
	Next() (Token, error)
	// FinishReason returns why the generation ended, or an empty string before
	// its end.
	FinishReason() string
	// Close frees the connection. It may be called more than once and
	// concurrently with Next.
	Close()
}

// sseStream is a Stream over server-sent events.
type sseStream struct {
	ctx          context.Context
	body         io.ReadCloser
	reader       *bufio.Reader
	model        string
	nextIndex    int64
	finishReason string
	endErr       error
}

// newStream returns a stream that reads the body of a 200 response.
func newStream(ctx context.Context, body io.ReadCloser, request Request) *sseStream {
	return &sseStream{
		ctx: ctx, body: body, reader: bufio.NewReaderSize(body, maxLineSize), nextIndex: request.ResumeFrom,
		model: AdapterRef{request.Adapter, request.Version}.String(),
	}
}

// event is the data of a token, end or error event.
type event struct {
	Index        *int64 `json:"index"`
	Text         string `json:"text"`
	Model        string `json:"model"`
	FinishReason string `json:"finish-reason"`
	Message      string `json:"message"`
}

// Next implements Stream.
func (stream *sseStream) Next() (Token, error) {
	if stream.endErr != nil {
		return Token{}, stream.endErr
	}
	token, err := stream.readToken()
	if err != nil {
		stream.endErr = err
		stream.release(err)
	}
	return token, err
}

// FinishReason implements Stream.
func (stream *sseStream) FinishReason() string { return stream.finishReason }

// Close implements Stream.
func (stream *sseStream) Close() { _ = stream.body.Close() }

// release frees the connection. After an end event it reads the body to its end,
// which is empty, so that the connection can be reused.
func (stream *sseStream) release(err error) {
	if errors.Is(err, io.EOF) {
		timer := time.AfterFunc(endTimeout, stream.Close)
		_, _ = stream.reader.Discard(1)
		timer.Stop()
	}
	stream.Close()
}

// readToken reads one event and returns its token.
func (stream *sseStream) readToken() (Token, error) {
	name, data, err := stream.readEvent()
	if err != nil {
		return Token{}, stream.brokenFault(err)
	}
	var event event
	if err := json.Unmarshal(data, &event); err != nil {
		return Token{}, stream.malformedFault("event data %q", data)
	}
	switch name {
	case "end":
		stream.finishReason = event.FinishReason
		return Token{}, io.EOF
	case "error":
		return Token{}, fault.New(fault.UpstreamFailed, fault.DidRun, "the engine ended the answer: %s", event.Message)
	case "":
	default:
		return Token{}, stream.malformedFault("event %q", name)
	}
	if event.Index == nil || *event.Index != stream.nextIndex {
		return Token{}, stream.malformedFault("event %q where token %d was due", data, stream.nextIndex)
	}
	if event.Model != "" && event.Model != stream.model {
		return Token{}, stream.malformedFault("a token of %q in an answer of %q", event.Model, stream.model)
	}
	stream.nextIndex++
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

// brokenFault returns the fault for a stream that ended without its end event.
func (stream *sseStream) brokenFault(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return stream.malformedFault("a line above %d bytes", maxLineSize)
	}
	return transportFault(stream.ctx, err, fault.DidRun)
}

// malformedFault returns the fault for a stream that violates the protocol.
func (stream *sseStream) malformedFault(format string, args ...any) error {
	return fault.New(fault.UpstreamFailed, fault.DidRun, "the engine sent "+format+"; check its version", args...)
}
