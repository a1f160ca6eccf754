//go:build review

package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Headers of the platform.
const (
	headerAttempt  = "X-Jacinthfront-Attempt-Id"
	headerSeal     = "X-Jacinthfront-Server-Seal"
	headerExpected = "X-Jacinthfront-Expected-Instance"
	headerNotRun   = "X-Jacinthfront-Not-Executed"
	headerModel    = "X-Jacinthfront-Model"
	headerUsage    = "X-Jacinthfront-Token-Usage"
	headerParts    = "X-Jacinthfront-Prompt-Prefix"
	headerDeadline = "X-Jacinthfront-Deadline-Ms"
	headerKey      = "X-Api-Key"
	headerLastID   = "Last-Event-Id"
)

const (
	modelName = "m0"
	// loadTime is how long a runner takes to load a model, adapterTime an adapter.
	loadTime    = 600 * time.Millisecond
	adapterTime = 250 * time.Millisecond
	// exitLimit is the exit code of a runner that was ordered to hold too much.
	exitLimit = 9
	// A request whose path ends with shortSuffix gets a stream of shortEvents.
	shortSuffix = "/short"
	shortEvents = 3
)

// runner is a runner of the platform, a process of its own. It writes what it does to
// standard output, a line each.
type runner struct {
	id           string
	engine       bool
	adapterSlots int
	events       int
	interval     time.Duration
	// prefill is how long a stream's prompt is read before its answer begins.
	prefill time.Duration
	// work is how long a plain request runs.
	work time.Duration
	// unframed means that answers have neither a length nor chunks, and end with their
	// connection.
	unframed bool
	// leaveAfter is how long the runner serves on once it has begun to leave.
	leaveAfter time.Duration
	born       int64

	mutex    sync.Mutex
	models   []string
	adapters []string
	pending  []string
	busy     bool
	sequence int
	fence    int64
	active   int
	// leaving means that the runner leaves, which all its answers say.
	leaving bool
}

// runRunner runs a runner until the process is killed.
func runRunner(arguments []string) {
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	runner := &runner{born: time.Now().UnixMilli()}
	var address string
	var loaded bool
	flags.StringVar(&runner.id, "id", "", "id")
	flags.StringVar(&address, "address", "", "IP:port")
	flags.BoolVar(&runner.engine, "engine", false, "serves streams of a model")
	flags.BoolVar(&loaded, "loaded", false, "holds its model from the start")
	flags.IntVar(&runner.adapterSlots, "adapter-slots", 0, "places for adapters")
	flags.IntVar(&runner.events, "events", 0, "events of a stream")
	flags.DurationVar(&runner.interval, "interval", 0, "time between two events")
	flags.DurationVar(&runner.prefill, "prefill", 0, "time before a stream begins")
	flags.DurationVar(&runner.work, "work", 0, "time of a plain request")
	flags.BoolVar(&runner.unframed, "unframed", false, "answers end with their connection")
	flags.DurationVar(&runner.leaveAfter, "leave-after", 0, "time from SIGUSR1, on which the runner begins to leave, to its exit")
	flags.Int64Var(&runner.born, "born", runner.born, "start, in Unix milliseconds")
	check(flags.Parse(arguments))
	if loaded {
		runner.models = []string{modelName}
	}
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	check(err)
	runner.say("started born=%d", runner.born)
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	go func() {
		<-leave
		runner.mutex.Lock()
		runner.leaving = true
		runner.mutex.Unlock()
		runner.say("leaves, and exits in %v", runner.leaveAfter)
		time.Sleep(runner.leaveAfter)
		runner.say("exits")
		os.Exit(0)
	}()
	check(http.Serve(listener, runner))
}

// say writes a line of what the runner does.
func (runner *runner) say(format string, arguments ...any) {
	fmt.Fprintln(os.Stdout, fmt.Sprintf("runner %s: ", runner.id)+fmt.Sprintf(format, arguments...))
}

// ServeHTTP implements http.Handler.
func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if id := request.Header.Get(headerAttempt); id != "" {
		writer.Header().Set(headerAttempt, id)
	}
	if expected := request.Header.Get(headerExpected); expected != "" && expected != runner.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	runner.sayLeaving(writer.Header())
	switch request.URL.Path {
	case "/api/report":
		runner.report(writer)
	case "/api/order":
		runner.order(writer, request)
	default:
		runner.run(writer, request)
	}
}

func (runner *runner) report(writer http.ResponseWriter) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	models := []any{}
	for _, model := range runner.models {
		models = append(models, map[string]any{"name": model, "version": 1, "adapters": slices.Clone(runner.adapters)})
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"stage": "unified", "models": models, "pending": slices.Clone(runner.pending), "busy": runner.busy, "sequence": runner.sequence,
		"queued_count": 0, "active_count": runner.active, "kv_used_count": 0, "kv_total_count": 100_000, "handle_count": 0,
		"born": runner.born, "state": "ready",
	})
}

// order carries out an order, or refuses it as PROTOCOL.md says.
func (runner *runner) order(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Operation    string `json:"operation"`
		Model        string `json:"model"`
		Adapter      string `json:"adapter"`
		Precondition *int   `json:"precondition"`
		Holder       string `json:"holder"`
		Fence        int64  `json:"fencing_token"`
	}
	if json.NewDecoder(request.Body).Decode(&order) != nil || order.Holder == "" || order.Fence == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	status := runner.accept(order.Operation, order.Model, order.Adapter, order.Precondition, order.Fence)
	precondition := "none"
	if order.Precondition != nil {
		precondition = strconv.Itoa(*order.Precondition)
	}
	runner.say("order %s %s/%s precondition=%s fencing_token=%d: %d, sequence=%d adapters=%v pending=%v",
		order.Operation, order.Model, order.Adapter, precondition, order.Fence, status, runner.sequence, runner.adapters, runner.pending)
	if len(runner.adapters)+len(runner.pending) > runner.adapterSlots {
		runner.say("LIMIT: ordered to hold %d adapters in %d places: the runner crashes", len(runner.adapters)+len(runner.pending), runner.adapterSlots)
		os.Exit(exitLimit)
	}
	writer.WriteHeader(status)
}

// accept decides on an order and begins to carry it out. The mutex is held.
func (runner *runner) accept(operation, model, adapter string, precondition *int, fence int64) int {
	if fence < runner.fence {
		return http.StatusPreconditionFailed
	}
	runner.fence = fence
	if precondition != nil && *precondition != runner.sequence || runner.busy {
		return http.StatusConflict
	}
	name := adapter + "@0"
	switch {
	case adapter == "" && operation == "load":
		if slices.Contains(runner.models, model) {
			return http.StatusOK
		}
		runner.sequence, runner.busy = runner.sequence+1, true
		time.AfterFunc(loadTime, func() {
			runner.mutex.Lock()
			defer runner.mutex.Unlock()
			runner.busy, runner.models = false, append(runner.models, model)
		})
		return http.StatusAccepted
	case adapter == "" || !slices.Contains(runner.models, model):
		return http.StatusBadRequest
	case operation == "unload":
		runner.sequence++
		runner.adapters = slices.DeleteFunc(runner.adapters, func(held string) bool { return held == name })
		return http.StatusOK
	case slices.Contains(runner.adapters, name) || slices.Contains(runner.pending, model+"/"+name):
		return http.StatusOK
	}
	runner.sequence++
	runner.pending = append(runner.pending, model+"/"+name)
	time.AfterFunc(adapterTime, func() {
		runner.mutex.Lock()
		defer runner.mutex.Unlock()
		runner.pending = slices.DeleteFunc(runner.pending, func(held string) bool { return held == model+"/"+name })
		runner.adapters = append(runner.adapters, name)
	})
	return http.StatusAccepted
}

// sayLeaving adds to the head of an answer that the runner leaves, if it does.
func (runner *runner) sayLeaving(header http.Header) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	if runner.leaving {
		header.Set("Server-Leaving", "1")
	}
}

// holds reports whether the runner holds what a request names.
func (runner *runner) holds(wanted string) bool {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	model, adapter, _ := strings.Cut(wanted, "/")
	return slices.Contains(runner.models, model) && (adapter == "" || slices.Contains(runner.adapters, adapter+"@0"))
}

// run runs a request.
func (runner *runner) run(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	id := request.Header.Get(headerAttempt)
	if runner.engine && !runner.holds(request.Header.Get(headerModel)) {
		writer.Header().Set(headerNotRun, "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	runner.countActive(1)
	defer runner.countActive(-1)
	runner.say("runs %s %s %s", id, request.Method, request.RequestURI)
	writer.Header().Set(headerSeal, "seal-"+runner.id)
	if !runner.engine {
		runner.plain(writer, id)
		return
	}
	runner.stream(writer, request, id)
}

// plainText returns the answer to a plain request.
func plainText(id string) string { return strings.Repeat("receipt of "+id+"\n", 40) }

// plain answers a plain request: the first half as soon as it has begun, the rest when it is
// done.
func (runner *runner) plain(writer http.ResponseWriter, id string) {
	send := func(text string) {
		_, _ = io.WriteString(writer, text)
		_ = http.NewResponseController(writer).Flush()
	}
	if runner.unframed {
		conn, err := hijack(writer)
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		send = func(text string) { _, _ = io.WriteString(conn, text) }
	}
	text := plainText(id)
	send(text[:len(text)/2])
	time.Sleep(runner.work)
	send(text[len(text)/2:])
	runner.say("ran %s", id)
}

// hijack returns the connection of a request once it has written the head of an answer that
// ends with it.
func hijack(writer http.ResponseWriter) (net.Conn, error) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return nil, err
	}
	head := "HTTP/1.1 200 OK\r\n"
	for name := range writer.Header() {
		head += name + ": " + writer.Header().Get(name) + "\r\n"
	}
	if _, err := io.WriteString(conn, head+"Connection: close\r\n\r\n"); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (runner *runner) countActive(change int) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.active += change
}

// stream writes the events that follow the last one that the client has.
func (runner *runner) stream(writer http.ResponseWriter, request *http.Request, id string) {
	last, _ := strconv.Atoi(request.Header.Get(headerLastID))
	time.Sleep(runner.prefill)
	runner.sayLeaving(writer.Header())
	writer.Header().Set("Content-Type", "text/event-stream")
	send := func(text string) bool {
		_, err := io.WriteString(writer, text)
		_ = http.NewResponseController(writer).Flush()
		return err == nil && request.Context().Err() == nil
	}
	if runner.unframed {
		conn, err := hijack(writer)
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		send = func(text string) bool {
			_, err := io.WriteString(conn, text)
			return err == nil
		}
	}
	events := runner.events
	if strings.HasSuffix(request.URL.Path, shortSuffix) {
		events = shortEvents
	}
	for number := last + 1; number <= events; number++ {
		time.Sleep(runner.interval)
		if !send(eventText(number)) {
			runner.say("cut %s at event %d", id, number)
			return
		}
	}
	runner.say("ends %s after event %d", id, events)
}

// eventText returns an event of a stream.
func eventText(number int) string { return fmt.Sprintf("id: %d\ndata: token-%d\n\n", number, number) }
