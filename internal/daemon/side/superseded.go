package side

import (
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// updateFencingToken compares the engine's fencing token with that of this
// process. At the engine's first report only, the process takes a token above
// those of earlier processes. A higher token in a later report belongs to a
// process that started later. So of two processes that serve one engine, only
// the one that started last continues, even if the other one was paused
// meanwhile.
func (server *Server) updateFencingToken(state EngineState) {
	switch {
	case state.FencingToken <= server.fencingToken:
	case !server.engine.known:
		server.fencingToken = state.FencingToken + 1
	case !server.isSuperseded:
		server.isSuperseded = true
		close(server.superseded)
		server.config.Logger.Error("place: a later side process serves this upstream, stopping",
			zap.String("upstream", server.config.UpstreamID), zap.Uint64("own-token", server.fencingToken), zap.Uint64("engine-token", state.FencingToken))
		server.recheckQueue()
	}
}

// Superseded returns a channel that is closed when a later side process has
// taken over the upstream. This process then refuses requests and grants no
// tokens; stop it.
func (server *Server) Superseded() <-chan struct{} { return server.superseded }

// pauseDetector detects that the process did not run for a while, during which
// keys may have been withdrawn and a later side process may have started.
type pauseDetector struct {
	// lastTick is the time of the last tick, resumedAt that of the first tick
	// after a pause.
	lastTick  time.Time
	resumedAt time.Time
}

// tick is called at each poll interval.
func (pauseDetector *pauseDetector) tick(now time.Time) {
	if now.Sub(pauseDetector.lastTick) > unresponsiveAfter {
		pauseDetector.resumedAt = now
	}
	pauseDetector.lastTick = now
}

// mayBeStale reports whether the process may have missed changes during a
// pause. This holds until the configuration was confirmed, or for
// maxConfigWait, in which engine, log, peers and instance list have been asked
// again. confirmed is the time since the last confirmation.
func (pauseDetector *pauseDetector) mayBeStale(now time.Time, confirmed time.Duration) bool {
	if now.Sub(pauseDetector.lastTick) > unresponsiveAfter {
		return true
	}
	since := now.Sub(pauseDetector.resumedAt)
	return !pauseDetector.resumedAt.IsZero() && since < maxConfigWait && confirmed >= since
}

// checkSuperseded refuses if a later side process has taken over, or may have
// during a pause.
func (server *Server) checkSuperseded() *fault.Fault {
	if server.isSuperseded {
		return fault.New(fault.Draining, fault.NotRun, "a later side process serves this upstream; send the request again")
	}
	if server.pauseDetector.mayBeStale(time.Now(), server.config.ConfigSource.ConfirmedAge()) {
		return fault.New(fault.Stale, fault.NotRun,
			"this side process was paused and checks its configuration; send the request to another upstream").WithRetryAfter(pollInterval)
	}
	return nil
}
