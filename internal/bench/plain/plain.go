// Package plain stands in for a plain service and counts the effects of calls.
package plain

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// maxBody bounds the body of a call.
const maxBody = 4 << 20

// The faults of calls.
const (
	// ModeDelay takes longer before the effect.
	ModeDelay = "delay"
	// ModeFailBefore answers 503 without an effect.
	ModeFailBefore = "fail-before"
	// ModeFailAfter answers 500 after the effect.
	ModeFailAfter = "fail-after"
	// ModeCutBefore cuts the connection without an effect.
	ModeCutBefore = "cut-before"
	// ModeCutAfter cuts the connection after the effect.
	ModeCutAfter = "cut-after"
)

// Config configures a Service.
type Config struct {
	Seed uint64
	// Latency is the time between the arrival of a call and its effect.
	Latency time.Duration
}

// DefaultConfig returns a service that answers within a few milliseconds.
func DefaultConfig() Config {
	return Config{Seed: 1, Latency: 3 * time.Millisecond}
}

// Call is one call that arrived.
type Call struct {
	Time         time.Time `json:"time"`
	RequestID    string    `json:"request-id"`
	Organisation string    `json:"organisation,omitempty"`
	Method       string    `json:"method"`
	Path         string    `json:"path"`
	BodySize     int       `json:"body-size"`
	// Effect says whether the call had its effect.
	Effect bool `json:"effect"`
}

// Observed is what the service has seen.
type Observed struct {
	Calls []Call `json:"calls"`
	// Effects counts the effects of each request id.
	Effects map[string]int `json:"effects"`
	infra.RequestSummary
}

// Response is the body of an answer.
type Response struct {
	RequestID string `json:"request-id"`
	// Result depends on method, path and body only; see Result.
	Result string `json:"result"`
	// Effects is the number of effects of this request id so far.
	Effects int `json:"effects"`
}

// Service is an http.Handler that accepts calls of any method and path.
type Service struct {
	config   Config
	mux      *http.ServeMux
	faults   *infra.FaultInjector
	requests *infra.RequestLog
	epoch    string
	closed   chan struct{}

	mutex   sync.Mutex
	running int
	calls   []Call
	effects map[string]int
}

// New returns a Service.
func New(config Config) (*Service, error) {
	if config.Latency < 0 {
		return nil, fmt.Errorf("plain service stand-in: latency %v; write a time of at least 0", config.Latency)
	}
	service := &Service{
		config: config, mux: http.NewServeMux(), requests: infra.NewRequestLog(), effects: map[string]int{},
		faults: infra.NewFaultInjector(config.Seed, ModeDelay, ModeFailBefore, ModeFailAfter, ModeCutBefore, ModeCutAfter),
		epoch:  fmt.Sprintf("%x", time.Now().UnixNano()), closed: make(chan struct{}),
	}
	service.mux.HandleFunc("POST /control", service.serveControl)
	service.mux.HandleFunc("GET /observed", func(writer http.ResponseWriter, _ *http.Request) {
		infra.WriteJSON(writer, service.Observed())
	})
	service.mux.HandleFunc("GET /v1/state", service.serveState)
	service.mux.HandleFunc("/", service.serveCall)
	return service, nil
}

// ServeHTTP implements http.Handler.
func (service *Service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	service.mux.ServeHTTP(writer, request)
}

// Close cuts the calls that have had no effect yet.
func (service *Service) Close() { close(service.closed) }

// Result returns the result of a call, by which a test tells that a caller got
// the answer to its own call.
func Result(method, uri string, body []byte) string {
	return fmt.Sprintf("%016x", xxh3.Hash(append([]byte(method+" "+uri+"\n"), body...)))
}

// Observed returns what the service has seen so far.
func (service *Service) Observed() Observed {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	observed := Observed{Calls: slices.Clone(service.calls), Effects: map[string]int{}, RequestSummary: service.requests.Summary()}
	for id, count := range service.effects {
		observed.Effects[id] = count
	}
	return observed
}

// ControlRequest sets the fault of calls.
type ControlRequest struct {
	CallFault *infra.Fault `json:"calls"`
}

// ApplyControl sets a fault.
func (service *Service) ApplyControl(control ControlRequest) error {
	if err := service.faults.Check(control.CallFault); err != nil {
		return fmt.Errorf("calls: %w", err)
	}
	service.faults.Set(control.CallFault)
	return nil
}

// serveControl handles POST /control.
func (service *Service) serveControl(writer http.ResponseWriter, request *http.Request) {
	var control ControlRequest
	if !infra.DecodeJSON(writer, request, &control) {
		return
	}
	if err := service.ApplyControl(control); err != nil {
		infra.WriteError(writer, http.StatusBadRequest, "%v", err)
		return
	}
	infra.WriteJSON(writer, control)
}

// serveState handles GET /v1/state, the load report.
func (service *Service) serveState(writer http.ResponseWriter, _ *http.Request) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	infra.WriteJSON(writer, map[string]any{"epoch": service.epoch, "running": service.running, "waiting": 0})
}

// serveCall handles all other requests. Once a call has arrived, its effect does
// not depend on whether the caller still waits.
func (service *Service) serveCall(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	if err != nil {
		infra.WriteError(writer, http.StatusBadRequest, "body: %v", err)
		return
	}
	service.requests.Add(request, body)
	id := request.Header.Get("X-Request-Id")
	call := service.arrive(Call{
		Time: time.Now(), RequestID: id, Organisation: request.Header.Get("X-Organisation"),
		Method: request.Method, Path: request.URL.Path, BodySize: len(body),
	})
	defer service.leave()
	latency := service.config.Latency
	if fault, hit := service.faults.Inject(ModeDelay, id); hit {
		latency += time.Duration(fault.Delay)
	}
	service.sleep(latency)
	if _, hit := service.faults.Inject(ModeCutBefore, id); hit {
		infra.AbortConnection()
	}
	if _, hit := service.faults.Inject(ModeFailBefore, id); hit {
		infra.WriteRetryableError(writer, http.StatusServiceUnavailable, time.Second, "the call had no effect")
		return
	}
	effects := service.effect(call, id)
	if _, hit := service.faults.Inject(ModeCutAfter, id); hit {
		infra.AbortConnection()
	}
	if _, hit := service.faults.Inject(ModeFailAfter, id); hit {
		infra.WriteError(writer, http.StatusInternalServerError, "the call failed after its effect")
		return
	}
	infra.WriteJSON(writer, Response{RequestID: id, Result: Result(request.Method, request.URL.RequestURI(), body), Effects: effects})
}

// sleep waits and cuts the call if the service is closed meanwhile.
func (service *Service) sleep(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-service.closed:
		infra.AbortConnection()
	}
}

// arrive records a call and returns its index.
func (service *Service) arrive(call Call) int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.running++
	service.calls = append(service.calls, call)
	return len(service.calls) - 1
}

// leave ends a call.
func (service *Service) leave() {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.running--
}

// effect performs a call and returns how often its request id had an effect.
func (service *Service) effect(call int, id string) int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.calls[call].Effect = true
	service.effects[id]++
	return service.effects[id]
}
