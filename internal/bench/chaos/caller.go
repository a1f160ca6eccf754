package chaos

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/engsim"
)

// Answer is what a caller got for one sending of a request.
type Answer struct {
	Request Request
	Copy    int
	Entry   string
	Sent    time.Time
	Took    time.Duration

	Status    int
	Kind      string
	Ran       string
	RequestID string
	Adapter   string
	Version   string
	Text      string
	Finish    string
	// Complete says that the whole answer came.
	Complete bool
	// Err says how the connection broke.
	Err error
	// Disturbed says that the connection's breaking is the schedule's doing.
	Disturbed bool
	// Silent says that no final answer came in time.
	Silent bool
}

// String describes the answer.
func (answer *Answer) String() string {
	return fmt.Sprintf("request %d (%s, stream %v) copy %d through %s: status %d kind %q ran %q id %s adapter %s@%s complete %v text %d bytes error %v after %s",
		answer.Request.Index, answer.Request.Kind, answer.Request.Stream, answer.Copy, answer.Entry, answer.Status, answer.Kind, answer.Ran,
		answer.RequestID, answer.Adapter, answer.Version, answer.Complete, len(answer.Text), answer.Err, answer.Took.Round(time.Millisecond))
}

// answerMargin is what a final answer may take beyond the request limit.
const answerMargin = 2 * time.Second

// prompt returns the text of a request.
func (request Request) prompt() string {
	return strings.TrimSpace(strings.Repeat(fmt.Sprintf("word%d ", request.Index), request.Words))
}

// sendAll sends all requests at their times and waits for the answers.
func (world *world) sendAll(ctx context.Context) {
	var group sync.WaitGroup
	for _, request := range world.schedule.Requests {
		for copied, delay := range append([]time.Duration{0}, request.Copies...) {
			group.Add(1)
			go func() {
				defer group.Done()
				if pause(ctx, time.Until(world.begin.Add(request.At+delay))) == nil {
					world.send(ctx, request, copied)
				}
			}()
		}
	}
	group.Wait()
}

// entryFor returns the entry instance for a sending, as a load balancer does
// that leaves out instances that are not ready.
func (world *world) entryFor(request Request, copied int) *process {
	for offset := range world.entries {
		entry := world.entries[(request.Entry+copied+offset)%len(world.entries)]
		if entry.ready() {
			return entry
		}
	}
	return nil
}

func (world *world) send(ctx context.Context, request Request, copied int) {
	entry := world.entryFor(request, copied)
	if entry == nil {
		return
	}
	before := entry.disturbances()
	answer := &Answer{Request: request, Copy: copied, Entry: entry.name, Sent: time.Now()}
	limit := requestLimit + answerMargin
	sendCtx, cancel := context.WithTimeout(ctx, limit+maxPause)
	defer cancel()
	world.exchange(sendCtx, entry, answer)
	answer.Took = time.Since(answer.Sent)
	answer.Disturbed = entry.disturbances() != before
	allowed := limit
	if answer.Disturbed {
		allowed += maxPause
	}
	answer.Silent = answer.Took > allowed || answer.Took >= limit+maxPause
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.answers = append(world.answers, answer)
}

// maxPause is the longest time for which a failure holds an entry instance.
const maxPause = 6 * time.Second

// disturbances counts what broke or held callers' connections.
func (process *process) disturbances() int {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.ended
}

func (process *process) disturbCallers() {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.ended++
}

func (world *world) exchange(ctx context.Context, entry *process, answer *Answer) {
	request, err := world.httpRequest(ctx, entry.callers, answer.Request)
	if err != nil {
		answer.Err = err
		return
	}
	response, err := world.client.Do(request)
	if err != nil {
		answer.Err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	answer.read(response)
}

func (world *world) httpRequest(ctx context.Context, address string, request Request) (*http.Request, error) {
	method, path, body := request.encode()
	sent, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// A request without GetBody is never repeated by the client itself.
	sent.GetBody = nil
	key := world.keys.keys[request.Organisation]
	if request.Withdrawn {
		key = world.keys.withdrawn
	}
	sent.Header.Set("Authorization", "Bearer "+key)
	sent.Header.Set("Content-Type", "application/json")
	if request.Kind.Keyed() {
		sent.Header.Set("Idempotency-Key", fmt.Sprintf("request-%d", request.Index))
	}
	return sent, nil
}

// encode returns method, path and body of a request.
func (request Request) encode() (method, path string, body []byte) {
	if !request.Kind.Model() {
		method = http.MethodPost
		if request.Kind == Stock {
			return http.MethodGet, "/services/" + plainService + request.path(), nil
		}
		return method, "/services/" + plainService + request.path(), request.orderBody()
	}
	name := adapterName(request.Organisation, request.Adapter)
	if request.Kind == Foreign {
		name = adapterName((request.Organisation+1)%organisations, request.Adapter)
	}
	if request.Version > 0 {
		name += "@" + strconv.FormatUint(uint64(request.Version), 10)
	}
	fields := map[string]any{"model": name, "max_tokens": request.maxTokens(), "stream": request.Stream}
	path = "/v1/completions"
	if request.Kind == Chat {
		path = "/v1/chat/completions"
		fields["messages"] = request.messages()
	} else {
		fields["prompt"] = request.prompt()
	}
	// A map of strings, numbers and messages always encodes.
	body, _ = json.Marshal(fields)
	return http.MethodPost, path, body
}

func (request Request) messages() []engsim.Message {
	return []engsim.Message{{Role: "user", Content: request.prompt()}}
}

func (request Request) orderBody() []byte {
	return fmt.Appendf(nil, `{"quantity":%d}`, request.Words)
}

type errorBody struct {
	Error struct {
		Kind string `json:"kind"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

func (answer *Answer) read(response *http.Response) {
	answer.Status = response.StatusCode
	answer.RequestID = response.Header.Get("X-Request-Id")
	answer.Adapter, answer.Version = response.Header.Get("X-Adapter"), response.Header.Get("X-Adapter-Version")
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		answer.readEvents(response.Body)
		return
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		answer.Err = err
		return
	}
	if response.StatusCode >= http.StatusBadRequest {
		answer.readError(data)
		return
	}
	answer.Complete = true
	if answer.Request.Kind.Model() {
		answer.readChunk(data)
		return
	}
	answer.Text = string(data)
}

func (answer *Answer) readError(data []byte) {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Kind == "" {
		answer.Err = fmt.Errorf("error body %q", data)
		return
	}
	answer.Kind, answer.Ran = body.Error.Kind, body.Error.Ran
}

func (answer *Answer) readChunk(data []byte) {
	var chunk struct {
		Choices []struct {
			Text         string `json:"text"`
			FinishReason string `json:"finish_reason"`
			Delta        struct {
				Content string `json:"content"`
			} `json:"delta"`
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		answer.Err = err
		return
	}
	for _, choice := range chunk.Choices {
		answer.Text += choice.Text + choice.Delta.Content + choice.Message.Content
		if choice.FinishReason != "" {
			answer.Finish = choice.FinishReason
		}
	}
}

func (answer *Answer) readEvents(body io.Reader) {
	lines := bufio.NewScanner(body)
	event := ""
	for lines.Scan() {
		line := lines.Text()
		if name, ok := strings.CutPrefix(line, "event:"); ok {
			event = strings.TrimSpace(name)
		}
		data, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		switch {
		case data == "[DONE]":
			answer.Complete = true
			return
		case event == "error":
			answer.readError([]byte(data))
			return
		default:
			answer.readChunk([]byte(data))
		}
	}
	if answer.Err = lines.Err(); answer.Err == nil {
		answer.Err = io.ErrUnexpectedEOF
	}
}
