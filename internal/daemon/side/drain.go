package side

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// Drain stops new work, hands queued work back as not run and waits until the
// running work has ended, at most for the drain limit.
func (server *Server) Drain(ctx context.Context) error {
	server.mu.Lock()
	server.draining = true
	server.review()
	live := server.live
	server.mu.Unlock()
	timer := time.NewTimer(server.config.DrainTimeout)
	defer timer.Stop()
	for live > 0 {
		select {
		case <-server.empty:
		case <-timer.C:
			return fault.New(fault.DeadlineExceeded, fault.DidRun, "%d requests still run at the drain limit; raise drain-limit", live)
		case <-ctx.Done():
			return ctx.Err()
		}
		server.mu.Lock()
		live = server.live
		server.mu.Unlock()
	}
	server.claims.flush(ctx)
	return nil
}
