package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"

	"github.com/zeebo/xxh3"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// bytesPerToken is the usual mean for English text in subword vocabularies.
const bytesPerToken = 4

// prefixBytes is the length of the prompt prefix that is hashed for routing: long
// enough to tell system prompts apart, short enough not to reach the part that
// varies.
const prefixBytes = 256

// maxTokensLimit bounds max_tokens, so that sums of costs cannot overflow.
const maxTokensLimit = 1 << 24

// prompt is the validated body of a request to a model endpoint.
type prompt struct {
	model        string
	text         string
	stream       bool
	includeUsage bool
	maxTokens    conf.Tokens
	fields       map[string]json.RawMessage
}

// completionBody has the fields of the public API that are checked. All others
// are forwarded unchecked.
type completionBody struct {
	Model               *string          `json:"model"`
	Prompt              json.RawMessage  `json:"prompt"`
	Messages            []messageBody    `json:"messages"`
	Stream              bool             `json:"stream"`
	StreamOptions       *streamOptions   `json:"stream_options"`
	MaxTokens           *int64           `json:"max_tokens"`
	MaxCompletionTokens *int64           `json:"max_completion_tokens"`
	N                   *int64           `json:"n"`
	BestOf              *int64           `json:"best_of"`
	Echo                bool             `json:"echo"`
	Temperature         *float64         `json:"temperature"`
	TopP                *float64         `json:"top_p"`
	Seed                *int64           `json:"seed"`
	User                *string          `json:"user"`
	Stop                *json.RawMessage `json:"stop"`
}

// checkedFields are the exact names of the fields of completionBody.
var checkedFields = []string{
	"model", "prompt", "messages", "stream", "stream_options", "max_tokens", "max_completion_tokens", "n",
	"best_of", "echo", "temperature", "top_p", "seed", "user", "stop",
}

// checkFieldNames refuses names that differ from a checked name in case only,
// because an upstream might take them for the checked field.
func checkFieldNames(fields map[string]json.RawMessage) *fault.Fault {
	for name := range fields {
		for _, checked := range checkedFields {
			if name != checked && strings.EqualFold(name, checked) {
				return badRequest("the name of field %s is not in lower case; write it so", checked)
			}
		}
	}
	return nil
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type messageBody struct {
	Role    *string         `json:"role"`
	Content json.RawMessage `json:"content"`
}

func badRequest(format string, args ...any) *fault.Fault {
	return fault.New(fault.BadRequest, fault.NotRun, format, args...)
}

// parsePrompt validates the body of a chat or text completion.
func parsePrompt(data []byte, chat bool) (*prompt, *fault.Fault) {
	var body completionBody
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil || fields == nil {
		return nil, badRequest("the body is not a JSON object; send one with the fields of the public API")
	}
	if fault := checkFieldNames(fields); fault != nil {
		return nil, fault
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, badRequest("the field %s has the wrong type; see the public API for its type", mistypedField(err))
	}
	result := &prompt{fields: fields, stream: body.Stream}
	result.includeUsage = body.StreamOptions != nil && body.StreamOptions.IncludeUsage
	if body.Model == nil || *body.Model == "" {
		return nil, badRequest("the field model is missing; set it to ADAPTER or ADAPTER@VERSION")
	}
	result.model = *body.Model
	if body.N != nil && *body.N != 1 || body.BestOf != nil && *body.BestOf != 1 || body.Echo {
		return nil, badRequest("only one answer without echo is served; leave out n, best_of and echo")
	}
	if fault := result.setMaxTokens(&body); fault != nil {
		return nil, fault
	}
	var fault *fault.Fault
	if chat {
		result.text, fault = chatText(body.Messages)
	} else {
		result.text, fault = promptText(body.Prompt)
	}
	return result, fault
}

func mistypedField(err error) string {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		return wrong.Field
	}
	return "(unknown)"
}

func (prompt *prompt) setMaxTokens(body *completionBody) *fault.Fault {
	limit := body.MaxTokens
	if limit == nil {
		limit = body.MaxCompletionTokens
	}
	if limit == nil {
		return nil
	}
	if *limit < 1 || *limit > maxTokensLimit {
		return badRequest("the field max_tokens is out of range; send 1 to %d", maxTokensLimit)
	}
	prompt.maxTokens = conf.Tokens(*limit)
	return nil
}

// chatText joins the roles and contents of the messages, one a line, in the form
// "role: content". A shorter form would charge fewer tokens than engines count.
func chatText(messages []messageBody) (string, *fault.Fault) {
	if len(messages) == 0 {
		return "", badRequest("the field messages is missing or empty; send at least one message")
	}
	var text strings.Builder
	for index, message := range messages {
		if message.Role == nil || *message.Role == "" {
			return "", badRequest("messages[%d].role is missing; set it to system, user or assistant", index)
		}
		content, ok := contentText(message.Content)
		if !ok {
			return "", badRequest("messages[%d].content is neither a string nor a list of text parts; send one of them", index)
		}
		text.WriteString(*message.Role + ": ")
		text.WriteString(content)
		text.WriteByte('\n')
	}
	return text.String(), nil
}

func contentText(raw json.RawMessage) (string, bool) {
	var text string
	if isNull(raw) {
		return "", false
	}
	if json.Unmarshal(raw, &text) == nil {
		return text, true
	}
	var parts []struct {
		Type string  `json:"type"`
		Text *string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	for _, part := range parts {
		if part.Type != "text" || part.Text == nil {
			return "", false
		}
		text += *part.Text
	}
	return text, len(parts) > 0
}

func promptText(raw json.RawMessage) (string, *fault.Fault) {
	var text string
	if isNull(raw) || json.Unmarshal(raw, &text) != nil {
		return "", badRequest("the field prompt is missing or no string; send one string")
	}
	return text, nil
}

func isNull(raw json.RawMessage) bool {
	return len(raw) == 0 || bytes.Equal(raw, []byte("null"))
}

// estimateTokens estimates the prompt's length in tokens: the bytes of its text
// divided by bytesPerToken, rounded up, and at least one.
func (prompt *prompt) estimateTokens() conf.Tokens {
	return max(1, conf.Tokens((len(prompt.text)+bytesPerToken-1)/bytesPerToken))
}

// prefixHash hashes the first prefixBytes of the prompt, seeded with the
// adapter's hash.
func (prompt *prompt) prefixHash(adapterHash uint64) uint64 {
	return xxh3.HashStringSeed(prompt.text[:min(len(prompt.text), prefixBytes)], adapterHash)
}

// encode returns the body for the upstream: the caller's fields with the resolved
// model, the limit of tokens that the request is charged for, and streaming
// turned on.
func (prompt *prompt) encode(adapter string, version uint32) ([]byte, *fault.Fault) {
	delete(prompt.fields, "max_completion_tokens")
	delete(prompt.fields, "stream_options")
	for name, value := range map[string]any{"model": modelName(adapter, version), "max_tokens": prompt.maxTokens, "stream": true} {
		raw, err := json.Marshal(value)
		if err != nil {
			return nil, fault.Wrap(err, fault.NotRun)
		}
		prompt.fields[name] = raw
	}
	data, err := json.Marshal(prompt.fields)
	if err != nil {
		return nil, badRequest("the body cannot be encoded again; send plain JSON")
	}
	return data, nil
}
