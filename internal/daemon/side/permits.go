package side

import (
	"time"

	"go.uber.org/zap"
)

const (
	// permitLifetime is how long a permit that no load used is kept. The weight
	// store takes longer for each load when many are in flight, so permits must
	// not be accumulated.
	permitLifetime = 500 * time.Millisecond
	// permitBackoff is the pause after a permit could not be acquired.
	permitBackoff = 250 * time.Millisecond
)

// permitPool holds load permits that were acquired for no particular adapter.
// Which adapter is loaded, and which one is evicted for it, is decided once a
// permit is held: while permits are scarce, that may be seconds after the
// request for it.
type permitPool struct {
	held      int
	expiresAt time.Time
	acquiring bool
}

// available returns the number of permits that may be used now.
func (permitPool *permitPool) available(now time.Time) int {
	if now.After(permitPool.expiresAt) {
		permitPool.held = 0
	}
	return permitPool.held
}

// requestPermit acquires a permit in the background, one at a time. The caller
// holds the lock.
func (server *Server) requestPermit() {
	if server.permits.acquiring {
		return
	}
	server.permits.acquiring = true
	server.workers.Add(1)
	go server.acquirePermit()
}

func (server *Server) acquirePermit() {
	defer server.workers.Done()
	ctx := server.background
	err := server.config.Permits.Acquire(ctx)
	if err != nil && ctx.Err() == nil {
		server.count("permit-failures")
		server.config.Logger.Warn("place: failed to acquire a load permit", zap.NamedError("reason", err))
		time.Sleep(permitBackoff)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	server.permits.acquiring = false
	if err == nil {
		server.permits.held++
		server.permits.expiresAt = time.Now().Add(permitLifetime)
	}
	server.schedule()
}
