package relay

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/logs"
	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// While the loader of an engine does not answer, the engine itself tells which incarnation
// runs. Its own answer proves as much as the loader's, which comes from the same report: the
// process that gave it ran after it was asked. Loaders are asked first, as their answers cost
// the engine nothing.

const (
	// loaderPatience is how long a loader leaves asks unanswered until the engine is asked. It
	// exceeds several times incarnationAskInterval, as datagrams may be lost.
	loaderPatience = 100 * time.Millisecond
	// engineAskInterval is the least time between two asks of an engine, and maxEngineAsks
	// bounds the asks that run at the same time.
	engineAskInterval = 100 * time.Millisecond
	maxEngineAsks     = 4
	// engineWait bounds the time for which a stream that cannot go on without the answer of an
	// engine waits for one.
	engineWait = 250 * time.Millisecond
)

// EngineAnswer is what an engine says of itself.
type EngineAnswer struct {
	// StartedAt is the start of its incarnation in Unix milliseconds, 0 if it names none.
	StartedAt int64
	// Backoff is how long it wants no requests.
	Backoff time.Duration
}

// Engines asks engines for the incarnation that runs.
type Engines interface {
	// Ask asks the engine at an address, an IP:port. It returns within a second.
	Ask(ctx context.Context, address string) (EngineAnswer, error)
}

// engineAsks holds when engines were last asked, and which asks run, by the ids of the engines.
type engineAsks struct {
	mutex   sync.Mutex
	askedAt map[string]time.Time
	running map[string]bool
}

func newEngineAsks() *engineAsks {
	return &engineAsks{askedAt: make(map[string]time.Time), running: make(map[string]bool)}
}

// begin reports whether an engine may be asked now, and counts it as asked. The caller calls
// end when it has answered.
func (asks *engineAsks) begin(upstream string, now time.Time) bool {
	asks.mutex.Lock()
	defer asks.mutex.Unlock()
	if asks.running[upstream] || len(asks.running) >= maxEngineAsks || now.Sub(asks.askedAt[upstream]) < engineAskInterval {
		return false
	}
	asks.askedAt[upstream], asks.running[upstream] = now, true
	return true
}

func (asks *engineAsks) end(upstream string) {
	asks.mutex.Lock()
	defer asks.mutex.Unlock()
	delete(asks.running, upstream)
}

// keep forgets the upstreams that a function does not select.
func (asks *engineAsks) keep(listed func(upstream string) bool) {
	asks.mutex.Lock()
	defer asks.mutex.Unlock()
	maps.DeleteFunc(asks.askedAt, func(upstream string, _ time.Time) bool { return !listed(upstream) })
}

// askEngine asks an engine which incarnation runs, unless it was asked lately or wants no
// requests.
func (relay *Relay) askEngine(upstream fleet.Upstream) {
	if relay.config.Engines == nil {
		return
	}
	if _, cordoned := relay.cordon.Cordoned(incarnationOf(upstream)); cordoned || !relay.engineAsks.begin(upstream.ID, time.Now()) {
		return
	}
	go func() {
		defer relay.engineAsks.end(upstream.ID)
		askedAt := time.Now()
		answer, err := relay.config.Engines.Ask(context.Background(), upstream.Address)
		relay.recordEngineAnswer(upstream, answer, askedAt, err)
	}()
}

// recordEngineAnswer records what an engine said that was asked at a time.
func (relay *Relay) recordEngineAnswer(upstream fleet.Upstream, answer EngineAnswer, askedAt time.Time, err error) {
	relay.config.Logger.Debug("relay: engine asked for its incarnation", zap.String("upstream", upstream.ID),
		zap.Int64("started-at", answer.StartedAt), zap.Duration("took", time.Since(askedAt)), logs.ErrorField(err))
	if err != nil {
		relay.metrics.increment("engines-asked-failed")
		return
	}
	relay.metrics.increment("engines-asked")
	if answer.Backoff > 0 {
		relay.cordon.SetBackoff(incarnationOf(upstream), answer.Backoff)
	}
	if answer.StartedAt != 0 {
		relay.picker.RecordIncarnation(upstream.ID, answer.StartedAt, askedAt)
		relay.stateChanged.notify()
	}
}

// askSilentEngines asks the engines that may continue a stream for the incarnation that runs,
// as far as their loaders are silent and they have not answered lately.
func (relay *Relay) askSilentEngines(request picker.Request) {
	if !request.Resumed || !request.Engine {
		return
	}
	for _, upstream := range relay.picker.SilentEngines(request, maxEngineAsks) {
		relay.askEngine(upstream)
	}
}

// awaitEngines waits, if no loader is heard of the engines that may continue a stream, until
// one of these has answered itself, engineWait at most.
func (relay *Relay) awaitEngines(ctx context.Context, request picker.Request) {
	if relay.config.Engines == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, engineWait)
	defer cancel()
	for ctx.Err() == nil && relay.picker.Unheard(request) {
		changed := relay.stateChanged.next()
		relay.askSilentEngines(request)
		awaitChange(ctx, changed, engineAskInterval)
	}
}
