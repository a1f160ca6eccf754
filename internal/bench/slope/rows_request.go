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
	configured "jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/creds"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

const (
	// lanes is the number of requests at a time where they are counted.
	lanes = 16
	// requestTokens is the length of answers where requests are counted, and
	// tokenRequests the number of requests where tokens are.
	requestTokens = 16
	tokenRequests = 1500
)

// path is an entry instance and a side process of the real binary before an
// engine stand-in in this process.
type path struct {
	*ground
	engine  *engsim.Engine
	side    *osProcess
	entry   *osProcess
	key     string
	client  *http.Client
	prompts []string
	sent    atomic.Int64
	tokens  atomic.Int64
}

// newPath starts both processes and warms the path up.
func newPath(ctx context.Context, config engsim.Config, concurrency int) (*path, error) {
	key, spec := creds.Issue(organisationName(0))
	ground, err := newGround(ctx, shape{organisations: 1, upstreams: 1, adapters: 50}, spec)
	if err != nil {
		return nil, err
	}
	path := &path{ground: ground, key: key, prompts: longPrompts(adapterName(0))}
	path.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048}}
	if err := path.begin(ctx, config, concurrency); err != nil {
		ground.close()
		return nil, err
	}
	return path, nil
}

func (path *path) begin(ctx context.Context, config engsim.Config, concurrency int) error {
	// One large organisation, so that no request waits for its tokens.
	err := path.publish(patch.PutOrganisation{Organisation: configured.OrganisationSpec{
		Name: organisationName(0), Rate: 100_000_000, Burst: 1_000_000_000,
	}})
	if err != nil {
		return err
	}
	if path.engine, err = engsim.New(config); err != nil {
		return err
	}
	path.stops = append(path.stops, path.engine.Close)
	address, err := path.serve(ctx, path.engine)
	if err != nil {
		return err
	}
	if path.side, err = path.startSide(ctx, upstreamName(0), "http://"+address, concurrency); err != nil {
		return err
	}
	if path.entry, err = path.startEntry(ctx); err != nil {
		return err
	}
	sleep(ctx, settleTime)
	return path.send(ctx, 100, lanes, requestTokens)
}

// longPrompts returns prompts whose answers are as long as any row asks for.
func longPrompts(adapter string) []string {
	var prompts []string
	for index := 0; len(prompts) < 32; index++ {
		prompt := fmt.Sprintf("Write letter %06d about a juniper of great age, with care and at length.", index)
		if length, _ := engsim.AnswerLength(adapter, 2, prompt, 1<<20); length >= 520 {
			prompts = append(prompts, prompt)
		}
	}
	return prompts
}

// send sends requests in lanes and waits for the answers.
func (path *path) send(ctx context.Context, count, lanes, tokens int) error {
	var left atomic.Int64
	left.Store(int64(count))
	var sending sync.WaitGroup
	failed := make(chan error, lanes)
	for range lanes {
		sending.Go(func() {
			for left.Add(-1) >= 0 {
				if err := path.exchange(ctx, tokens); err != nil {
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

func (path *path) exchange(ctx context.Context, tokens int) error {
	number := path.sent.Add(1)
	body, err := json.Marshal(map[string]any{
		"model": adapterName(0), "prompt": path.prompts[int(number)%len(path.prompts)], "max_tokens": tokens, "stream": true,
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+path.entry.callers+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+path.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := path.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || !bytes.Contains(answer, []byte("[DONE]")) {
		return fmt.Errorf("status %d, %w: %.300s", response.StatusCode, err, answer)
	}
	path.tokens.Add(int64(bytes.Count(answer, []byte("data:"))))
	return nil
}

// fastEngine returns an engine whose steps take little time.
func fastEngine(step time.Duration) engsim.Config {
	config := engsim.DefaultConfig()
	config.StepBase, config.StepPerRequest, config.StepPerAdapter = step, 0, 0
	config.PromptTokenTime = 0
	config.BatchLimit, config.QueueLimit = 4096, 4096
	return config
}

// costs runs requests and notes the processor time of both processes.
func (path *path) costs(ctx context.Context, count, tokens int) (entry, side time.Duration, err error) {
	var before, after [2]time.Duration
	both := []*osProcess{path.entry, path.side}
	for index, process := range both {
		if before[index], err = process.processor(); err != nil {
			return 0, 0, err
		}
	}
	if err := path.send(ctx, count, lanes, tokens); err != nil {
		return 0, 0, err
	}
	for index, process := range both {
		if after[index], err = process.processor(); err != nil {
			return 0, 0, err
		}
	}
	return after[0] - before[0], after[1] - before[1], nil
}

// perRequest measures the processor time of both processes against the number
// of requests.
func perRequest(ctx context.Context, sizes []float64) ([]series, error) {
	path, err := newPath(ctx, fastEngine(time.Millisecond), 64)
	if err != nil {
		return nil, err
	}
	defer path.close()
	var table table
	for _, size := range sizes {
		entry, side, err := path.costs(ctx, int(size), requestTokens)
		if err != nil {
			return nil, err
		}
		table.add("-entry", "ms", size, milliseconds(entry))
		table.add("-side", "ms", size, milliseconds(side))
	}
	return table.list(), nil
}

// perToken measures the processor time of a request at both processes against
// the number of tokens in its answer.
func perToken(ctx context.Context, sizes []float64) ([]series, error) {
	path, err := newPath(ctx, fastEngine(time.Millisecond), 64)
	if err != nil {
		return nil, err
	}
	defer path.close()
	var table table
	for _, size := range sizes {
		entry, side, err := path.costs(ctx, tokenRequests, int(size))
		if err != nil {
			return nil, err
		}
		table.add("-entry", "us", size, milliseconds(entry)*1000/tokenRequests)
		table.add("-side", "us", size, milliseconds(side)*1000/tokenRequests)
	}
	return table.list(), nil
}

// holdTime is how long requests are held before memory is read.
const holdTime = 8 * time.Second

// inFlight measures resident memory of both processes against the number of
// running requests.
func inFlight(ctx context.Context, sizes []float64) ([]series, error) {
	var table table
	for _, size := range sizes {
		if err := inFlightOf(ctx, int(size), &table); err != nil {
			return nil, err
		}
	}
	return table.list(), nil
}

func inFlightOf(ctx context.Context, count int, table *table) error {
	path, err := newPath(ctx, fastEngine(40*time.Millisecond), 4096)
	if err != nil {
		return err
	}
	defer path.close()
	held, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		// 500 steps of 40 ms outlast the hold.
		_ = path.send(held, count, count, 500)
	}()
	sleep(ctx, holdTime)
	for suffix, process := range map[string]*osProcess{"-entry": path.entry, "-side": path.side} {
		value, err := process.status("VmRSS")
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
		row{name: "request", what: "processor time of the real binary, 16 tokens an answer, the engine's apart", unit: "ms",
			size: "requests", sizes: []float64{1000, 2000, 4000, 8000}, all: perRequest},
		row{name: "token", what: "processor time of a request at the real binary, the engine's apart", unit: "us",
			size: "tokens", sizes: []float64{16, 64, 128, 256, 512}, all: perToken},
		row{name: "in-flight", what: "resident memory of the real binary", unit: "MB",
			size: "requests in flight", sizes: []float64{50, 200, 400, 800}, all: inFlight},
	)
}
