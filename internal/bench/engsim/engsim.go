// Package engsim simulates an inference engine: continuous batching, a small
// number of adapter slots, a prefix cache and answers as server-sent events. It
// serves the engine protocol in section 14 of the design page.
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

// Engine is the simulated inference engine. It is an http.Handler and safe for
// concurrent use.
type Engine struct {
	config           Config
	mux              *http.ServeMux
	requests         *infra.RequestLog
	loadFaults       *infra.FaultInjector
	completionFaults *infra.FaultInjector

	// mutex protects the fields below.
	mutex    sync.Mutex
	observer observer

	// The fields below are set anew at each restart, except restarts, which
	// counts the restarts.
	incarnation    string
	incarnationCtx context.Context
	endIncarnation context.CancelFunc
	// newestFencingToken is the highest fencing token seen.
	newestFencingToken uint64
	role               string
	slots              map[AdapterRef]*slot
	cache              *prefixCache
	cacheEvents        *cacheEventLog
	batch              batch
	loadHistory        loadHistory
	resumable          map[string]*job
	restarts           int
	// downUntil and frozenUntil are the ends of a restart's downtime and of a
	// freeze.
	downUntil, frozenUntil time.Time
}

// New returns an Engine without loaded adapters. It returns an error if the
// configuration is invalid.
func New(config Config) (*Engine, error) {
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("engine stand-in: %w", err)
	}
	if config.WeightStore == nil {
		config.WeightStore = fixedTimeStore{}
	}
	engine := &Engine{
		config: config, mux: http.NewServeMux(), requests: infra.NewRequestLog(),
		loadFaults:       infra.NewFaultInjector(config.Seed, ModeFailing, ModeSlow),
		completionFaults: infra.NewFaultInjector(config.Seed+1, ModeRefusing, ModeCutBefore, ModeCutStream),
		observer:         observer{refused: map[string]int{}},
	}
	engine.startIncarnation()
	engine.mux.HandleFunc("POST /v1/completions", engine.serveCompletions)
	engine.mux.HandleFunc("POST /v1/chat/completions", engine.serveCompletions)
	engine.mux.HandleFunc("POST /v1/load_lora_adapter", engine.serveLoad)
	engine.mux.HandleFunc("POST /v1/unload_lora_adapter", engine.serveUnload)
	engine.mux.HandleFunc("POST /v1/role", engine.serveRole)
	engine.mux.HandleFunc("GET /v1/state", engine.serveState)
	engine.mux.HandleFunc("GET /v1/cache-events", engine.serveCacheEvents)
	engine.mux.HandleFunc("POST /control", engine.serveControl)
	engine.mux.HandleFunc("GET /observed", func(writer http.ResponseWriter, _ *http.Request) {
		infra.WriteJSON(writer, engine.Observed())
	})
	return engine, nil
}

// startIncarnation begins a new incarnation without loaded adapters. The caller
// holds the mutex, or no other goroutine uses the engine yet.
func (engine *Engine) startIncarnation() {
	if engine.endIncarnation != nil {
		engine.endIncarnation()
	}
	engine.incarnationCtx, engine.endIncarnation = context.WithCancel(context.Background())
	engine.incarnation = fmt.Sprintf("%s-%d", strconv.FormatInt(time.Now().UnixNano(), 36), engine.restarts)
	engine.newestFencingToken, engine.role = 0, "serve"
	engine.slots = map[AdapterRef]*slot{}
	random := rand.New(rand.NewPCG(engine.config.Seed, uint64(engine.restarts)))
	events := &cacheEventLog{lag: engine.config.CacheEventLag, lossRate: engine.config.CacheEventLoss, random: random}
	engine.cacheEvents = events
	engine.cache = newPrefixCache(engine.config.CacheBlocks, events.add)
	engine.batch = batch{}
	engine.loadHistory = loadHistory{}
	engine.resumable = map[string]*job{}
}

// ServeHTTP implements http.Handler.
func (engine *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if path := request.URL.Path; path != "/control" && path != "/observed" {
		engine.waitUntilAvailable(request)
	}
	engine.mux.ServeHTTP(writer, request)
}

// waitUntilAvailable aborts the connection while the engine is down and blocks
// the request while the engine is frozen.
func (engine *Engine) waitUntilAvailable(request *http.Request) {
	for {
		engine.mutex.Lock()
		now, downUntil, frozenUntil, ctx := time.Now(), engine.downUntil, engine.frozenUntil, engine.incarnationCtx
		engine.mutex.Unlock()
		if now.Before(downUntil) {
			infra.AbortConnection()
		}
		if !now.Before(frozenUntil) {
			return
		}
		timer := time.NewTimer(frozenUntil.Sub(now))
		select {
		case <-timer.C:
		case <-request.Context().Done():
			infra.AbortConnection()
		case <-ctx.Done():
			infra.AbortConnection()
		}
	}
}

// Close ends all loads and requests. The engine can't be used afterwards.
func (engine *Engine) Close() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.abortAll(outcomeRestarted)
	engine.endIncarnation()
}
