package side

import (
	"time"

	"go.uber.org/zap"
)

const (
	// permitLife is how long a permit that no load used is kept. The store
	// counts loads in flight, so that permits must not be saved up.
	permitLife = 500 * time.Millisecond
	// permitPause is the wait after permits could not be reached.
	permitPause = 250 * time.Millisecond
)

// permits holds the load permits that were acquired for no particular adapter:
// which one is loaded, and which one is evicted for it, is decided when the
// permit is there. While permits are scarce, that may be seconds later.
type permits struct {
	held   int
	until  time.Time
	asking bool
}

// take returns the number of permits that may be used now.
func (permits *permits) take(now time.Time) int {
	if now.After(permits.until) {
		permits.held = 0
	}
	return permits.held
}

// askPermit acquires a permit in the background, one at a time. It is called
// with the lock held.
func (server *Server) askPermit() {
	if server.permits.asking {
		return
	}
	server.permits.asking = true
	server.loads.Add(1)
	go server.acquirePermit()
}

func (server *Server) acquirePermit() {
	defer server.loads.Done()
	ctx := server.background
	err := server.config.Permits.Acquire(ctx)
	if err != nil && ctx.Err() == nil {
		server.count("permit-failures")
		server.config.Logger.Warn("place: failed to acquire a load permit", zap.NamedError("reason", err))
		time.Sleep(permitPause)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	server.permits.asking = false
	if err == nil {
		server.permits.held++
		server.permits.until = time.Now().Add(permitLife)
	}
	server.pump()
}
