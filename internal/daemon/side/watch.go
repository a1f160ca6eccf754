package side

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Serve follows the configuration, the list of instances and the engine until
// ctx ends. It returns when no load is under way.
func (server *Server) Serve(ctx context.Context) error {
	defer server.loads.Wait()
	defer server.halt()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { every(ctx, server.wake, server.poll) })
	group.Go(func() { every(ctx, nil, server.claims.flush) })
	ticker := time.NewTicker(statePoll)
	defer ticker.Stop()
	for {
		changed := server.config.ConfigSource.Changed()
		server.follow()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

// halt ends the background work. No load starts after it.
func (server *Server) halt() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.stop()
	server.timer.Stop()
}

// every calls work at once, periodically and when it is woken until ctx ends.
func every(ctx context.Context, wake <-chan struct{}, work func(context.Context)) {
	ticker := time.NewTicker(statePoll)
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

// follow checks the waiting requests and the hosted shards against the current
// configuration.
func (server *Server) follow() {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.guard.tick(time.Now())
	server.shards.refresh(server.current())
	server.review()
}

// poll reads the engine's state. Plain services have none.
func (server *Server) poll(ctx context.Context) {
	if upstream, ok := server.current().Upstream(server.config.UpstreamID); !ok || upstream.Plain {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	asked := time.Now()
	before := server.worked(asked)
	state, err := server.config.UpstreamClient.State(ctx)
	if err != nil {
		return
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	server.engine.answered = asked
	server.adoptFence(state)
	if !server.engine.known || state.Epoch != server.engine.epoch {
		server.restart(state)
	}
	server.table.Resize(state.Slots)
	server.settleLingers(asked, state, before)
	server.pump()
}

// restart takes over the state of an engine that started anew.
func (server *Server) restart(state EngineState) {
	first := !server.engine.known
	server.engine.generation++
	server.engine.epoch, server.engine.known = state.Epoch, true
	server.lingers = nil
	now := time.Now()
	server.table.Reset(now, state.Slots, state.Loaded)
	if first {
		server.inherit(now, state.Loaded)
	}
	server.config.Logger.Info("place: engine started anew", zap.String("epoch", state.Epoch),
		zap.Int("slots", state.Slots), zap.Int("loaded", len(state.Loaded)), zap.String("upstream", server.config.UpstreamID))
}
