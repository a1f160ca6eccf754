// Package plain simulates a plain service and counts the effects of calls.
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

// maxBody is the largest accepted request body in bytes.
const maxBody = 4 << 20

// The faults of calls.
const (
	// ModeDelay delays the effect of a call.
	ModeDelay = "delay"
	// ModeFailBefore responds with 503 and has no effect.
	ModeFailBefore = "fail-before"
	// ModeFailAfter responds with 500 after the effect.
	ModeFailAfter = "fail-after"
	// ModeCutBefore aborts the connection before the call has an effect.
	ModeCutBefore = "cut-before"
	// ModeCutAfter aborts the connection after the effect.
	ModeCutAfter = "cut-after"
)

// Config configures a Service.
type Config struct {
	Seed uint64
	// Latency is the time between the arrival of a call and its effect.
	Latency time.Duration
}

// DefaultConfig returns the configuration of a service with a latency of a few
// milliseconds.
func DefaultConfig() Config {
	return Config{Seed: 1, Latency: 3 * time.Millisecond}
}

// Call records one call.
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

// Observed is what the service has recorded, the response to GET /observed.
type Observed struct {
	Calls []Call `json:"calls"`
	// Effects counts the effects of each request id.
	Effects map[string]int `json:"effects"`
	infra.RequestSummary
}

// Response is the body of a successful response.
type Response struct {
	RequestID string `json:"request-id"`
	// Result depends only on method, URI and body; see the function Result.
	Result string `json:"result"`
	// Effects is the number of effects that this request id has had so far.
	Effects int `json:"effects"`
}

// Service is an http.Handler that accepts calls of any method and path.
type Service struct {
	config      Config
	mux         *http.ServeMux
	callFaults  *infra.FaultInjector
	requests    *infra.RequestLog
	incarnation string
	closed      chan struct{}

	// mutex protects the fields below.
	mutex   sync.Mutex
	running int
	calls   []Call
	effects map[string]int
}

// New returns a Service. It returns an error if the configuration is invalid.
func New(config Config) (*Service, error) {
	if config.Latency < 0 {
		return nil, fmt.Errorf("plain service stand-in: latency %v; write a time of at least 0", config.Latency)
	}
	service := &Service{
		config: config, mux: http.NewServeMux(), requests: infra.NewRequestLog(), effects: map[string]int{},
		callFaults:  infra.NewFaultInjector(config.Seed, ModeDelay, ModeFailBefore, ModeFailAfter, ModeCutBefore, ModeCutAfter),
		incarnation: fmt.Sprintf("%x", time.Now().UnixNano()), closed: make(chan struct{}),
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

// Close aborts the connections of calls that have not had their effect yet.
func (service *Service) Close() { close(service.closed) }

// Result returns the result of a call. A test compares it to check that a caller
// got the response to its own call.
func Result(method, uri string, body []byte) string {
	return fmt.Sprintf("%016x", xxh3.Hash(append([]byte(method+" "+uri+"\n"), body...)))
}

// Observed returns a copy of what the service has recorded so far.
func (service *Service) Observed() Observed {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	observed := Observed{Calls: slices.Clone(service.calls), Effects: map[string]int{}, RequestSummary: service.requests.Summary()}
	for id, count := range service.effects {
		observed.Effects[id] = count
	}
	return observed
}

// ControlRequest sets the fault of calls and is the body of POST /control.
type ControlRequest struct {
	CallFault *infra.Fault `json:"calls"`
}

// ApplyControl sets the requested fault. It returns an error if the fault is
// invalid.
func (service *Service) ApplyControl(control ControlRequest) error {
	if err := service.callFaults.Check(control.CallFault); err != nil {
		return fmt.Errorf("calls: %w", err)
	}
	service.callFaults.Set(control.CallFault)
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
	infra.WriteJSON(writer, map[string]any{"epoch": service.incarnation, "running": service.running, "waiting": 0})
}

// serveCall handles all other requests. Once a call's body has been read, its
// effect does not depend on whether the caller is still connected.
func (service *Service) serveCall(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	if err != nil {
		infra.WriteError(writer, http.StatusBadRequest, "body: %v", err)
		return
	}
	service.requests.Add(request, body)
	id := request.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", id)
	call := service.beginCall(Call{
		Time: time.Now(), RequestID: id, Organisation: request.Header.Get("X-Organisation"),
		Method: request.Method, Path: request.URL.Path, BodySize: len(body),
	})
	defer service.endCall()
	latency := service.config.Latency
	if fault, hit := service.callFaults.Inject(ModeDelay, id); hit {
		latency += time.Duration(fault.Delay)
	}
	service.sleep(latency)
	if _, hit := service.callFaults.Inject(ModeCutBefore, id); hit {
		infra.AbortConnection()
	}
	if _, hit := service.callFaults.Inject(ModeFailBefore, id); hit {
		infra.WriteRetryableError(writer, http.StatusServiceUnavailable, time.Second, "the call had no effect")
		return
	}
	effects := service.performCall(call, id)
	if _, hit := service.callFaults.Inject(ModeCutAfter, id); hit {
		infra.AbortConnection()
	}
	if _, hit := service.callFaults.Inject(ModeFailAfter, id); hit {
		infra.WriteError(writer, http.StatusInternalServerError, "the call failed after its effect")
		return
	}
	infra.WriteJSON(writer, Response{RequestID: id, Result: Result(request.Method, request.URL.RequestURI(), body), Effects: effects})
}

// sleep waits for a time. It aborts the connection if the service is closed
// meanwhile.
func (service *Service) sleep(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-service.closed:
		infra.AbortConnection()
	}
}

// beginCall records a call and returns its index.
func (service *Service) beginCall(call Call) int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.running++
	service.calls = append(service.calls, call)
	return len(service.calls) - 1
}

// endCall counts a call as no longer running.
func (service *Service) endCall() {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.running--
}

// performCall records the effect of a call and returns how many effects its
// request id has had.
func (service *Service) performCall(call int, id string) int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.calls[call].Effect = true
	service.effects[id]++
	return service.effects[id]
}
