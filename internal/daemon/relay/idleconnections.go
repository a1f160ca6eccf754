package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCheckInterval is the time between two interruptions of idle connections
// during a drain.
const idleCheckInterval = 5 * time.Millisecond

// idleConnections tracks the idle connections of callers. At a shutdown,
// http.Server closes idle connections although it may have read a request whose
// handling has not begun. Interrupting their reads instead serves the requests
// that were read, and leaves the others unread.
type idleConnections struct {
	mutex sync.Mutex
	idle  map[net.Conn]bool
}

func newIdleConnections() *idleConnections { return &idleConnections{idle: make(map[net.Conn]bool)} }

// trackState is the hook of http.Server for changes of a connection's state.
func (idleConnections *idleConnections) trackState(conn net.Conn, state http.ConnState) {
	idleConnections.mutex.Lock()
	defer idleConnections.mutex.Unlock()
	if state == http.StateIdle {
		idleConnections.idle[conn] = true
		return
	}
	delete(idleConnections.idle, conn)
}

// drain interrupts the idle connections until there is none or ctx ends. Responses
// must already close their connections when it is called.
func (idleConnections *idleConnections) drain(ctx context.Context) {
	for ctx.Err() == nil && idleConnections.interruptReads() > 0 {
		timer := time.NewTimer(idleCheckInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// interruptReads interrupts reading from the idle connections and returns their
// number.
func (idleConnections *idleConnections) interruptReads() int {
	idleConnections.mutex.Lock()
	defer idleConnections.mutex.Unlock()
	for conn := range idleConnections.idle {
		// An error means that the connection is closed already.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
	return len(idleConnections.idle)
}
