package side

import (
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// adoptFence compares the engine's fencing token with the own one. A process
// bids above its predecessors with its first report only. A higher token in a
// later report belongs to a successor, so that of two processes at one engine
// the one that began last stays, also when the other was paused meanwhile.
func (server *Server) adoptFence(state EngineState) {
	switch {
	case state.FencingToken <= server.fence:
	case !server.engine.known:
		server.fence = state.FencingToken + 1
	case !server.succeeded:
		server.succeeded = true
		close(server.superseded)
		server.config.Logger.Error("place: a later side process serves this upstream, stopping",
			zap.String("upstream", server.config.UpstreamID), zap.Uint64("own-token", server.fence), zap.Uint64("engine-token", state.FencingToken))
		server.review()
	}
}

// Superseded is closed when a later side process has taken over the upstream.
// This process then refuses work and grants no tokens; stop it.
func (server *Server) Superseded() <-chan struct{} { return server.superseded }

// pauseGuard notices that the process did not run for a while, in which keys
// may have been withdrawn and a successor may have started.
type pauseGuard struct {
	// beat is the last sign of life, resumed the first one after a pause.
	beat    time.Time
	resumed time.Time
}

// tick is called every statePoll.
func (guard *pauseGuard) tick(now time.Time) {
	if now.Sub(guard.beat) > silence {
		guard.resumed = now
	}
	guard.beat = now
}

// unsure reports whether the process may have missed changes during a pause.
// It ends with a confirmation of the configuration, or after freshWait, in
// which engine, log, peers and instance list have been asked again.
func (guard *pauseGuard) unsure(now time.Time, confirmed time.Duration) bool {
	if now.Sub(guard.beat) > silence {
		return true
	}
	since := now.Sub(guard.resumed)
	return !guard.resumed.IsZero() && since < freshWait && confirmed >= since
}

// gateSuccession refuses while the process may have been succeeded.
func (server *Server) gateSuccession() *fault.Fault {
	if server.succeeded {
		return fault.New(fault.Draining, fault.NotRun, "a later side process serves this upstream; send the request again")
	}
	if server.guard.unsure(time.Now(), server.config.ConfigSource.ConfirmedAge()) {
		return fault.New(fault.Stale, fault.NotRun,
			"this side process was paused and checks its configuration; send the request to another upstream").WithRetryAfter(statePoll)
	}
	return nil
}
