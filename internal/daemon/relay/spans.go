package relay

import (
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/speed"
)

const (
	// mostSpans is the number of latest requests of a route from which its usual
	// times are taken.
	mostSpans = 32
	// usualPart is the part of the requests whose first event comes within the
	// usual time. One that can be on time only with luck counts as late.
	usualPart = 0.8
	// mostRoutes bounds the routes of which times are kept.
	mostRoutes = 4096
)

// spans holds how long requests of each route take at upstreams, so that one is
// not begun that cannot end in its caller's time. Its methods may be called
// concurrently.
type spans struct {
	mutex  sync.Mutex
	routes map[string]*routeSpans
}

// routeSpans holds the latest times of one route, from the send to the first
// event and to the end.
type routeSpans struct {
	first []time.Duration
	whole []time.Duration
}

func newSpans() *spans { return &spans{routes: make(map[string]*routeSpans)} }

// began records the time from a send to the first event.
func (spans *spans) began(route string, took time.Duration) {
	spans.mutex.Lock()
	defer spans.mutex.Unlock()
	known := spans.route(route)
	known.first = speed.KeepNewest(append(known.first, took), mostSpans)
}

// ended records the time from a send to the end of the answer.
func (spans *spans) ended(route string, took time.Duration) {
	spans.mutex.Lock()
	defer spans.mutex.Unlock()
	known := spans.route(route)
	known.whole = speed.KeepNewest(append(known.whole, took), mostSpans)
}

// usual returns a route's usual times, 0 if they are not known.
func (spans *spans) usual(route string) (first, whole time.Duration) {
	spans.mutex.Lock()
	defer spans.mutex.Unlock()
	known, ok := spans.routes[route]
	if !ok {
		return 0, 0
	}
	return speed.Quantile(known.first, usualPart), speed.Median(known.whole)
}

func (spans *spans) route(name string) *routeSpans {
	known, ok := spans.routes[name]
	if !ok {
		if len(spans.routes) >= mostRoutes {
			clear(spans.routes)
		}
		known = &routeSpans{}
		spans.routes[name] = known
	}
	return known
}
