package relay

import (
	"slices"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/speed"
)

const (
	// maxLatencySamples is the number of latest requests of a route from which its
	// typical latencies are taken.
	maxLatencySamples = 32
	// firstEventQuantile is the quantile of the times to the first event that counts as
	// typical. It is high, so that a request that would be on time only by luck counts
	// as late.
	firstEventQuantile = 0.8
	// maxRoutes limits the routes whose latencies are kept.
	maxRoutes = 4096
)

// latencies holds the recent latencies of each route at upstreams, so that requests
// that cannot end before their caller's deadline are not sent. Its methods may be
// called concurrently.
type latencies struct {
	mutex  sync.Mutex
	routes map[string]*routeLatencies
}

// routeLatencies holds the recent latencies of one route, from the send to the first
// event and to the end of the response.
type routeLatencies struct {
	firstEvent []time.Duration
	total      []time.Duration
}

func newLatencies() *latencies { return &latencies{routes: make(map[string]*routeLatencies)} }

// recordFirstEvent records the time from a send to the first event.
func (latencies *latencies) recordFirstEvent(route string, took time.Duration) {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	recent := latencies.route(route)
	recent.firstEvent = speed.KeepNewest(append(recent.firstEvent, took), maxLatencySamples)
}

// recordTotal records the time from a send to the end of the response.
func (latencies *latencies) recordTotal(route string, took time.Duration) {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	recent := latencies.route(route)
	recent.total = speed.KeepNewest(append(recent.total, took), maxLatencySamples)
}

// typical returns a route's typical latencies, 0 if they are not known.
func (latencies *latencies) typical(route string) (firstEvent, total time.Duration) {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	recent, ok := latencies.routes[route]
	if !ok {
		return 0, 0
	}
	return speed.Quantile(recent.firstEvent, firstEventQuantile), speed.Median(recent.total)
}

// longest returns the longest recent latency of a route up to the end of the response, 0
// if none is known.
func (latencies *latencies) longest(route string) time.Duration {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	recent, ok := latencies.routes[route]
	if !ok || len(recent.total) == 0 {
		return 0
	}
	return slices.Max(recent.total)
}

// route returns the latencies of a route. If maxRoutes is reached, it first drops
// those of all routes.
func (latencies *latencies) route(name string) *routeLatencies {
	recent, ok := latencies.routes[name]
	if !ok {
		if len(latencies.routes) >= maxRoutes {
			clear(latencies.routes)
		}
		recent = &routeLatencies{}
		latencies.routes[name] = recent
	}
	return recent
}
