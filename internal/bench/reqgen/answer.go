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

// answer is what came back for one request.
type answer struct {
	status     int
	kind       string
	ran        string
	retryAfter time.Duration
	requestID  string
	adapter    string
	version    string
	text       []string
	complete   bool
	err        error
	sent       time.Time
	firstToken time.Duration
	gaps       []time.Duration
}

// refused reports whether the answer says that the work did not run.
func (answer *answer) refused() bool { return answer.ran == "not-run" }

type errorBody struct {
	Error struct {
		Kind       string  `json:"kind"`
		Ran        string  `json:"ran"`
		RetryAfter float64 `json:"retry-after"`
	} `json:"error"`
}

func (answer *answer) readError(text []byte) {
	var body errorBody
	if err := json.Unmarshal(text, &body); err != nil {
		answer.err = err
		return
	}
	answer.kind, answer.ran = body.Error.Kind, body.Error.Ran
	answer.retryAfter = time.Duration(body.Error.RetryAfter * float64(time.Second))
}

func readAnswer(response *http.Response, sent time.Time) *answer {
	answer := &answer{
		sent:      sent,
		status:    response.StatusCode,
		requestID: response.Header.Get("X-Request-Id"),
		adapter:   response.Header.Get("X-Adapter"),
		version:   response.Header.Get("X-Adapter-Version"),
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		answer.readEvents(response.Body, sent)
		return answer
	}
	text, err := io.ReadAll(response.Body)
	answer.firstToken = time.Since(sent)
	if err != nil {
		answer.err = err
		return answer
	}
	if response.StatusCode >= http.StatusBadRequest {
		answer.readError(text)
		return answer
	}
	answer.text = []string{string(text)}
	answer.complete = true
	return answer
}

type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (answer *answer) readEvents(body io.Reader, sent time.Time) {
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
			answer.complete = true
			return
		}
		if event == "error" {
			answer.readError([]byte(data))
			return
		}
		last = answer.readChunk(data, sent, last)
	}
	answer.err = lines.Err()
}

func (answer *answer) readChunk(data string, sent, last time.Time) time.Time {
	var chunk chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		answer.err = err
		return last
	}
	for _, choice := range chunk.Choices {
		text := choice.Text + choice.Delta.Content
		if text == "" {
			continue
		}
		now := time.Now()
		if len(answer.text) == 0 {
			answer.firstToken = now.Sub(sent)
		} else {
			answer.gaps = append(answer.gaps, now.Sub(last))
		}
		answer.text = append(answer.text, text)
		last = now
	}
	return last
}

func versionNumber(text string) uint32 {
	number, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0
	}
	return uint32(number)
}
