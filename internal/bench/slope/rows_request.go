package slope

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/engsim"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/creds"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

const (
	// requestConcurrency is the number of requests in flight at a time in the rows
	// about processor time.
	requestConcurrency = 16
	// responseTokens is the number of tokens in a response where the number of
	// requests varies, and tokenRowRequests the number of requests for each point
	// where the number of tokens varies.
	responseTokens   = 16
	tokenRowRequests = 1500
)

// requestPath is the path of a request through the real binary: an entry instance
// and a side process in front of an engine simulator in this process.
type requestPath struct {
	*environment
	engine  *engsim.Engine
	side    *osProcess
	entry   *osProcess
	key     string
	client  *http.Client
	prompts []string
	sent    atomic.Int64
	tokens  atomic.Int64
}

// newRequestPath starts both processes and sends some requests to warm them up.
func newRequestPath(ctx context.Context, config engsim.Config, concurrency int) (*requestPath, error) {
	key, spec := creds.Issue(organisationName(0))
	environment, err := newEnvironment(ctx, configSize{organisations: 1, upstreams: 1, adapters: 50}, spec)
	if err != nil {
		return nil, err
	}
	requestPath := &requestPath{environment: environment, key: key, prompts: longResponsePrompts(adapterName(0))}
	requestPath.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048}}
	if err := requestPath.startProcesses(ctx, config, concurrency); err != nil {
		environment.close()
		return nil, err
	}
	return requestPath, nil
}

func (requestPath *requestPath) startProcesses(ctx context.Context, config engsim.Config, concurrency int) error {
	// The organisation's rate is so high that no request waits for tokens.
	err := requestPath.publishPatch(patch.PutOrganisation{Organisation: conf.OrganisationSpec{
		Name: organisationName(0), Rate: 100_000_000, Burst: 1_000_000_000,
	}})
	if err != nil {
		return err
	}
	if requestPath.engine, err = engsim.New(config); err != nil {
		return err
	}
	requestPath.cleanups = append(requestPath.cleanups, requestPath.engine.Close)
	address, err := requestPath.serve(ctx, requestPath.engine)
	if err != nil {
		return err
	}
	if requestPath.side, err = requestPath.startSide(ctx, upstreamName(0), "http://"+address, concurrency); err != nil {
		return err
	}
	if requestPath.entry, err = requestPath.startEntry(ctx); err != nil {
		return err
	}
	sleep(ctx, settleDuration)
	return requestPath.sendRequests(ctx, 100, requestConcurrency, responseTokens)
}

// longResponsePrompts returns prompts for which the engine simulator generates at
// least 520 tokens, more than any row asks for.
func longResponsePrompts(adapter string) []string {
	var prompts []string
	for index := 0; len(prompts) < 32; index++ {
		prompt := fmt.Sprintf("Write letter %06d about a juniper of great age, with care and at length.", index)
		if length, _ := engsim.AnswerLength(adapter, 2, prompt, 1<<20); length >= 520 {
			prompts = append(prompts, prompt)
		}
	}
	return prompts
}

// sendRequests sends count requests, concurrency of them at a time, and waits for
// the responses. tokens is the maximum length of a response.
func (requestPath *requestPath) sendRequests(ctx context.Context, count, concurrency, tokens int) error {
	var remaining atomic.Int64
	remaining.Store(int64(count))
	var sending sync.WaitGroup
	failed := make(chan error, concurrency)
	for range concurrency {
		sending.Go(func() {
			for remaining.Add(-1) >= 0 {
				if err := requestPath.sendRequest(ctx, tokens); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	sending.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

func (requestPath *requestPath) sendRequest(ctx context.Context, tokens int) error {
	number := requestPath.sent.Add(1)
	body, err := json.Marshal(map[string]any{
		"model": adapterName(0), "prompt": requestPath.prompts[int(number)%len(requestPath.prompts)], "max_tokens": tokens, "stream": true,
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+requestPath.entry.callers+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+requestPath.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := requestPath.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || !bytes.Contains(content, []byte("[DONE]")) {
		return fmt.Errorf("status %d, %w: %.300s", response.StatusCode, err, content)
	}
	requestPath.tokens.Add(int64(bytes.Count(content, []byte("data:"))))
	return nil
}

// fastEngine returns the configuration of an engine simulator whose steps take a
// fixed time and whose prefill takes none.
func fastEngine(step time.Duration) engsim.Config {
	config := engsim.DefaultConfig()
	config.StepBase, config.StepPerRequest, config.StepPerAdapter = step, 0, 0
	config.PromptTokenTime = 0
	config.BatchLimit, config.QueueLimit = 4096, 4096
	return config
}

// measureCPUTime sends requests and returns the processor time that both
// processes used for them.
func (requestPath *requestPath) measureCPUTime(ctx context.Context, count, tokens int) (entry, side time.Duration, err error) {
	var before, after [2]time.Duration
	both := []*osProcess{requestPath.entry, requestPath.side}
	for index, process := range both {
		if before[index], err = process.cpuTime(); err != nil {
			return 0, 0, err
		}
	}
	if err := requestPath.sendRequests(ctx, count, requestConcurrency, tokens); err != nil {
		return 0, 0, err
	}
	for index, process := range both {
		if after[index], err = process.cpuTime(); err != nil {
			return 0, 0, err
		}
	}
	return after[0] - before[0], after[1] - before[1], nil
}

// requestCPUTime measures the processor time of both processes against the number
// of requests.
func requestCPUTime(ctx context.Context, sizes []float64) ([]series, error) {
	requestPath, err := newRequestPath(ctx, fastEngine(time.Millisecond), 64)
	if err != nil {
		return nil, err
	}
	defer requestPath.close()
	var table table
	for _, size := range sizes {
		entry, side, err := requestPath.measureCPUTime(ctx, int(size), responseTokens)
		if err != nil {
			return nil, err
		}
		table.add("-entry", "ms", size, milliseconds(entry))
		table.add("-side", "ms", size, milliseconds(side))
	}
	return table.list(), nil
}

// tokenCPUTime measures the processor time of a request at both processes against
// the number of tokens in its response.
func tokenCPUTime(ctx context.Context, sizes []float64) ([]series, error) {
	requestPath, err := newRequestPath(ctx, fastEngine(time.Millisecond), 64)
	if err != nil {
		return nil, err
	}
	defer requestPath.close()
	var table table
	for _, size := range sizes {
		entry, side, err := requestPath.measureCPUTime(ctx, tokenRowRequests, int(size))
		if err != nil {
			return nil, err
		}
		table.add("-entry", "us", size, milliseconds(entry)*1000/tokenRowRequests)
		table.add("-side", "us", size, milliseconds(side)*1000/tokenRowRequests)
	}
	return table.list(), nil
}

// holdDuration is how long requests are in flight before memory is measured.
const holdDuration = 8 * time.Second

// inFlightMemory measures the resident memory of both processes against the
// number of requests in flight.
func inFlightMemory(ctx context.Context, sizes []float64) ([]series, error) {
	var table table
	for _, size := range sizes {
		if err := measureInFlight(ctx, int(size), &table); err != nil {
			return nil, err
		}
	}
	return table.list(), nil
}

func measureInFlight(ctx context.Context, count int, table *table) error {
	requestPath, err := newRequestPath(ctx, fastEngine(40*time.Millisecond), 4096)
	if err != nil {
		return err
	}
	defer requestPath.close()
	heldCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		// A response of 500 steps of 40 ms lasts longer than holdDuration.
		_ = requestPath.sendRequests(heldCtx, count, count, 500)
	}()
	sleep(ctx, holdDuration)
	for suffix, process := range map[string]*osProcess{"-entry": requestPath.entry, "-side": requestPath.side} {
		value, err := process.statusBytes("VmRSS")
		if err != nil {
			return err
		}
		table.add(suffix, "MB", float64(count), value/1e6)
	}
	cancel()
	<-done
	return nil
}

func init() {
	register(
		row{name: "request", description: "processor time of the real binary, 16 tokens an answer, the engine's apart", unit: "ms",
			sizeName: "requests", sizes: []float64{1000, 2000, 4000, 8000}, measureAll: requestCPUTime},
		row{name: "token", description: "processor time of a request at the real binary, the engine's apart", unit: "us",
			sizeName: "tokens", sizes: []float64{16, 64, 128, 256, 512}, measureAll: tokenCPUTime},
		row{name: "in-flight", description: "resident memory of the real binary", unit: "MB",
			sizeName: "requests in flight", sizes: []float64{50, 200, 400, 800}, measureAll: inFlightMemory},
	)
}
