// Package engsim stands in for an inference engine: continuous batching over few
// adapter slots, a prefix cache and server-sent events. It serves the protocol of
// section 14 of the design page.
package engsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
)

// Engine is an http.Handler.
type Engine struct {
	config   Config
	mux      *http.ServeMux
	requests *infra.RequestLog
	loads    *infra.FaultInjector
	calls    *infra.FaultInjector

	mutex    sync.Mutex
	observed observer

	// The rest is lost at a restart.
	epoch    string
	life     context.Context
	end      context.CancelFunc
	fence    uint64
	role     string
	slots    map[AdapterRef]*slot
	cache    *prefixCache
	events   *eventLog
	batch    batch
	reports  reports
	resumes  map[string]*run
	restarts int
	// downUntil and frozenUntil are the ends of faults.
	downUntil, frozenUntil time.Time
}

// New returns an Engine with nothing loaded.
func New(config Config) (*Engine, error) {
	if err := config.check(); err != nil {
		return nil, fmt.Errorf("engine stand-in: %w", err)
	}
	if config.WeightStore == nil {
		config.WeightStore = localWeights{}
	}
	engine := &Engine{
		config: config, mux: http.NewServeMux(), requests: infra.NewRequestLog(),
		loads:    infra.NewFaultInjector(config.Seed, ModeFailing, ModeSlow),
		calls:    infra.NewFaultInjector(config.Seed+1, ModeRefusing, ModeCutBefore, ModeCutStream),
		observed: observer{refused: map[string]int{}},
	}
	engine.reset()
	engine.mux.HandleFunc("POST /v1/completions", engine.serveCompletions)
	engine.mux.HandleFunc("POST /v1/chat/completions", engine.serveCompletions)
	engine.mux.HandleFunc("POST /v1/load_lora_adapter", engine.serveLoad)
	engine.mux.HandleFunc("POST /v1/unload_lora_adapter", engine.serveUnload)
	engine.mux.HandleFunc("POST /v1/role", engine.serveRole)
	engine.mux.HandleFunc("GET /v1/state", engine.serveState)
	engine.mux.HandleFunc("GET /v1/cache-events", engine.serveEvents)
	engine.mux.HandleFunc("POST /control", engine.serveControl)
	engine.mux.HandleFunc("GET /observed", func(writer http.ResponseWriter, _ *http.Request) {
		infra.WriteJSON(writer, engine.Observed())
	})
	return engine, nil
}

// reset begins a new epoch with nothing loaded. The caller holds the mutex or is
// the only one that knows the engine.
func (engine *Engine) reset() {
	if engine.end != nil {
		engine.end()
	}
	engine.life, engine.end = context.WithCancel(context.Background())
	engine.epoch = fmt.Sprintf("%s-%d", strconv.FormatInt(time.Now().UnixNano(), 36), engine.restarts)
	engine.fence, engine.role = 0, "serve"
	engine.slots = map[AdapterRef]*slot{}
	random := rand.New(rand.NewPCG(engine.config.Seed, uint64(engine.restarts)))
	events := &eventLog{lag: engine.config.CacheEventLag, loss: engine.config.CacheEventLoss, random: random}
	engine.events = events
	engine.cache = newPrefixCache(engine.config.CacheBlocks, events.add)
	engine.batch = batch{}
	engine.reports = reports{}
	engine.resumes = map[string]*run{}
}

// ServeHTTP implements http.Handler.
func (engine *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if path := request.URL.Path; path != "/control" && path != "/observed" {
		engine.await(request)
	}
	engine.mux.ServeHTTP(writer, request)
}

// await cuts requests while the engine is down and holds them while it is frozen.
func (engine *Engine) await(request *http.Request) {
	for {
		engine.mutex.Lock()
		now, down, frozen, life := time.Now(), engine.downUntil, engine.frozenUntil, engine.life
		engine.mutex.Unlock()
		if now.Before(down) {
			infra.AbortConnection()
		}
		if !now.Before(frozen) {
			return
		}
		timer := time.NewTimer(frozen.Sub(now))
		select {
		case <-timer.C:
		case <-request.Context().Done():
			infra.AbortConnection()
		case <-life.Done():
			infra.AbortConnection()
		}
	}
}

// Close ends the engine's loads and requests for good.
func (engine *Engine) Close() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.abortAll(outcomeRestarted)
	engine.end()
}
