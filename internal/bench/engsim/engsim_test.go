package engsim

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// newEngine returns an engine with the adapters a@1 and b@1 loaded. A step takes
// 20 ms and a load 250 ms unless change sets other times.
func newEngine(t *testing.T, change func(config *Config)) *Engine {
	t.Helper()
	config := DefaultConfig()
	config.StepPerRequest, config.StepPerAdapter, config.PromptTokenTime = 0, 0, 0
	if change != nil {
		change(&config)
	}
	engine, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Close)
	for _, adapter := range []string{"a", "b"} {
		if response := post(engine, "/v1/load_lora_adapter", "", fmt.Sprintf(`{"adapter":%q,"version":1}`, adapter)); response.Code != http.StatusOK {
			t.Fatalf("load answered %d %s", response.Code, response.Body)
		}
	}
	return engine
}

// post sends a request to an engine and returns its response. An aborted
// connection ends the response early.
func post(engine *Engine, path, id, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest("POST", path, strings.NewReader(body))
	request.Header.Set("X-Request-Id", id)
	func() {
		defer func() { _ = recover() }() // http.ErrAbortHandler
		engine.ServeHTTP(recorder, request)
	}()
	return recorder
}

// testRequest is a completion that a test sends.
type testRequest struct {
	adapter, prompt string
	tokens          int
	priority        int
}

// sendAll sends requests in order without waiting for answers, then waits for all
// of them and returns what the engine recorded.
func sendAll(engine *Engine, requests []testRequest) Observed {
	var group sync.WaitGroup
	for index, request := range requests {
		body := fmt.Sprintf(`{"model":"%s@1","prompt":%q,"max_tokens":%d,"priority":%d,"stream":true}`,
			request.adapter, request.prompt, request.tokens, request.priority)
		group.Go(func() { post(engine, "/v1/completions", fmt.Sprintf("r%d", index), body) })
		synctest.Wait()
	}
	group.Wait()
	return engine.Observed()
}

// Guards against an engine whose batch efficiency differs from that of continuous
// batching, on which the comparison of policies relies. All answers have 8
// tokens, the shortest length.
func TestBatching(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name     string
		config   func(config *Config)
		requests []testRequest
		steps    int
		tokens   int
		// first is the time from the first acceptance to each first token.
		first []time.Duration
	}{
		{"one", nil, []testRequest{{"a", "x", 8, 0}}, 8, 8, []time.Duration{20 * ms}},
		{"joins at the next step", nil, []testRequest{{"a", "x", 8, 0}, {"a", "y", 8, 0}}, 9, 16, []time.Duration{20 * ms, 40 * ms}},
		{"adapters share a batch", nil, []testRequest{{"a", "x", 8, 0}, {"b", "y", 8, 0}, {"a", "z", 8, 0}}, 9, 24, []time.Duration{20 * ms, 40 * ms, 40 * ms}},
		{"batch limit", func(config *Config) { config.BatchLimit = 1 }, []testRequest{{"a", "x", 8, 0}, {"a", "y", 8, 0}}, 16, 16, []time.Duration{20 * ms, 180 * ms}},
		{"priority", func(config *Config) { config.BatchLimit = 1 }, []testRequest{{"a", "x", 8, 0}, {"a", "y", 8, 5}, {"a", "z", 8, 1}}, 24, 24, []time.Duration{20 * ms, 340 * ms, 180 * ms}},
		{"cost per request and adapter", func(config *Config) { config.StepPerRequest, config.StepPerAdapter = ms, 2*ms }, []testRequest{{"a", "x", 8, 0}, {"b", "y", 8, 0}}, 9, 16, []time.Duration{23 * ms, 49 * ms}},
		{"prompt in chunks", func(config *Config) { config.PromptTokenTime, config.PrefillChunk = ms, 10 }, []testRequest{{"a", strings.Repeat("x", 100), 8, 0}}, 10, 8, []time.Duration{85 * ms}},
		{"cached prompt", func(config *Config) { config.PromptTokenTime, config.BatchLimit = ms, 1 }, []testRequest{{"a", strings.Repeat("x", 128), 8, 0}, {"a", strings.Repeat("x", 132), 8, 0}}, 16, 16, []time.Duration{52 * ms, 213 * ms}},
		{"no cache across adapters", func(config *Config) { config.PromptTokenTime, config.BatchLimit = ms, 1 }, []testRequest{{"a", strings.Repeat("x", 128), 8, 0}, {"b", strings.Repeat("x", 128), 8, 0}}, 16, 16, []time.Duration{52 * ms, 244 * ms}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				observed := sendAll(newEngine(t, test.config), test.requests)
				var first []time.Duration
				for _, accepted := range observed.AcceptedRequests {
					first = append(first, accepted.FirstToken.Sub(observed.AcceptedRequests[0].Accepted))
				}
				if diff := cmp.Diff(test.first, first); diff != "" || observed.Steps != test.steps || observed.Tokens != test.tokens {
					t.Errorf("%d tokens in %d steps, want %d in %d; first tokens (-want +got):\n%s", observed.Tokens, observed.Steps, test.tokens, test.steps, diff)
				}
			})
		})
	}
}

// Guards against requests that end too early, too late or with the wrong outcome
// when a fault or an unload order reaches the engine 110 ms after they began, in
// the middle of a step.
func TestDisturbances(t *testing.T) {
	unload := func(engine *Engine) {
		post(engine, "/v1/unload_lora_adapter", "", `{"adapter":"a","version":1}`)
	}
	tests := []struct {
		name       string
		config     func(config *Config)
		disturb    func(engine *Engine)
		outcome    string
		violations int
		loaded     int
		took       time.Duration
	}{
		{"none", nil, func(*Engine) {}, outcomeFinished, 0, 2, 160 * time.Millisecond},
		{"restart", nil, func(engine *Engine) { _ = engine.ApplyControl(ControlRequest{Restart: &Restart{}}) }, outcomeRestarted, 0, 0, 110 * time.Millisecond},
		{"freeze", nil, func(engine *Engine) { _ = engine.ApplyControl(ControlRequest{Freeze: infra.Duration(time.Second)}) }, outcomeFinished, 0, 2, 1150 * time.Millisecond},
		{"unload in use refused", nil, unload, outcomeFinished, 1, 2, 160 * time.Millisecond},
		{"unload in use performed", func(config *Config) { config.UnloadInUse = UnloadPerform }, unload, outcomeEvicted, 1, 1, 110 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := newEngine(t, test.config)
				incarnation := engine.Observed().Incarnation
				time.AfterFunc(110*time.Millisecond, func() { test.disturb(engine) })
				observed := sendAll(engine, []testRequest{{"a", "x", 8, 0}})
				accepted := observed.AcceptedRequests[0]
				if took := accepted.Ended.Sub(accepted.Accepted); accepted.Outcome != test.outcome || took != test.took {
					t.Errorf("outcome %q after %v, want %q after %v", accepted.Outcome, took, test.outcome, test.took)
				}
				if len(observed.Violations) != test.violations || len(engine.listAdapters(true)) != test.loaded {
					t.Errorf("%d violations, loaded %v; want %d, %d", len(observed.Violations), engine.listAdapters(true), test.violations, test.loaded)
				}
				if restarted := observed.Restarts > 0; restarted != (observed.Incarnation != incarnation) {
					t.Errorf("incarnation %s after %s, restarted %v", observed.Incarnation, incarnation, restarted)
				}
			})
		})
	}
}

// Guards against a load that runs twice, whose failure is not reported or that
// survives a restart.
func TestLoads(t *testing.T) {
	tests := []struct {
		name    string
		orders  int
		control ControlRequest
		later   ControlRequest
		status  int
		took    time.Duration
		loads   int
	}{
		{"one", 1, ControlRequest{}, ControlRequest{}, 200, 250 * time.Millisecond, 1},
		{"shared", 3, ControlRequest{}, ControlRequest{}, 200, 250 * time.Millisecond, 1},
		{"slow", 1, ControlRequest{LoadFault: &infra.Fault{Mode: ModeSlow, Delay: infra.Duration(time.Second)}}, ControlRequest{}, 200, 1250 * time.Millisecond, 1},
		{"failing", 2, ControlRequest{LoadFault: &infra.Fault{Mode: ModeFailing, ID: "c"}}, ControlRequest{}, 502, 250 * time.Millisecond, 1},
		{"another adapter fails", 1, ControlRequest{LoadFault: &infra.Fault{Mode: ModeFailing, ID: "d"}}, ControlRequest{}, 200, 250 * time.Millisecond, 1},
		{"restart", 1, ControlRequest{}, ControlRequest{Restart: &Restart{}}, 502, 100 * time.Millisecond, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := newEngine(t, nil)
				if err := engine.ApplyControl(test.control); err != nil {
					t.Fatal(err)
				}
				time.AfterFunc(100*time.Millisecond, func() { _ = engine.ApplyControl(test.later) })
				var group sync.WaitGroup
				for range test.orders {
					group.Go(func() {
						if response := post(engine, "/v1/load_lora_adapter", "", `{"adapter":"c","version":1}`); response.Code != test.status {
							t.Errorf("status %d %s, want %d", response.Code, response.Body, test.status)
						}
					})
				}
				group.Wait()
				loads := engine.Observed().Loads[2:]
				if len(loads) != test.loads || loads[0].Duration() != test.took || (loads[0].Error == "") != (test.status == 200) {
					t.Errorf("loads %+v, want %d of %v", loads, test.loads, test.took)
				}
			})
		})
	}
}

// Guards against load reports without lag and against cache events that are
// visible too early or without loss.
func TestReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newEngine(t, func(config *Config) { config.CacheEventLoss, config.CacheBlocks = 0.5, 8 })
		get := func(path string) string {
			recorder := httptest.NewRecorder()
			engine.ServeHTTP(recorder, httptest.NewRequest("GET", path, nil))
			return recorder.Body.String()
		}
		go sendAll(engine, []testRequest{{"a", strings.Repeat("x", 64*20), 8, 0}})
		steps := []struct {
			wait            time.Duration
			running, events bool
		}{
			{100 * time.Millisecond, false, false},
			{150 * time.Millisecond, true, false},
			{500 * time.Millisecond, false, true},
		}
		for _, step := range steps {
			time.Sleep(step.wait)
			if state := get("/v1/state"); strings.Contains(state, `"running":1`) != step.running {
				t.Errorf("state %s, want running %v", state, step.running)
			}
			events := get("/v1/cache-events?from=0")
			stored, removed := strings.Count(events, eventStored), strings.Count(events, eventRemoved)
			if some := stored > 0 && stored < 20 && removed > 0 && removed < 12; some != step.events {
				t.Errorf("%d of 20 blocks stored and %d of 12 removed, want some of each %v", stored, removed, step.events)
			}
		}
	})
}
