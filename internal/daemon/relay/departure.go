package relay

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// callerDepartures knows the callers of the running requests, to learn of their departure.
type callerDepartures struct {
	mutex   sync.Mutex
	callers map[*proxyRequest]*caller
}

// caller is the caller of a running request.
type caller struct {
	// presentAt is when the connection was last seen open.
	presentAt time.Time
}

func newCallerDepartures() *callerDepartures {
	return &callerDepartures{callers: make(map[*proxyRequest]*caller)}
}

// begin records that a request runs, and returns a function that records its end.
func (callerDepartures *callerDepartures) begin(request *proxyRequest) (end func()) {
	callerDepartures.mutex.Lock()
	defer callerDepartures.mutex.Unlock()
	callerDepartures.callers[request] = &caller{presentAt: request.started}
	return func() {
		callerDepartures.mutex.Lock()
		defer callerDepartures.mutex.Unlock()
		delete(callerDepartures.callers, request)
	}
}

// check looks at the connections of all callers.
func (callerDepartures *callerDepartures) check() {
	callerDepartures.mutex.Lock()
	defer callerDepartures.mutex.Unlock()
	for request, caller := range callerDepartures.callers {
		if !connClosed(callerConn(request.request.Context())) {
			caller.presentAt = time.Now()
		}
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

// recordSentFor records whether the caller has left when its request is sent.
func (proxyRequest *proxyRequest) recordSentFor() {
	if connClosed(callerConn(proxyRequest.request.Context())) {
		proxyRequest.relay.metrics.increment("sent-for-callers-left")
		proxyRequest.log("relay: request sent although its caller has left", zap.Duration("since-present", time.Since(proxyRequest.relay.departures.presentAt(proxyRequest))),
			zap.Duration("unread", proxyRequest.unread), zap.Bool("noticed", proxyRequest.request.Context().Err() != nil))
	}
}
