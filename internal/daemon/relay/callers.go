package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// endIdlePause is how often unused connections are looked for while they are
// ended.
const endIdlePause = 5 * time.Millisecond

// connections follows callers' connections that are unused. http.Server closes
// those at a shutdown although it may have read a request that it has not begun
// to handle. Here their reading is ended instead: what was read is served, and
// what was not stays unread.
type connections struct {
	mutex sync.Mutex
	idle  map[net.Conn]bool
}

func newConnections() *connections { return &connections{idle: make(map[net.Conn]bool)} }

// follow is the hook of http.Server for changes of a connection's state.
func (connections *connections) follow(conn net.Conn, state http.ConnState) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	if state == http.StateIdle {
		connections.idle[conn] = true
		return
	}
	delete(connections.idle, conn)
}

// endIdle ends the unused connections, and returns when there is none or ctx
// has ended. Answers must close their connections from before its call.
func (connections *connections) endIdle(ctx context.Context) {
	for ctx.Err() == nil && connections.interrupt() > 0 {
		timer := time.NewTimer(endIdlePause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// interrupt ends the reading of the unused connections and returns their number.
func (connections *connections) interrupt() int {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	for conn := range connections.idle {
		// A connection that has ended meanwhile needs no deadline.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
	return len(connections.idle)
}
