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

// TokenFunc returns the text of one token of an answer.
type TokenFunc func(adapter string, version uint32, prompt string, index int) string

// Config configures a Generator.
type Config struct {
	// EntryURLs returns the base URLs of the ready entry instances.
	EntryURLs     func() []string
	Client        *http.Client
	Plan          Plan
	Seed          uint64
	ExpectedToken TokenFunc
	// Warmup is the first part of a run, whose answers are checked and not
	// measured. AfterWarmup, if set, is called at its end.
	Warmup      time.Duration
	AfterWarmup func()
	// MaxInFlight bounds the generator's open requests.
	MaxInFlight int
}

const defaultMaxInFlight = 4096

// Generator sends the load of a plan.
type Generator struct {
	config     Config
	report     *Report
	references map[string]*reference
	turn       atomic.Uint64
	slots      chan struct{}
	running    sync.WaitGroup
}

// New returns a Generator that has sent nothing yet.
func New(config Config) *Generator {
	if config.MaxInFlight == 0 {
		config.MaxInFlight = defaultMaxInFlight
	}
	return &Generator{
		config:     config,
		report:     newReport(),
		references: map[string]*reference{},
		slots:      make(chan struct{}, config.MaxInFlight),
	}
}

// Report returns the results so far.
func (generator *Generator) Report() *Report { return generator.report }

// Run sends requests for the given time and waits for all answers. Requests
// still open when ctx ends are cancelled.
func (generator *Generator) Run(ctx context.Context, length time.Duration) {
	start := time.Now()
	for _, organisation := range generator.config.Plan.Organisations {
		generator.references[organisation.Name] = newReference(organisation.Rate, organisation.Burst, start)
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
		sources.Go(func() { generator.send(ctx, source, start, length) })
	}
	sources.Wait()
	generator.running.Wait()
}

func (generator *Generator) send(ctx context.Context, source *source, start time.Time, length time.Duration) {
	due := start
	for {
		due = due.Add(source.gap(due.Sub(start)))
		if due.Sub(start) >= length || !sleepUntil(ctx, due) {
			return
		}
		request := source.draw(due.Sub(start))
		request.warming = due.Sub(start) < generator.config.Warmup
		request.limited = !generator.references[request.organisation.Name].take(time.Now(), request.cost())
		generator.slots <- struct{}{}
		generator.running.Go(func() {
			defer func() { <-generator.slots }()
			generator.perform(ctx, request)
		})
	}
}

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

// plainCost is the configured cost of one call of a plain service.
const plainCost = 10

func (request request) cost() int {
	if request.kind.UsesAdapter() {
		return request.promptTokens + request.maxTokens
	}
	return plainCost
}

func (generator *Generator) perform(ctx context.Context, request request) {
	copies := 1
	if request.repeat {
		copies = 2
	}
	var sending sync.WaitGroup
	for range copies {
		sending.Go(func() {
			answer := generator.exchange(ctx, request)
			if ctx.Err() == nil {
				generator.record(request, answer)
			}
		})
	}
	sending.Wait()
}

func (generator *Generator) exchange(ctx context.Context, request request) *answer {
	entries := generator.config.EntryURLs()
	if len(entries) == 0 {
		return &answer{err: fmt.Errorf("no entry instance is ready")}
	}
	base := entries[generator.turn.Add(1)%uint64(len(entries))]
	sent := time.Now()
	built, err := generator.build(ctx, base, request)
	if err != nil {
		return &answer{err: err}
	}
	response, err := generator.config.Client.Do(built)
	if err != nil {
		return &answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response, sent)
}

func (generator *Generator) build(ctx context.Context, base string, request request) (*http.Request, error) {
	method, path, body := generator.content(request)
	built, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	built.Header.Set("Authorization", "Bearer "+request.organisation.Key)
	if len(body) > 0 {
		built.Header.Set("Content-Type", "application/json")
	}
	if request.repeat {
		built.Header.Set("Idempotency-Key", request.booking())
	}
	return built, nil
}

func (request request) booking() string { return fmt.Sprintf("booking-%d", request.id) }

func (generator *Generator) content(request request) (method, path string, body []byte) {
	plan := generator.config.Plan
	switch request.kind {
	case Booking:
		return http.MethodPost, "/services/" + plan.PlainService + "/orders/" + request.booking(), []byte(`{"quantity":1}`)
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

func (generator *Generator) record(request request, answer *answer) {
	report := generator.report
	report.mu.Lock()
	defer report.mu.Unlock()
	series := report.entry(request)
	report.observeRefusal(request, answer)
	series.Sent++
	if request.kind == Booking {
		report.addBooking(request.booking(), answer)
	}
	switch {
	case answer.complete && answer.kind == "":
		series.Completed++
		report.observe(series, request, answer)
		if problem := generator.mismatch(request, answer); problem != "" {
			series.WrongText++
			report.addProblem(problem)
		}
	case answer.refused():
		series.Refused++
		report.refuse(request, answer)
		if !request.limited && !request.warming && answer.kind != logUnavailable {
			series.WrongfulRefusals++
			report.addProblem(fmt.Sprintf("%s of %s within its rate was refused: %s", request.kind, request.organisation.Name, answer.kind))
		}
	case answer.kind != "":
		series.UnknownEffect++
		report.refuse(request, answer)
	default:
		series.Incomplete++
		report.addProblem(fmt.Sprintf("%s of %s ended early: status %d, %v", request.kind, request.organisation.Name, answer.status, answer.err))
	}
}

// logUnavailable is the refusal that the design asks for while the log is out
// and a request carries an Idempotency-Key.
const logUnavailable = "log-unavailable"

func (generator *Generator) mismatch(request request, answer *answer) string {
	if !request.kind.UsesAdapter() || generator.config.ExpectedToken == nil {
		return ""
	}
	if answer.adapter != request.adapter {
		return fmt.Sprintf("asked for adapter %s, answered by %q", request.adapter, answer.adapter)
	}
	if len(answer.text) == 0 {
		return fmt.Sprintf("complete answer of %s without text", answer.adapter)
	}
	version := versionNumber(answer.version)
	for index, text := range answer.text {
		if want := generator.config.ExpectedToken(answer.adapter, version, request.prompt, index); text != want {
			return fmt.Sprintf("adapter %s token %d is %q, expected %q", answer.adapter, index, text, want)
		}
	}
	return ""
}
