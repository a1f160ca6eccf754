package side

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Serve follows the configuration, the instance list and the engine's state
// until ctx ends. It returns once all loads have ended.
func (server *Server) Serve(ctx context.Context) error {
	defer server.workers.Wait()
	defer server.stopBackground()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { every(ctx, server.pollNow, server.pollEngine) })
	group.Go(func() { every(ctx, nil, server.claims.flush) })
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		changed := server.config.ConfigSource.Changed()
		server.applyConfig()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

// stopBackground ends the background work. No load starts after this call.
func (server *Server) stopBackground() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.cancelBackground()
	server.timer.Stop()
}

// every calls work immediately, at each poll interval and at each wake signal
// until ctx ends.
func every(ctx context.Context, wake <-chan struct{}, work func(context.Context)) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-ticker.C:
		}
	}
}

// applyConfig checks the waiting requests and the hosted shards against the
// current configuration.
func (server *Server) applyConfig() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.pauseDetector.tick(time.Now())
	server.shards.update(server.current())
	server.recheckQueue()
}

// pollEngine reads the engine's state. Plain services have none.
func (server *Server) pollEngine(ctx context.Context) {
	if upstream, ok := server.current().Upstream(server.config.UpstreamID); !ok || upstream.Plain {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	askedAt := time.Now()
	inReport := server.tasksInReport(askedAt)
	state, err := server.config.UpstreamClient.State(ctx)
	if err != nil {
		return
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	server.engine.reportedAt = askedAt
	server.updateFencingToken(state)
	if !server.engine.known || state.Incarnation != server.engine.incarnation {
		server.resetEngine(state)
	}
	server.table.Resize(state.Slots)
	server.confirmEnds(askedAt, state, inReport)
	server.schedule()
}

// resetEngine resets the slot table to the state of a new incarnation of the
// engine. In the first incarnation that this process sees, requests of an
// earlier side process may still run.
func (server *Server) resetEngine(state EngineState) {
	first := !server.engine.known
	server.engine.generation++
	server.engine.incarnation, server.engine.known = state.Incarnation, true
	server.unconfirmed = nil
	now := time.Now()
	server.table.Reset(now, state.Slots, state.Loaded)
	if first {
		server.pinInherited(now, state.Loaded)
	}
	server.config.Logger.Info("place: new engine epoch", zap.String("epoch", state.Incarnation),
		zap.Int("slots", state.Slots), zap.Int("loaded", len(state.Loaded)), zap.String("upstream", server.config.UpstreamID))
}
