package reqgen

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// outcome is the response to one request, or the error that took its place.
type outcome struct {
	status int
	// errorKind, execution and retryAfter come from an error response; execution
	// is the field "ran".
	errorKind  string
	execution  string
	retryAfter time.Duration
	requestID  string
	adapter    string
	version    string
	// tokens holds the text of each token, or the body of a response that is no
	// stream.
	tokens []string
	// complete says that the response was received completely.
	complete bool
	err      error
	sent     time.Time
	// firstToken is the time to first token or, for other responses, the response
	// time.
	firstToken     time.Duration
	tokenIntervals []time.Duration
}

// notRun reports whether the response says that the request was not executed.
func (outcome *outcome) notRun() bool { return outcome.execution == "not-run" }

type errorBody struct {
	Error struct {
		Kind       string  `json:"kind"`
		Execution  string  `json:"ran"`
		RetryAfter float64 `json:"retry-after"`
	} `json:"error"`
}

// decodeError reads the body of an error response or the data of an error event.
func (outcome *outcome) decodeError(text []byte) {
	var body errorBody
	if err := json.Unmarshal(text, &body); err != nil {
		outcome.err = err
		return
	}
	outcome.errorKind, outcome.execution = body.Error.Kind, body.Error.Execution
	outcome.retryAfter = time.Duration(body.Error.RetryAfter * float64(time.Second))
}

// readResponse reads a response to its end.
func readResponse(response *http.Response, sent time.Time) *outcome {
	outcome := &outcome{
		sent:      sent,
		status:    response.StatusCode,
		requestID: response.Header.Get("X-Request-Id"),
		adapter:   response.Header.Get("X-Adapter"),
		version:   response.Header.Get("X-Adapter-Version"),
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		outcome.readEvents(response.Body, sent)
		return outcome
	}
	text, err := io.ReadAll(response.Body)
	outcome.firstToken = time.Since(sent)
	if err != nil {
		outcome.err = err
		return outcome
	}
	if response.StatusCode >= http.StatusBadRequest {
		outcome.decodeError(text)
		return outcome
	}
	outcome.tokens = []string{string(text)}
	outcome.complete = true
	return outcome
}

// completionChunk is the data of one event of a streamed completion or chat.
type completionChunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readEvents reads a stream of server-sent events up to its end marker [DONE], an
// error event or the end of the connection.
func (outcome *outcome) readEvents(body io.Reader, sent time.Time) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	event := ""
	last := sent
	for lines.Scan() {
		line := lines.Text()
		if name, ok := strings.CutPrefix(line, "event:"); ok {
			event = strings.TrimSpace(name)
			continue
		}
		data, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			outcome.complete = true
			return
		}
		if event == "error" {
			outcome.decodeError([]byte(data))
			return
		}
		last = outcome.addChunk(data, sent, last)
	}
	outcome.err = lines.Err()
}

// addChunk records the tokens of an event. It returns the time of the latest
// token.
func (outcome *outcome) addChunk(data string, sent, last time.Time) time.Time {
	var chunk completionChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		outcome.err = err
		return last
	}
	for _, choice := range chunk.Choices {
		text := choice.Text + choice.Delta.Content
		if text == "" {
			continue
		}
		now := time.Now()
		if len(outcome.tokens) == 0 {
			outcome.firstToken = now.Sub(sent)
		} else {
			outcome.tokenIntervals = append(outcome.tokenIntervals, now.Sub(last))
		}
		outcome.tokens = append(outcome.tokens, text)
		last = now
	}
	return last
}

// parseVersion returns the version in a response header, or 0 if it is not a
// number.
func parseVersion(text string) uint32 {
	number, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0
	}
	return uint32(number)
}
