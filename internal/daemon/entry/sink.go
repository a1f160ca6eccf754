package entry

import (
	"net/http"
	"strings"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// sink takes the events of a request in order and forms the caller's answer.
type sink interface {
	// start begins an answer. It is called again when the work runs anew.
	start(started *wirepb.Started) error
	chunk(data []byte) error
	finish(done *wirepb.Done) error
	// committed reports whether the caller has received a part of the answer.
	committed() bool
	// resumable reports whether the answer may continue by token index.
	resumable() bool
	// reset discards an answer that is not committed.
	reset()
	// fail ends a committed answer with a fault that the caller can read, and
	// reports whether the sink has a form for that.
	fail(err *fault.Fault) bool
}

// choice is one answer in the public API's form.
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

// completion is a whole answer or one event of a streamed one.
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
		Created: exchange.arrived.Unix(),
		Model:   modelName(exchange.adapter, exchange.version),
		Choices: []choice{},
	}
}

// wholeSink collects an answer and sends it in one JSON object.
type wholeSink struct {
	exchange *exchange
	chat     bool
	text     strings.Builder
}

func (whole *wholeSink) start(*wirepb.Started) error { return nil }

func (whole *wholeSink) chunk(data []byte) error {
	whole.text.Write(data)
	return nil
}

func (whole *wholeSink) finish(done *wirepb.Done) error {
	text := whole.text.String()
	answer := whole.exchange.envelope("text_completion")
	item := choice{Text: &text, FinishReason: finishReason(done)}
	if whole.chat {
		answer.Object = "chat.completion"
		item.Text, item.Message = nil, &message{Role: "assistant", Content: &text}
	}
	answer.Choices = append(answer.Choices, item)
	answer.Usage = usageOf(done)
	whole.exchange.writeJSON(http.StatusOK, answer)
	return nil
}

func (whole *wholeSink) committed() bool { return whole.exchange.begun }

func (whole *wholeSink) resumable() bool { return false }

func (whole *wholeSink) reset() { whole.text.Reset() }

func (whole *wholeSink) fail(*fault.Fault) bool { return false }
