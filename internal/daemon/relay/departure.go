package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// The server learns that a caller has left by a read in the background. It learns it late if
// the instance is short of processor, and never if bytes follow the request. Hence nothing is
// decided on the server's word alone: the kernel is asked before each send and from time to
// time while a request runs.

// confirmInterval is how long a caller counts as present once it was seen, so that the checks
// of a request that waits for nothing cost one call.
const confirmInterval = 10 * time.Millisecond

// errCallerLeft is the cause with which a request's context ends when its caller has closed
// the connection.
var errCallerLeft = errors.New("the caller has left")

// caller is the caller of a running request.
type caller struct {
	conn  net.Conn
	leave context.CancelCauseFunc
	// presentAt is when the connection was last seen open.
	presentAt time.Time
}

// callerDepartures knows the callers of the running requests. Its methods may be called
// concurrently.
type callerDepartures struct {
	mutex   sync.Mutex
	callers map[*proxyRequest]*caller
}

func newCallerDepartures() *callerDepartures {
	return &callerDepartures{callers: make(map[*proxyRequest]*caller)}
}

// begin records that a request runs. leave ends its context.
func (callerDepartures *callerDepartures) begin(request *proxyRequest, leave context.CancelCauseFunc) {
	callerDepartures.mutex.Lock()
	defer callerDepartures.mutex.Unlock()
	callerDepartures.callers[request] = &caller{conn: callerConn(request.request.Context()), leave: leave, presentAt: request.started}
}

// end records that a request has ended.
func (callerDepartures *callerDepartures) end(request *proxyRequest) {
	callerDepartures.mutex.Lock()
	defer callerDepartures.mutex.Unlock()
	delete(callerDepartures.callers, request)
}

// check looks at the connections of all callers, and ends the contexts of the requests whose
// callers have left.
func (callerDepartures *callerDepartures) check() {
	callerDepartures.mutex.Lock()
	defer callerDepartures.mutex.Unlock()
	callers := make([]*caller, 0, len(callerDepartures.callers))
	polled := make([]unix.PollFd, 0, len(callerDepartures.callers))
	for _, caller := range callerDepartures.callers {
		if fd, ok := socketOf(caller.conn); ok {
			callers, polled = append(callers, caller), append(polled, unix.PollFd{Fd: fd, Events: unix.POLLRDHUP})
		}
	}
	if len(polled) == 0 {
		return
	}
	if _, err := unix.Poll(polled, 0); err != nil {
		return
	}
	now := time.Now()
	for i, caller := range callers {
		// The number may belong to another socket meanwhile, so a departure is confirmed.
		if polled[i].Revents&peerClosed != 0 && connClosed(caller.conn) {
			caller.leave(errCallerLeft)
			continue
		}
		caller.presentAt = now
	}
}

// presentAt returns when the caller of a running request was last seen.
func (callerDepartures *callerDepartures) presentAt(request *proxyRequest) time.Time {
	callerDepartures.mutex.Lock()
	defer callerDepartures.mutex.Unlock()
	if caller := callerDepartures.callers[request]; caller != nil {
		return caller.presentAt
	}
	return request.started
}

// confirmCaller asks the kernel whether the caller is still there, unless it was seen within
// confirmInterval. It returns an error and ends the request's context if not.
func (proxyRequest *proxyRequest) confirmCaller() error {
	ctx, now := proxyRequest.request.Context(), time.Now()
	if ctx.Err() == nil && now.Sub(proxyRequest.presentAt) >= confirmInterval {
		if proxyRequest.presentAt = now; connClosed(callerConn(ctx)) {
			proxyRequest.relay.metrics.increment("callers-left-unnoticed")
			proxyRequest.leave(errCallerLeft)
		}
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return nil
}

// maySend reports whether the request may still be sent: its time has not run out, and its
// caller is there.
func (proxyRequest *proxyRequest) maySend(ctx context.Context) bool {
	return ctx.Err() == nil && proxyRequest.confirmCaller() == nil
}

// recordDeparture records that the request ends as its caller has left.
func (proxyRequest *proxyRequest) recordDeparture() {
	relay := proxyRequest.relay
	sincePresent := time.Since(relay.departures.presentAt(proxyRequest))
	relay.metrics.increment("caller-left")
	departureDelay.Observe(sincePresent)
	proxyRequest.log("relay: caller disconnected", zap.Duration("since-present", sincePresent), zap.Stringer("stage", proxyRequest.stage))
}
