package entry

import (
	"encoding/json"
	"net/http"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// streamSink sends the response as server-sent events while it arrives.
type streamSink struct {
	exchange     *exchange
	chat         bool
	includeUsage bool
	roleSent     bool
}

// start sends nothing: until the first token the work may move to another
// upstream, and a refusal keeps its status.
func (stream *streamSink) start(*wirepb.Started) error { return nil }

func (stream *streamSink) chunk(data []byte) error {
	text := string(data)
	return stream.send(stream.event(choice{}, &text))
}

func (stream *streamSink) finish(done *wirepb.Done) error {
	if err := stream.send(stream.event(choice{FinishReason: finishReason(done)}, nil)); err != nil {
		return err
	}
	if stream.includeUsage {
		last := stream.exchange.envelope(stream.object())
		last.Usage = usageOf(done)
		if err := stream.send(last); err != nil {
			return err
		}
	}
	return stream.write([]byte("data: [DONE]\n\n"))
}

func (stream *streamSink) object() string {
	if stream.chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

func (stream *streamSink) event(item choice, text *string) completion {
	response := stream.exchange.envelope(stream.object())
	switch {
	case !stream.chat && text == nil:
		empty := ""
		item.Text = &empty
	case !stream.chat:
		item.Text = text
	default:
		item.Delta = &message{Content: text}
		if !stream.roleSent {
			item.Delta.Role, stream.roleSent = "assistant", true
		}
	}
	response.Choices = append(response.Choices, item)
	return response
}

func (stream *streamSink) send(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return stream.write(append(append([]byte("data: "), data...), "\n\n"...))
}

func (stream *streamSink) write(data []byte) error {
	if !stream.exchange.headerSent {
		stream.exchange.writer.Header().Set("Cache-Control", "no-cache")
		stream.exchange.writeHeader(http.StatusOK, "text/event-stream")
	}
	return stream.exchange.write(data, true)
}

func (stream *streamSink) committed() bool { return stream.exchange.headerSent }

func (stream *streamSink) resumable() bool { return true }

func (stream *streamSink) reset() {}

// fail ends the stream with an event "error" and without [DONE].
func (stream *streamSink) fail(err *fault.Fault) bool {
	data, marshalErr := json.Marshal(stream.exchange.describe(err))
	if marshalErr != nil {
		return false
	}
	return stream.write(append(append([]byte("event: error\ndata: "), data...), "\n\n"...)) == nil
}
