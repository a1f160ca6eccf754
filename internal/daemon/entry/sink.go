package entry

import (
	"net/http"
	"strings"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// sink receives the events of a request in order and forms the response to the
// caller.
type sink interface {
	// start begins a response. It is called again when the work runs again.
	start(started *wirepb.Started) error
	chunk(data []byte) error
	finish(done *wirepb.Done) error
	// committed reports whether the caller has received a part of the response.
	committed() bool
	// resumable reports whether the response may be resumed at a token index.
	resumable() bool
	// reset discards a response that is not committed.
	reset()
	// fail ends a committed response with a fault that the caller can read. It
	// reports false if the response has no form for this or the write fails.
	fail(err *fault.Fault) bool
}

// choice is one completion in the form of the public API.
type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// completion is a whole response or one event of a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func usageOf(done *wirepb.Done) *usage {
	return &usage{
		PromptTokens:     done.GetPromptTokens(),
		CompletionTokens: done.GetGeneratedTokens(),
		TotalTokens:      done.GetPromptTokens() + done.GetGeneratedTokens(),
	}
}

func finishReason(done *wirepb.Done) *string {
	reason := done.GetFinishReason()
	if reason == "" {
		reason = "stop"
	}
	return &reason
}

// envelope returns a completion without choices.
func (exchange *exchange) envelope(object string) completion {
	return completion{
		ID:      exchange.id,
		Object:  object,
		Created: exchange.arrived.Unix(), //nolint:forbidigo // The chat API names the time of day.
		Model:   modelName(exchange.adapter, exchange.version),
		Choices: []choice{},
	}
}

// bufferedSink collects the response and sends it as one JSON object.
type bufferedSink struct {
	exchange *exchange
	chat     bool
	text     strings.Builder
}

func (buffered *bufferedSink) start(*wirepb.Started) error { return nil }

func (buffered *bufferedSink) chunk(data []byte) error {
	buffered.text.Write(data)
	return nil
}

func (buffered *bufferedSink) finish(done *wirepb.Done) error {
	text := buffered.text.String()
	response := buffered.exchange.envelope("text_completion")
	item := choice{Text: &text, FinishReason: finishReason(done)}
	if buffered.chat {
		response.Object = "chat.completion"
		item.Text, item.Message = nil, &message{Role: "assistant", Content: &text}
	}
	response.Choices = append(response.Choices, item)
	response.Usage = usageOf(done)
	buffered.exchange.writeJSON(http.StatusOK, response)
	return nil
}

func (buffered *bufferedSink) committed() bool { return buffered.exchange.headerSent }

func (buffered *bufferedSink) resumable() bool { return false }

func (buffered *bufferedSink) reset() { buffered.text.Reset() }

func (buffered *bufferedSink) fail(*fault.Fault) bool { return false }
