package side

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// Drain refuses new requests, returns queued ones as not run, and waits until
// the running ones have ended, at most for the drain timeout.
func (server *Server) Drain(ctx context.Context) error {
	server.mu.Lock()
	server.draining = true
	server.recheckQueue()
	inFlight := server.inFlight
	server.mu.Unlock()
	timer := time.NewTimer(server.config.DrainTimeout)
	defer timer.Stop()
	for inFlight > 0 {
		select {
		case <-server.idle:
		case <-timer.C:
			return fault.New(fault.DeadlineExceeded, fault.DidRun, "%d requests still run at the drain limit; raise drain-limit", inFlight)
		case <-ctx.Done():
			return ctx.Err()
		}
		server.mu.Lock()
		inFlight = server.inFlight
		server.mu.Unlock()
	}
	server.claims.flush(ctx)
	return nil
}
