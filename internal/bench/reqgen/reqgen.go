package reqgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// TokenFunc returns the expected text of one token of an answer.
type TokenFunc func(adapter string, version uint32, prompt string, index int) string

// Config configures a Generator.
type Config struct {
	// EntryURLs returns the base URLs of the ready entry instances.
	EntryURLs func() []string
	Client    *http.Client
	Plan      Plan
	Seed      uint64
	// ExpectedToken checks the answers of model requests; nil disables the check.
	ExpectedToken TokenFunc
	// Warmup is the first part of a run. Its answers are checked but not
	// measured. AfterWarmup, if set, is called at its end.
	Warmup      time.Duration
	AfterWarmup func()
	// MaxInFlight is the largest number of open requests; 0 stands for 4096.
	MaxInFlight int
}

const defaultMaxInFlight = 4096

// Generator sends the requests of a plan to entry instances.
type Generator struct {
	config           Config
	report           *Report
	referenceBuckets map[string]*referenceBucket
	nextEntry        atomic.Uint64
	inFlight         chan struct{}
	openRequests     sync.WaitGroup
}

// New returns a Generator that has not sent any requests.
func New(config Config) *Generator {
	if config.MaxInFlight == 0 {
		config.MaxInFlight = defaultMaxInFlight
	}
	return &Generator{
		config:           config,
		report:           newReport(),
		referenceBuckets: map[string]*referenceBucket{},
		inFlight:         make(chan struct{}, config.MaxInFlight),
	}
}

// Report returns the results so far.
func (generator *Generator) Report() *Report { return generator.report }

// Run sends requests for the given time and waits for all responses. Requests
// that are still open when ctx ends are cancelled.
func (generator *Generator) Run(ctx context.Context, length time.Duration) {
	start := time.Now()
	for _, organisation := range generator.config.Plan.Organisations {
		generator.referenceBuckets[organisation.Name] = newReferenceBucket(organisation.Rate, organisation.Burst, start)
	}
	var sources sync.WaitGroup
	if generator.config.AfterWarmup != nil {
		sources.Go(func() {
			if sleepUntil(ctx, start.Add(generator.config.Warmup)) {
				generator.config.AfterWarmup()
			}
		})
	}
	for index := range generator.config.Plan.Organisations {
		source := newSource(generator.config.Plan, index, generator.config.Seed)
		sources.Go(func() { generator.runSource(ctx, source, start, length) })
	}
	sources.Wait()
	generator.openRequests.Wait()
}

// runSource sends the requests of one organisation at their planned times.
func (generator *Generator) runSource(ctx context.Context, source *source, start time.Time, length time.Duration) {
	due := start
	for {
		due = due.Add(source.nextInterval(due.Sub(start)))
		if due.Sub(start) >= length || !sleepUntil(ctx, due) {
			return
		}
		request := source.nextRequest(due.Sub(start))
		request.inWarmup = due.Sub(start) < generator.config.Warmup
		request.overRate = !generator.referenceBuckets[request.organisation.Name].take(time.Now(), request.tokenCost())
		generator.inFlight <- struct{}{}
		generator.openRequests.Go(func() {
			defer func() { <-generator.inFlight }()
			generator.sendRequest(ctx, request)
		})
	}
}

// sleepUntil waits until a time. It returns false if ctx ends before.
func sleepUntil(ctx context.Context, due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// plainCallCost is the cost in tokens that the deployments configure for a
// request to the plain service.
const plainCallCost = 10

// tokenCost returns the tokens that a request takes from its organisation's rate.
func (request request) tokenCost() int {
	if request.kind.UsesAdapter() {
		return request.promptTokens + request.maxTokens
	}
	return plainCallCost
}

// sendRequest sends a request once or twice and records each response.
func (generator *Generator) sendRequest(ctx context.Context, request request) {
	copies := 1
	if request.sendTwice {
		copies = 2
	}
	var sending sync.WaitGroup
	for range copies {
		sending.Go(func() {
			outcome := generator.roundTrip(ctx, request)
			if ctx.Err() == nil {
				generator.recordOutcome(request, outcome)
			}
		})
	}
	sending.Wait()
}

// roundTrip sends a request to the next entry instance in turn and reads the
// response.
func (generator *Generator) roundTrip(ctx context.Context, request request) *outcome {
	entries := generator.config.EntryURLs()
	if len(entries) == 0 {
		return &outcome{err: fmt.Errorf("no entry instance is ready")}
	}
	base := entries[generator.nextEntry.Add(1)%uint64(len(entries))]
	sent := time.Now()
	httpRequest, err := generator.newHTTPRequest(ctx, base, request)
	if err != nil {
		return &outcome{err: err}
	}
	response, err := generator.config.Client.Do(httpRequest)
	if err != nil {
		return &outcome{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	return readResponse(response, sent)
}

func (generator *Generator) newHTTPRequest(ctx context.Context, base string, request request) (*http.Request, error) {
	method, path, body := generator.httpContent(request)
	httpRequest, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Authorization", "Bearer "+request.organisation.Key)
	if len(body) > 0 {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	if request.sendTwice {
		httpRequest.Header.Set("Idempotency-Key", request.orderID())
	}
	return httpRequest, nil
}

// orderID returns the id of a booking, which is also its Idempotency-Key.
func (request request) orderID() string { return fmt.Sprintf("booking-%d", request.id) }

func (generator *Generator) httpContent(request request) (method, path string, body []byte) {
	plan := generator.config.Plan
	switch request.kind {
	case Booking:
		return http.MethodPost, "/services/" + plan.PlainService + "/orders/" + request.orderID(), []byte(`{"quantity":1}`)
	case StatusCheck:
		return http.MethodGet, fmt.Sprintf("/services/%s/stock/%d", plan.PlainService, request.id), nil
	default:
		return http.MethodPost, "/routes/" + request.kind.String() + "s/v1/completions", generator.modelBody(request)
	}
}

func (generator *Generator) modelBody(request request) []byte {
	body, err := json.Marshal(map[string]any{
		"model":      request.adapter,
		"prompt":     request.prompt,
		"max_tokens": request.maxTokens,
		"stream":     true,
	})
	if err != nil {
		return nil
	}
	return body
}

// recordOutcome counts a response by its result and notes what is unexpected.
func (generator *Generator) recordOutcome(request request, outcome *outcome) {
	report := generator.report
	report.mu.Lock()
	defer report.mu.Unlock()
	series := report.seriesFor(request)
	report.recordModelRefusal(request, outcome)
	series.Sent++
	if request.kind == Booking {
		report.recordBooking(request.orderID(), outcome)
	}
	switch {
	case outcome.complete && outcome.errorKind == "":
		series.Completed++
		report.recordCompleted(series, request, outcome)
		if problem := generator.findMismatch(request, outcome); problem != "" {
			series.WrongText++
			report.addProblem(problem)
		}
	case outcome.notRun():
		series.Refused++
		report.countError(request, outcome)
		if !request.overRate && !request.inWarmup && outcome.errorKind != logUnavailable {
			series.WrongfulRefusals++
			report.addProblem(fmt.Sprintf("%s of %s within its rate was refused: %s", request.kind, request.organisation.Name, outcome.errorKind))
		}
	case outcome.errorKind != "":
		series.UnknownEffect++
		report.countError(request, outcome)
	default:
		series.Incomplete++
		report.addProblem(fmt.Sprintf("%s of %s ended early: status %d, %v", request.kind, request.organisation.Name, outcome.status, outcome.err))
	}
}

// logUnavailable is the error kind of refusals that are intended: while the log
// is unavailable, entry instances refuse requests with an Idempotency-Key.
const logUnavailable = "log-unavailable"

// findMismatch returns what is wrong with the answer of a model request, or "".
func (generator *Generator) findMismatch(request request, outcome *outcome) string {
	if !request.kind.UsesAdapter() || generator.config.ExpectedToken == nil {
		return ""
	}
	if outcome.adapter != request.adapter {
		return fmt.Sprintf("asked for adapter %s, answered by %q", request.adapter, outcome.adapter)
	}
	if len(outcome.tokens) == 0 {
		return fmt.Sprintf("complete answer of %s without text", outcome.adapter)
	}
	version := parseVersion(outcome.version)
	for index, text := range outcome.tokens {
		if want := generator.config.ExpectedToken(outcome.adapter, version, request.prompt, index); text != want {
			return fmt.Sprintf("adapter %s token %d is %q, expected %q", outcome.adapter, index, text, want)
		}
	}
	return ""
}
