package relay

import (
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/order"
)

// minBacklogRetryAfter is the least time after which a caller is told to retry when
// too much waits at all engines. Loaders report what waits there within that time.
const minBacklogRetryAfter = 500 * time.Millisecond

// startBy returns when the request must start to meet its response-time goal, or zero
// if it has none. A request that continues a stream was due at its arrival.
func (proxyRequest *proxyRequest) startBy() time.Time {
	if proxyRequest.resumes() {
		return proxyRequest.started
	}
	return proxyRequest.latestSend()
}

// routePriority returns the priority of the route if the organisation's takes its place.
func (proxyRequest *proxyRequest) routePriority() int {
	if proxyRequest.resumes() || proxyRequest.organisation == nil || proxyRequest.organisation.Priority == nil {
		return 0
	}
	return proxyRequest.route.Priority
}

// organisationHash returns a hash of the organisation's name, 0 if there is none.
func (proxyRequest *proxyRequest) organisationHash() uint32 {
	if proxyRequest.organisation == nil {
		return 0
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(proxyRequest.organisation.Name))
	return hash.Sum32()
}

// presentClass returns the present class of the request in the order at engines.
func (proxyRequest *proxyRequest) presentClass() order.Class {
	switch {
	case proxyRequest.resumes():
		return order.Bound
	case proxyRequest.late():
		return order.Late
	default:
		return order.OnTime
	}
}

// loggedClass returns the class of the request when it was last sent, or the present
// one if it was not.
func (proxyRequest *proxyRequest) loggedClass() order.Class {
	if proxyRequest.sends > 0 {
		return proxyRequest.orderClass
	}
	return proxyRequest.presentClass()
}

// backlogRefusal returns the refusal of a new request for which more waits at every
// engine than can be admitted before its caller gives up, or nil. It is asked for once,
// before the request begins to wait, so that none is refused for later ones.
func (proxyRequest *proxyRequest) backlogRefusal() *refusal {
	refused := proxyRequest.checkBacklog()
	if refused != nil {
		proxyRequest.relay.metrics.increment("refused-for-backlog")
	}
	return refused
}

// checkBacklog is backlogRefusal without a count.
func (proxyRequest *proxyRequest) checkBacklog() *refusal {
	if proxyRequest.service.Engine == nil || proxyRequest.resumes() {
		return nil
	}
	wait, known := proxyRequest.relay.picker.LeastWait(proxyRequest.requirements())
	remaining := proxyRequest.remainingWait()
	if !known || remaining <= 0 || wait <= remaining {
		return nil
	}
	return &refusal{http.StatusServiceUnavailable, "more waits at every engine than its caller's time admits", backlogRetryAfter(wait - remaining)}
}

// backlogRetryAfter returns when a caller may retry if the engines need a time to admit
// what is too much, up to half as long again, so that not all return at once.
func backlogRetryAfter(excess time.Duration) time.Duration {
	shortest := max(excess, minBacklogRetryAfter)
	return min(shortest+rand.N(shortest/2+1), maxPermitRetryAfter)
}
