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

// Result is the outcome that a caller observed for one copy of a request.
type Result struct {
	Request Request
	// Copy is 0 for the first sending of the request.
	Copy  int
	Entry string
	Sent  time.Time
	Took  time.Duration

	Status int
	// ErrorKind and Ran are the kind and ran fields of an error body.
	ErrorKind string
	Ran       string
	RequestID string
	Adapter   string
	Version   string
	Text      string
	Finish    string
	// Complete says that the whole response arrived.
	Complete bool
	// Err is the error that broke the connection, or says why the response
	// is unreadable.
	Err error
	// EntryDisrupted says that a failure of the schedule ended or paused the entry
	// instance meanwhile, which may break the connection.
	EntryDisrupted bool
	// TimedOut says that no final response arrived in time.
	TimedOut bool
}

// String describes the result.
func (result *Result) String() string {
	return fmt.Sprintf("request %d (%s, stream %v) copy %d through %s: status %d kind %q ran %q id %s adapter %s@%s complete %v text %d bytes error %v after %s",
		result.Request.Index, result.Request.Kind, result.Request.Stream, result.Copy, result.Entry, result.Status, result.ErrorKind, result.Ran,
		result.RequestID, result.Adapter, result.Version, result.Complete, len(result.Text), result.Err, result.Took.Round(time.Millisecond))
}

// responseMargin is the time that a final response may take beyond
// requestTimeout.
const responseMargin = 2 * time.Second

// prompt returns the prompt of a request.
func (request Request) prompt() string {
	return strings.TrimSpace(strings.Repeat(fmt.Sprintf("word%d ", request.Index), request.Words))
}

// sendAll sends all requests and their copies at their times and waits for the
// results.
func (deployment *deployment) sendAll(ctx context.Context) {
	var group sync.WaitGroup
	for _, request := range deployment.schedule.Requests {
		for copyIndex, delay := range append([]time.Duration{0}, request.Copies...) {
			group.Add(1)
			go func() {
				defer group.Done()
				if sleep(ctx, time.Until(deployment.startedAt.Add(request.At+delay))) == nil {
					deployment.send(ctx, request, copyIndex)
				}
			}()
		}
	}
	group.Wait()
}

// entryFor returns the entry instance for a copy of a request. Like a load
// balancer with readiness checks, it leaves out instances that are not ready. It
// returns nil if none is ready.
func (deployment *deployment) entryFor(request Request, copyIndex int) *process {
	for offset := range deployment.entries {
		entry := deployment.entries[(request.Entry+copyIndex+offset)%len(deployment.entries)]
		if entry.ready() {
			return entry
		}
	}
	return nil
}

func (deployment *deployment) send(ctx context.Context, request Request, copyIndex int) {
	entry := deployment.entryFor(request, copyIndex)
	if entry == nil {
		return
	}
	before := entry.disruptionCount()
	result := &Result{Request: request, Copy: copyIndex, Entry: entry.name, Sent: time.Now()}
	limit := requestTimeout + responseMargin
	sendCtx, cancel := context.WithTimeout(ctx, limit+maxDisruption)
	defer cancel()
	deployment.exchange(sendCtx, entry, result)
	result.Took = time.Since(result.Sent)
	result.EntryDisrupted = entry.disruptionCount() != before
	allowed := limit
	if result.EntryDisrupted {
		allowed += maxDisruption
	}
	result.TimedOut = result.Took > allowed || result.Took >= limit+maxDisruption
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	deployment.results = append(deployment.results, result)
}

// maxDisruption bounds the time for which a failure of a generated schedule pauses
// an entry instance.
const maxDisruption = 6 * time.Second

// disruptionCount returns how often a failure killed the process or began or ended
// a pause of it. Each may break callers' connections.
func (process *process) disruptionCount() int {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.disruptions
}

func (process *process) countDisruption() {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.disruptions++
}

func (deployment *deployment) exchange(ctx context.Context, entry *process, result *Result) {
	request, err := deployment.httpRequest(ctx, entry.callerAddress, result.Request)
	if err != nil {
		result.Err = err
		return
	}
	response, err := deployment.client.Do(request)
	if err != nil {
		result.Err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	result.read(response)
}

func (deployment *deployment) httpRequest(ctx context.Context, address string, request Request) (*http.Request, error) {
	method, path, body := request.encode()
	outgoing, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, the HTTP client never repeats a request by itself.
	outgoing.GetBody = nil
	key := deployment.keys.byOrganisation[request.Organisation]
	if request.Withdrawn {
		key = deployment.keys.withdrawn
	}
	outgoing.Header.Set("Authorization", "Bearer "+key)
	outgoing.Header.Set("Content-Type", "application/json")
	if request.Kind.Keyed() {
		outgoing.Header.Set("Idempotency-Key", fmt.Sprintf("request-%d", request.Index))
	}
	return outgoing, nil
}

// encode returns the method, path and body of a request.
func (request Request) encode() (method, path string, body []byte) {
	if !request.Kind.UsesAdapter() {
		method = http.MethodPost
		if request.Kind == StockQuery {
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
	// Encoding cannot fail for a map of strings, numbers and messages.
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

func (result *Result) read(response *http.Response) {
	result.Status = response.StatusCode
	result.RequestID = response.Header.Get("X-Request-Id")
	result.Adapter, result.Version = response.Header.Get("X-Adapter"), response.Header.Get("X-Adapter-Version")
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		result.readEvents(response.Body)
		return
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		result.Err = err
		return
	}
	if response.StatusCode >= http.StatusBadRequest {
		result.readError(data)
		return
	}
	result.Complete = true
	if result.Request.Kind.UsesAdapter() {
		result.readChunk(data)
		return
	}
	result.Text = string(data)
}

func (result *Result) readError(data []byte) {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Kind == "" {
		result.Err = fmt.Errorf("error body %q", data)
		return
	}
	result.ErrorKind, result.Ran = body.Error.Kind, body.Error.Ran
}

func (result *Result) readChunk(data []byte) {
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
		result.Err = err
		return
	}
	for _, choice := range chunk.Choices {
		result.Text += choice.Text + choice.Delta.Content + choice.Message.Content
		if choice.FinishReason != "" {
			result.Finish = choice.FinishReason
		}
	}
}

func (result *Result) readEvents(body io.Reader) {
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
			result.Complete = true
			return
		case event == "error":
			result.readError([]byte(data))
			return
		default:
			result.readChunk([]byte(data))
		}
	}
	if result.Err = lines.Err(); result.Err == nil {
		result.Err = io.ErrUnexpectedEOF
	}
}
