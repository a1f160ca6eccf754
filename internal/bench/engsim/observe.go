package engsim

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// AcceptedRequest records a request that the engine accepted.
type AcceptedRequest struct {
	RequestID    string `json:"request-id"`
	Organisation string `json:"organisation,omitempty"`
	Adapter      string `json:"adapter"`
	Version      uint32 `json:"version"`
	Priority     int    `json:"priority"`
	PromptTokens int64  `json:"prompt-tokens"`
	// CachedTokens is the number of prompt tokens that were in the prefix cache.
	CachedTokens int64 `json:"cached-tokens"`
	MaxTokens    int64 `json:"max-tokens"`
	// GeneratedTokens does not include tokens that were produced before a resume.
	GeneratedTokens int64 `json:"generated-tokens"`
	ResumedFrom     int64 `json:"resumed-from"`
	// Accepted is when the request arrived, Started when it entered the batch.
	Accepted   time.Time `json:"accepted"`
	Started    time.Time `json:"started"`
	FirstToken time.Time `json:"first-token"`
	Ended      time.Time `json:"ended"`
	// Outcome is empty while the request is waiting or running.
	Outcome string `json:"outcome"`
}

// UnloadViolation records an order to unload an adapter that requests were using.
type UnloadViolation struct {
	Time     time.Time `json:"time"`
	Adapter  string    `json:"adapter"`
	Version  uint32    `json:"version"`
	Requests []string  `json:"requests"`
	// Performed says that the adapter was unloaded and the requests were ended.
	Performed bool `json:"performed"`
}

// LoadOrder records one adapter load.
type LoadOrder struct {
	Adapter string    `json:"adapter"`
	Version uint32    `json:"version"`
	Ordered time.Time `json:"ordered"`
	Ended   time.Time `json:"ended"`
	Error   string    `json:"error,omitempty"`
}

// Duration returns how long a completed load took.
func (order LoadOrder) Duration() time.Duration { return order.Ended.Sub(order.Ordered) }

// Observed is what the engine has recorded, the response to GET /observed.
type Observed struct {
	Incarnation      string            `json:"epoch"`
	Restarts         int               `json:"restarts"`
	AcceptedRequests []AcceptedRequest `json:"starts"`
	Violations       []UnloadViolation `json:"violations"`
	Loads            []LoadOrder       `json:"loads"`
	// Refused counts refused requests by cause.
	Refused map[string]int `json:"refused"`
	// Steps and Tokens count the engine's steps and the tokens produced in them.
	// BatchedRequests is the sum of the batch sizes of all steps, BusyTime the
	// sum of their durations.
	Steps           int            `json:"steps"`
	Tokens          int            `json:"tokens"`
	BatchedRequests int            `json:"batch"`
	BusyTime        infra.Duration `json:"busy"`
	infra.RequestSummary
}

// TokensPerStep returns the mean number of tokens that a step produced.
func (observed Observed) TokensPerStep() float64 {
	if observed.Steps == 0 {
		return 0
	}
	return float64(observed.Tokens) / float64(observed.Steps)
}

// observer collects the records of an engine, whose mutex protects it.
type observer struct {
	accepted                       []*AcceptedRequest
	violations                     []UnloadViolation
	loads                          []*LoadOrder
	refused                        map[string]int
	steps, tokens, batchedRequests int
	busyTime                       time.Duration
}

// addAccepted records an accepted request.
func (observer *observer) addAccepted(request *http.Request, parsed completionRequest) *AcceptedRequest {
	record := &AcceptedRequest{
		RequestID: parsed.id, Organisation: request.Header.Get("X-Organisation"),
		Adapter: parsed.ref.Adapter, Version: parsed.ref.Version, Priority: parsed.Priority,
		PromptTokens: PromptTokens(parsed.prompt), MaxTokens: parsed.MaxTokens,
		ResumedFrom: parsed.resumeFrom, Accepted: time.Now(),
	}
	observer.accepted = append(observer.accepted, record)
	return record
}

// addViolation records an order to unload an adapter in use.
func (observer *observer) addViolation(ref AdapterRef, users []*job, performed bool) {
	violation := UnloadViolation{Time: time.Now(), Adapter: ref.Adapter, Version: ref.Version, Performed: performed}
	for _, job := range users {
		violation.Requests = append(violation.Requests, job.request.id)
	}
	observer.violations = append(observer.violations, violation)
}

// addLoad records the beginning of an adapter load.
func (observer *observer) addLoad(ref AdapterRef) *LoadOrder {
	order := &LoadOrder{Adapter: ref.Adapter, Version: ref.Version, Ordered: time.Now()}
	observer.loads = append(observer.loads, order)
	return order
}

// addStep records the end of a step.
func (observer *observer) addStep(duration time.Duration, requests, tokens int) {
	observer.steps++
	observer.tokens += tokens
	observer.batchedRequests += requests
	observer.busyTime += duration
}

// Observed returns a copy of what the engine has recorded so far.
func (engine *Engine) Observed() Observed {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	observer := &engine.observer
	observed := Observed{
		Incarnation: engine.incarnation, Restarts: engine.restarts,
		Violations: slices.Clone(observer.violations), Refused: maps.Clone(observer.refused),
		Steps: observer.steps, Tokens: observer.tokens, BatchedRequests: observer.batchedRequests, BusyTime: infra.Duration(observer.busyTime),
		RequestSummary: engine.requests.Summary(),
	}
	for _, record := range observer.accepted {
		observed.AcceptedRequests = append(observed.AcceptedRequests, *record)
	}
	for _, order := range observer.loads {
		observed.Loads = append(observed.Loads, *order)
	}
	return observed
}
