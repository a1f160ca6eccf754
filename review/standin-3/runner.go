//go:build review

package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// adapterTime is how long the load of an adapter takes, modelTime that of the model.
	adapterTime = 250 * time.Millisecond
	modelTime   = 720 * time.Millisecond
	// firstEventTime is the time from the arrival of a stream to its first event.
	firstEventTime = 150 * time.Millisecond
	// heartbeat is the time between two entries of a runner in the store.
	heartbeat = 1200 * time.Millisecond
	// modelName is the only model.
	modelName = "daka510000"
)

// runner is one incarnation of a runner. It runs requests, and where it has adapter slots also
// orders.
type runner struct {
	id, service, address string
	adapterSlots         int
	// unframed means that its streams have neither a length nor chunks.
	unframed bool
	store    *store
	server   *http.Server
	born     int64
	// onOrder is called with each order, before it is carried out. If it returns true, the
	// order gets no answer.
	onOrder func(order order) (unanswered bool)
	// answerBytes is the size of an answer of a plain runner.
	answerBytes int

	mutex             sync.Mutex
	models            []string
	adapters, pending []string
	busy              bool
	sequence, fence   int64
	leaving, ended    bool
	active            int
	// hijacked are the connections of unframed streams that run.
	hijacked map[net.Conn]bool
	// ran holds the ids of the requests that ran.
	ran map[string]int
	// overloaded is called when an order makes the runner load more than it holds.
	overloaded func(order order, held int)
}

// order is an order to a runner.
type order struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Precondition *int64 `json:"precondition"`
	Holder       string `json:"holder"`
	FencingToken int64  `json:"fencing_token"`
	// expected is the X-Jacinthfront-Expected-Instance of the order.
	expected string
}

// String describes the order for the record.
func (order order) String() string {
	precondition := "none"
	if order.Precondition != nil {
		precondition = strconv.FormatInt(*order.Precondition, 10)
	}
	return fmt.Sprintf("%s %s/%s, precondition %s, holder %s, fencing token %d, expected instance %s",
		order.Operation, order.Model, order.Adapter, precondition, order.Holder, order.FencingToken, order.expected)
}

// start serves the runner at an IP:port, and writes its entry.
func (runner *runner) start(address string) {
	listener, err := net.Listen("tcp", address)
	for until := time.Now().Add(2 * time.Second); err != nil && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
		listener, err = net.Listen("tcp", address)
	}
	if err != nil {
		cannotRun("runner %s: %v", runner.id, err)
	}
	runner.address, runner.born = listener.Addr().String(), time.Now().UnixMilli()
	runner.hijacked, runner.ran = make(map[net.Conn]bool), make(map[string]int)
	runner.server = &http.Server{Handler: runner}
	go func() { _ = runner.server.Serve(listener) }()
	note("runner %s: serves at %s, born %d, models %v", runner.id, runner.address, runner.born, runner.models)
	go runner.beat()
}

// beat writes the runner's entry until it leaves or ends.
func (runner *runner) beat() {
	for ; ; time.Sleep(heartbeat) {
		runner.mutex.Lock()
		if runner.leaving || runner.ended {
			runner.mutex.Unlock()
			return
		}
		entry := map[string]any{
			"service": runner.service, "address": runner.address, "zone": "hall-a", "version": "v1", "slots": 64, "state": "ready",
			"cold_remaining_ms": 0, "sequence": time.Now().UnixMilli() - runner.born, "born": runner.born,
		}
		runner.store.put(topicServers, runner.id, entry)
		runner.mutex.Unlock()
	}
}

// leave makes the runner leave without reporting that it drains: its entry is removed, and it
// says so in its answers.
func (runner *runner) leave() {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.leaving = true
	runner.store.remove(topicServers, runner.id)
	note("runner %s: leaves; its entry is removed, it serves on, and its answers have Server-Leaving: 1", runner.id)
}

// end ends the runner's process: the kernel closes its sockets.
func (runner *runner) end(why string) {
	runner.mutex.Lock()
	runner.ended = true
	note("runner %s: ends (%s), with %d streams at work", runner.id, why, runner.active)
	for conn := range runner.hijacked {
		_ = conn.Close()
	}
	runner.mutex.Unlock()
	_ = runner.server.Close()
}

// ServeHTTP implements http.Handler.
func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	if id := request.Header.Get(headerAttempt); id != "" {
		header.Set(headerAttempt, id)
	}
	runner.mutex.Lock()
	if runner.leaving {
		header.Set("Server-Leaving", "1")
	}
	runner.mutex.Unlock()
	if expected := request.Header.Get(headerExpected); expected != "" && expected != runner.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/api/report":
		runner.report(writer)
	case "/api/order":
		runner.takeOrder(writer, request)
	default:
		_, _ = io.Copy(io.Discard, request.Body)
		runner.run(writer, request)
	}
}

// report answers with the runner's report.
func (runner *runner) report(writer http.ResponseWriter) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	models := []any{}
	for _, model := range runner.models {
		named := []string{}
		for _, adapter := range runner.adapters {
			named = append(named, adapter+"@1")
		}
		models = append(models, map[string]any{"name": model, "version": 1, "adapters": named})
	}
	pending := []string{}
	for _, adapter := range runner.pending {
		pending = append(pending, modelName+"/"+adapter+"@1")
	}
	state := "ready"
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"stage": "unified", "models": models, "pending": pending, "busy": runner.busy, "sequence": runner.sequence,
		"queued_count": 0, "active_count": runner.active, "kv_used_count": runner.active * 200, "kv_total_count": 122011, "handle_count": 0,
		"state": state, "born": runner.born,
	})
}

// takeOrder takes an order.
func (runner *runner) takeOrder(writer http.ResponseWriter, request *http.Request) {
	var taken order
	if err := json.NewDecoder(request.Body).Decode(&taken); err != nil || taken.Holder == "" || taken.FencingToken == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	taken.expected = request.Header.Get(headerExpected)
	if runner.onOrder != nil && runner.onOrder(taken) {
		// The caller gets no answer, and gives up.
		<-request.Context().Done()
		return
	}
	status := runner.carryOut(taken)
	note("runner %s: order %v: %d", runner.id, taken, status)
	writer.WriteHeader(status)
}

// carryOut carries out an order and returns its answer.
func (runner *runner) carryOut(taken order) int {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	switch {
	case runner.ended:
		return 0
	case taken.expected != "" && taken.expected != runner.id:
		return http.StatusMisdirectedRequest
	case taken.FencingToken < runner.fence:
		return http.StatusPreconditionFailed
	}
	runner.fence = taken.FencingToken
	held := slices.Contains(runner.models, taken.Model)
	if taken.Adapter != "" {
		held = held && slices.Contains(runner.adapters, taken.Adapter)
	}
	switch {
	case held == (taken.Operation == "load"):
		return http.StatusOK
	case runner.busy, taken.Precondition != nil && *taken.Precondition != runner.sequence:
		return http.StatusConflict
	case taken.Adapter != "" && !slices.Contains(runner.models, taken.Model):
		return http.StatusBadRequest
	}
	runner.sequence++
	switch {
	case taken.Operation == "unload":
		runner.adapters = slices.DeleteFunc(runner.adapters, func(name string) bool { return name == taken.Adapter })
		return http.StatusOK
	case taken.Adapter == "":
		runner.busy = true
		time.AfterFunc(modelTime, func() {
			runner.mutex.Lock()
			defer runner.mutex.Unlock()
			runner.busy, runner.models = false, append(runner.models, taken.Model)
		})
		return http.StatusAccepted
	}
	if holds := len(runner.adapters) + len(runner.pending); holds >= runner.adapterSlots && runner.overloaded != nil {
		go runner.overloaded(taken, holds)
	}
	runner.pending = append(runner.pending, taken.Adapter)
	time.AfterFunc(adapterTime, func() {
		runner.mutex.Lock()
		defer runner.mutex.Unlock()
		runner.pending = slices.DeleteFunc(runner.pending, func(name string) bool { return name == taken.Adapter })
		runner.adapters = append(runner.adapters, taken.Adapter)
	})
	return http.StatusAccepted
}

// holds reports whether the runner holds what a request names in its model header.
func (runner *runner) holds(model string) bool {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	name, adapter, _ := cutModel(model)
	return slices.Contains(runner.models, name) && (adapter == "" || slices.Contains(runner.adapters, adapter))
}

// cutModel splits MODEL or MODEL/ADAPTER.
func cutModel(text string) (model, adapter string, ok bool) {
	for i := range text {
		if text[i] == '/' {
			return text[:i], text[i+1:], true
		}
	}
	return text, "", false
}

// run runs a request.
func (runner *runner) run(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(headerAttempt)
	if id == "" {
		writer.Header().Set(headerNotExecuted, "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	seal := fmt.Sprintf("%s.%s.%d", runner.id, id, runner.born)
	if runner.adapterSlots == 0 {
		runner.count(id, 1)
		defer runner.count("", -1)
		time.Sleep(15 * time.Millisecond)
		writer.Header().Set(headerSeal, seal)
		body := make([]byte, cmp.Or(runner.answerBytes, 800))
		for i := range body {
			body[i] = 'a' + byte(i%26)
		}
		writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = writer.Write(body)
		return
	}
	if !runner.holds(request.Header.Get(headerModel)) {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	runner.stream(writer, request, id, seal)
}

// count counts a request that begins or ends.
func (runner *runner) count(id string, change int) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.active += change
	if id != "" {
		runner.ran[id]++
	}
}

// event is an event of a stream.
func event(number int) string {
	return fmt.Sprintf("id: %d\ndata: tokens of event %d\n\n", number, number)
}

// stream answers with events. The request says in its path how many and how far apart they are:
// /note/EVENTS/MILLISECONDS.
func (runner *runner) stream(writer http.ResponseWriter, request *http.Request, id, seal string) {
	var events, gap int
	var prefix string
	if _, err := fmt.Sscanf(request.URL.Path, "/%4s/%d/%d", &prefix, &events, &gap); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	last, _ := strconv.Atoi(request.Header.Get(headerLastEvent))
	time.Sleep(firstEventTime)
	runner.count(id, 1)
	defer runner.count("", -1)
	runner.mutex.Lock()
	leaving := runner.leaving
	runner.mutex.Unlock()
	if leaving {
		writer.Header().Set("Server-Leaving", "1")
	}
	if !runner.unframed {
		writer.Header().Set(headerSeal, seal)
		writer.Header().Set("Content-Type", "text/event-stream")
		for number := last + 1; number <= events; number++ {
			if _, err := io.WriteString(writer, event(number)); err != nil {
				return
			}
			_ = http.NewResponseController(writer).Flush()
			time.Sleep(time.Duration(gap) * time.Millisecond)
		}
		return
	}
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	runner.mutex.Lock()
	runner.hijacked[conn] = true
	runner.mutex.Unlock()
	defer func() {
		runner.mutex.Lock()
		defer runner.mutex.Unlock()
		delete(runner.hijacked, conn)
	}()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n", headerAttempt, id, headerSeal, seal)
	if leaving {
		head += "Server-Leaving: 1\r\n"
	}
	_, _ = io.WriteString(conn, head+"\r\n")
	for number := last + 1; number <= events; number++ {
		runner.mutex.Lock()
		ended := runner.ended
		if !ended {
			_, err = io.WriteString(conn, event(number))
		}
		runner.mutex.Unlock()
		if ended || err != nil {
			note("runner %s: the stream of %s was cut after event %d of %d", runner.id, id, number-1, events)
			return
		}
		time.Sleep(time.Duration(gap) * time.Millisecond)
	}
	note("runner %s: the stream of %s ended whole with event %d", runner.id, id, events)
}
