package engsim

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// AcceptedRequest is one request that the engine accepted.
type AcceptedRequest struct {
	RequestID    string `json:"request-id"`
	Organisation string `json:"organisation,omitempty"`
	Adapter      string `json:"adapter"`
	Version      uint32 `json:"version"`
	Priority     int    `json:"priority"`
	PromptTokens int64  `json:"prompt-tokens"`
	// CachedTokens is the part of the prompt found in the prefix cache.
	CachedTokens int64 `json:"cached-tokens"`
	MaxTokens    int64 `json:"max-tokens"`
	// GeneratedTokens leaves out what was produced before a resume.
	GeneratedTokens int64 `json:"generated-tokens"`
	ResumedFrom     int64 `json:"resumed-from"`
	// Accepted is when the request arrived, Started when it entered the batch.
	Accepted   time.Time `json:"accepted"`
	Started    time.Time `json:"started"`
	FirstToken time.Time `json:"first-token"`
	Ended      time.Time `json:"ended"`
	// Outcome is empty while the request goes on.
	Outcome string `json:"outcome"`
}

// UnloadViolation is an order to unload an adapter in use.
type UnloadViolation struct {
	Time     time.Time `json:"time"`
	Adapter  string    `json:"adapter"`
	Version  uint32    `json:"version"`
	Requests []string  `json:"requests"`
	// Performed says that the requests were ended.
	Performed bool `json:"performed"`
}

// LoadOrder is one load that was begun.
type LoadOrder struct {
	Adapter string    `json:"adapter"`
	Version uint32    `json:"version"`
	Ordered time.Time `json:"ordered"`
	Ended   time.Time `json:"ended"`
	Error   string    `json:"error,omitempty"`
}

// Duration returns how long an ended load took.
func (order LoadOrder) Duration() time.Duration { return order.Ended.Sub(order.Ordered) }

// Observed is what the engine has seen.
type Observed struct {
	Incarnation      string            `json:"epoch"`
	Restarts         int               `json:"restarts"`
	AcceptedRequests []AcceptedRequest `json:"starts"`
	Violations       []UnloadViolation `json:"violations"`
	Loads            []LoadOrder       `json:"loads"`
	// Refused counts refusals by cause.
	Refused map[string]int `json:"refused"`
	// Steps, Tokens and Batch count the engine's steps, the tokens they produced
	// and the requests in them.
	Steps           int            `json:"steps"`
	Tokens          int            `json:"tokens"`
	BatchedRequests int            `json:"batch"`
	BusyTime        infra.Duration `json:"busy"`
	infra.RequestSummary
}

// TokensPerStep returns the batch efficiency.
func (observed Observed) TokensPerStep() float64 {
	if observed.Steps == 0 {
		return 0
	}
	return float64(observed.Tokens) / float64(observed.Steps)
}

// observer collects what the engine has seen. The engine's mutex protects it.
type observer struct {
	starts               []*AcceptedRequest
	violations           []UnloadViolation
	loads                []*LoadOrder
	refused              map[string]int
	steps, tokens, batch int
	busy                 time.Duration
}

// addStart records an accepted request.
func (observer *observer) addStart(request *http.Request, parsed completion) *AcceptedRequest {
	start := &AcceptedRequest{
		RequestID: parsed.id, Organisation: request.Header.Get("X-Organisation"),
		Adapter: parsed.ref.Adapter, Version: parsed.ref.Version, Priority: parsed.Priority,
		PromptTokens: PromptTokens(parsed.prompt), MaxTokens: parsed.MaxTokens,
		ResumedFrom: parsed.resumeFrom, Accepted: time.Now(),
	}
	observer.starts = append(observer.starts, start)
	return start
}

// addViolation records an order to unload an adapter in use.
func (observer *observer) addViolation(ref AdapterRef, users []*run, performed bool) {
	violation := UnloadViolation{Time: time.Now(), Adapter: ref.Adapter, Version: ref.Version, Performed: performed}
	for _, run := range users {
		violation.Requests = append(violation.Requests, run.request.id)
	}
	observer.violations = append(observer.violations, violation)
}

// addLoad records a load that begins.
func (observer *observer) addLoad(ref AdapterRef) *LoadOrder {
	order := &LoadOrder{Adapter: ref.Adapter, Version: ref.Version, Ordered: time.Now()}
	observer.loads = append(observer.loads, order)
	return order
}

// addStep records a step.
func (observer *observer) addStep(duration time.Duration, requests, tokens int) {
	observer.steps++
	observer.tokens += tokens
	observer.batch += requests
	observer.busy += duration
}

// Observed returns what the engine has seen so far.
func (engine *Engine) Observed() Observed {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	seen := &engine.observed
	observed := Observed{
		Incarnation: engine.epoch, Restarts: engine.restarts,
		Violations: slices.Clone(seen.violations), Refused: maps.Clone(seen.refused),
		Steps: seen.steps, Tokens: seen.tokens, BatchedRequests: seen.batch, BusyTime: infra.Duration(seen.busy),
		RequestSummary: engine.requests.Summary(),
	}
	for _, start := range seen.starts {
		observed.AcceptedRequests = append(observed.AcceptedRequests, *start)
	}
	for _, order := range seen.loads {
		observed.Loads = append(observed.Loads, *order)
	}
	return observed
}
