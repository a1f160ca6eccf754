//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a run of a request at a runner.
type run struct {
	id string
	at time.Time
}

// runner is a runner of a plain service or, with an engine, of a streaming one. It
// registers itself in the store.
type runner struct {
	store                      *store
	id, service, zone, address string
	engine                     bool
	// onRequest is called when the runner begins to run a request. It returns false if
	// the runner does not answer it.
	onRequest func(runner *runner, writer http.ResponseWriter, request *http.Request) bool

	mutex sync.Mutex
	// arrivals holds the requests that arrived, and runs those of them that ran.
	arrivals, runs []run
	born           int64
	sequence       int
	adapters       []string
	running        int
	server         *http.Server
}

const (
	modelName    = "m0"
	adapterSlots = 17
	slots        = 16
	// heartbeat is the time between two writes of a runner's entry.
	heartbeat = 1200 * time.Millisecond
	// streamEvents is the number of events of a stream, eventGap the time between two.
	streamEvents = 12
	eventGap     = 20 * time.Millisecond
	plainWork    = 15 * time.Millisecond
	adapterLoad  = 250 * time.Millisecond
)

func (deployment *deployment) startRunner(ip, id, service, zone string, engine bool) *runner {
	runner := &runner{store: deployment.store, id: id, service: service, zone: zone, engine: engine, address: freeAddress(ip), born: time.Now().UnixMilli()}
	runner.start()
	go func() {
		for {
			runner.register()
			time.Sleep(heartbeat)
		}
	}()
	return runner
}

// start serves the runner at its address.
func (runner *runner) start() {
	listener, err := net.Listen("tcp", runner.address)
	check(err)
	server := &http.Server{Handler: runner}
	runner.mutex.Lock()
	runner.server = server
	runner.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// register writes the runner's entry, unless it is down.
func (runner *runner) register() {
	runner.mutex.Lock()
	down := runner.server == nil
	entry := map[string]any{
		"service": runner.service, "address": runner.address, "zone": runner.zone, "version": "v1", "slots": slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": runner.sequence, "born": runner.born,
	}
	runner.mutex.Unlock()
	if !down {
		runner.store.put(topicServers, runner.id, entry)
	}
}

// crash ends the runner with all its connections. It is back after a time, empty, under
// the id that it had.
func (runner *runner) crash(downtime time.Duration) {
	runner.mutex.Lock()
	server := runner.server
	runner.server = nil
	runner.mutex.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	go func() {
		time.Sleep(downtime)
		runner.mutex.Lock()
		runner.born, runner.sequence, runner.adapters, runner.running = time.Now().UnixMilli(), 0, nil, 0
		runner.mutex.Unlock()
		runner.start()
		runner.register()
	}()
}

// ServeHTTP implements http.Handler.
func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/api/report":
		runner.report(writer)
	case "/api/order":
		runner.order(writer, request)
	default:
		runner.serve(writer, request)
	}
}

func (runner *runner) report(writer http.ResponseWriter) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"stage": "unified", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": slices.Clone(runner.adapters)}},
		"pending": []string{}, "busy": false, "sequence": runner.sequence, "queued_count": 0, "active_count": runner.running,
		"kv_used_count": 1000 * runner.running, "kv_total_count": 122011, "handle_count": 0, "born": runner.born, "state": "ready",
	})
}

// order carries out an order to load or unload an adapter.
func (runner *runner) order(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Operation    string `json:"operation"`
		Adapter      string `json:"adapter"`
		Precondition *int   `json:"precondition"`
	}
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := request.Header.Get("X-Jacinthfront-Expected-Instance"); expected != "" && expected != runner.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	if order.Precondition != nil && *order.Precondition != runner.sequence {
		writer.WriteHeader(http.StatusConflict)
		return
	}
	name := order.Adapter + "@1"
	runner.sequence++
	runner.adapters = slices.DeleteFunc(runner.adapters, func(held string) bool { return held == name })
	if order.Operation == "load" && order.Adapter != "" {
		born := runner.born
		time.AfterFunc(adapterLoad, func() {
			runner.mutex.Lock()
			defer runner.mutex.Unlock()
			if runner.born == born && !slices.Contains(runner.adapters, name) {
				runner.adapters = append(runner.adapters, name)
			}
		})
	}
	writer.WriteHeader(http.StatusAccepted)
}

// serve runs a client's request.
func (runner *runner) serve(writer http.ResponseWriter, request *http.Request) {
	header, id := writer.Header(), request.Header.Get("X-Jacinthfront-Attempt-Id")
	_, _ = io.Copy(io.Discard, request.Body)
	runner.mutex.Lock()
	runner.arrivals = append(runner.arrivals, run{id, time.Now()})
	_, adapter, named := strings.Cut(request.Header.Get("X-Jacinthfront-Model"), "/")
	holds := !runner.engine || !named || slices.Contains(runner.adapters, adapter+"@1")
	if request.Header.Get("X-Jacinthfront-Expected-Instance") != runner.id || !holds {
		runner.mutex.Unlock()
		header.Set("X-Jacinthfront-Instance-Id", runner.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	runner.running++
	runner.mutex.Unlock()
	defer func() {
		runner.mutex.Lock()
		runner.running = max(runner.running-1, 0)
		runner.mutex.Unlock()
	}()
	if runner.engine {
		// The prompt is read before the request begins to run.
		time.Sleep(eventGap)
	}
	if request.Context().Err() != nil {
		return
	}
	runner.mutex.Lock()
	runner.runs = append(runner.runs, run{id, time.Now()})
	runner.mutex.Unlock()
	if runner.onRequest != nil && !runner.onRequest(runner, writer, request) {
		return
	}
	header.Set("X-Jacinthfront-Attempt-Id", id)
	header.Set("X-Jacinthfront-Server-Seal", "seal."+runner.id+"."+id)
	if !runner.engine {
		time.Sleep(plainWork)
		_, _ = fmt.Fprintf(writer, "done %s", id)
		return
	}
	header.Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for number := last + 1; number <= streamEvents; number++ {
		if request.Context().Err() != nil {
			return
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: token\n\n", number)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(eventGap)
	}
}

// ranIDs returns when each request ran first.
func ranIDs(runners []*runner) map[string]time.Time {
	ran := make(map[string]time.Time)
	for _, runner := range runners {
		runner.mutex.Lock()
		for _, run := range runner.runs {
			if at, ok := ran[run.id]; !ok || run.at.Before(at) {
				ran[run.id] = run.at
			}
		}
		runner.mutex.Unlock()
	}
	return ran
}
