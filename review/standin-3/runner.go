//go:build review

package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// firstEventTime is the time from the arrival of a stream to its first event, and workTime how
	// long a plain request runs.
	firstEventTime = 150 * time.Millisecond
	workTime       = 15 * time.Millisecond
	// heartbeat is the time between two entries of a runner in the store.
	heartbeat = 1200 * time.Millisecond
	// sendBuffer is the size of the buffer for a stream in the kernel, in bytes, of a runner that
	// cuts off what remains unread.
	sendBuffer = 16 << 10
	// modelName is the only model.
	modelName = "daka510000"
	// defaultAnswerBytes is the usual size of a plain answer.
	defaultAnswerBytes = 800
	defaultVersion     = "v1"
)

// runner is a sound runner. One with a model runs streams, which have neither a length nor chunks
// and end with their connection, and another one plain requests.
type runner struct {
	id, service, address string
	store                *store
	born                 int64
	models               []string
	// version is that of its software, defaultVersion if it is empty.
	version string
	// patience is how long a stream may remain unread until the runner cuts it off, and eventBytes
	// the size of an event's text.
	patience   time.Duration
	eventBytes int
	// answerBytes is the size of a plain answer, defaultAnswerBytes if it is 0.
	answerBytes int

	mutex  sync.Mutex
	active int
	// cutOff counts the streams that were cut off as unread.
	cutOff int
	// ran holds the ids of the requests that ran.
	ran map[string]int
}

// start serves the runner at a free port of an IP address, and writes its entry.
func (runner *runner) start(ip string) {
	runner.ran, runner.born = make(map[string]int), time.Now().UnixMilli()
	runner.address, _ = serve(ip, runner)
	note("runner %s: serves at %s, born %d, models %v", runner.id, runner.address, runner.born, runner.models)
	go runner.beat()
}

// beat writes the runner's entry, again and again.
func (runner *runner) beat() {
	for ; ; time.Sleep(heartbeat) {
		runner.store.put(topicServers, runner.id, map[string]any{
			"service": runner.service, "address": runner.address, "zone": "hall-a", "version": cmp.Or(runner.version, defaultVersion), "slots": 64, "state": "ready",
			"cold_remaining_ms": 0, "sequence": time.Now().UnixMilli() - runner.born, "born": runner.born,
		})
	}
}

// ServeHTTP implements http.Handler.
func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(headerAttempt)
	if id != "" {
		writer.Header().Set(headerAttempt, id)
	}
	if expected := request.Header.Get(headerExpected); expected != "" && expected != runner.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	seal := fmt.Sprintf("%s.%s.%d", runner.id, id, runner.born)
	switch {
	case request.URL.Path == "/api/report":
		runner.report(writer)
	case request.URL.Path == "/api/order":
		// It holds all that the cases ask for.
		writer.WriteHeader(http.StatusOK)
	case id == "":
		writer.Header().Set(headerNotExecuted, "1")
		writer.WriteHeader(http.StatusBadRequest)
	case len(runner.models) == 0:
		runner.run(writer, id, seal)
	case request.Header.Get(headerModel) != modelName:
		writer.WriteHeader(http.StatusMisdirectedRequest)
	default:
		runner.stream(writer, request, id, seal)
	}
}

// report answers with the runner's report.
func (runner *runner) report(writer http.ResponseWriter) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	models := []any{}
	for _, model := range runner.models {
		models = append(models, map[string]any{"name": model, "version": 1, "adapters": []string{}})
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"stage": "unified", "models": models, "pending": []string{}, "busy": false, "sequence": 0, "queued_count": 0, "active_count": runner.active,
		"kv_used_count": runner.active * 200, "kv_total_count": 122011, "handle_count": 0, "state": "ready", "born": runner.born,
	})
}

// count counts a request that begins, or one that ends if it has no id.
func (runner *runner) count(id string) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	if id == "" {
		runner.active--
		return
	}
	runner.active++
	runner.ran[id]++
}

// hasRun reports whether a request has run.
func (runner *runner) hasRun(id string) bool {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return runner.ran[id] > 0
}

// run runs a plain request.
func (runner *runner) run(writer http.ResponseWriter, id, seal string) {
	runner.count(id)
	defer runner.count("")
	time.Sleep(workTime)
	body := strings.Repeat("a", cmp.Or(runner.answerBytes, defaultAnswerBytes))
	writer.Header().Set(headerSeal, seal)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(writer, body)
}

// event returns an event of a stream.
func (runner *runner) event(number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.Repeat("t", runner.eventBytes))
}

// stream answers with events. The request says in its path how many and how far apart they are:
// /ROUTE/EVENTS/MILLISECONDS. A stream that remains unread for the runner's patience is cut off.
func (runner *runner) stream(writer http.ResponseWriter, request *http.Request, id, seal string) {
	var route string
	var events, gap int
	if _, err := fmt.Sscanf(request.URL.Path, "/%4s/%d/%d", &route, &events, &gap); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	last, _ := strconv.Atoi(request.Header.Get(headerLastEvent))
	time.Sleep(firstEventTime)
	runner.count(id)
	defer runner.count("")
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBuffer)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", headerAttempt, id, headerSeal, seal)
	for number := last + 1; number <= events; number++ {
		_ = conn.SetWriteDeadline(time.Now().Add(runner.patience))
		if written, err := io.WriteString(conn, runner.event(number)); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				note("runner %s: the connection of %s ended after event %d of %d", runner.id, id, number-1, events)
				return
			}
			note("runner %s: cuts off the stream of %s, unread for %v, after event %d of %d and %d bytes of the next one", runner.id, id, runner.patience, number-1, events, written)
			runner.mutex.Lock()
			defer runner.mutex.Unlock()
			runner.cutOff++
			return
		}
		time.Sleep(time.Duration(gap) * time.Millisecond)
	}
	note("runner %s: the stream of %s ended whole with event %d", runner.id, id, events)
}
