package stock

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/pace"
)

const (
	// mostFetches is the number of times of loading that are remembered.
	mostFetches = 16
	// quickPart is the part of the usual time from the store below which an
	// adapter was brought back by the engine itself.
	quickPart = 0.5
)

// Never is the depth of an adapter that was not held before.
const Never = -1

// Arrival is an adapter that has come to its engine.
type Arrival struct {
	Adapter Adapter
	// Took is the time from its order until a report named it.
	Took time.Duration
	// Depth is the number of other adapters that the engine dropped after it
	// last dropped this one, or Never.
	Depth int
	// Quick means that the engine brought it back by itself.
	Quick bool
}

// recall learns which of the adapters that an engine has dropped it can bring
// back by itself, which is quick and costs the store nothing.
type recall struct {
	Memory
	resident []Adapter
	ordered  map[Adapter]order
	// fetches holds how long the latest adapters from the store took.
	fetches []time.Duration
	// reach is the number of latest dropped adapters that come back quickly.
	reach int
}

type order struct {
	at    time.Time
	depth int
}

func newRecall() *recall { return &recall{ordered: make(map[Adapter]order), reach: mostDropped} }

// gave records an order to load an adapter.
func (recall *recall) gave(adapter Adapter) {
	if _, ok := recall.ordered[adapter]; !ok {
		recall.ordered[adapter] = order{at: time.Now(), depth: recall.Depth(adapter)}
	}
}

// observe takes over a report, and returns what has come since the last one.
func (recall *recall) observe(resident, pending []Adapter) []Arrival {
	var arrivals []Arrival
	for adapter, order := range recall.ordered {
		switch {
		case AnyServes(resident, adapter):
			arrivals = append(arrivals, recall.arrived(adapter, order))
			delete(recall.ordered, adapter)
		case !AnyServes(pending, adapter) && time.Since(order.at) > forgetOrder:
			delete(recall.ordered, adapter)
		}
	}
	recall.Follow(recall.resident, resident)
	recall.resident = resident
	return arrivals
}

// forgetOrder is how long an order counts that the engine does not show.
const forgetOrder = 5 * time.Second

// arrived judges how an adapter came, and learns from it how far the engine's
// memory reaches.
func (recall *recall) arrived(adapter Adapter, order order) Arrival {
	arrival := Arrival{Adapter: adapter, Took: time.Since(order.at), Depth: order.depth}
	usual := pace.Median(recall.fetches)
	arrival.Quick = order.depth != Never && usual > 0 && arrival.Took.Seconds() < usual.Seconds()*quickPart
	switch {
	case order.depth == Never:
		recall.fetches = append(recall.fetches, arrival.Took)
		recall.fetches = recall.fetches[max(len(recall.fetches)-mostFetches, 0):]
	case arrival.Quick:
		recall.reach = max(recall.reach, order.depth+1)
	case usual > 0:
		recall.reach = min(recall.reach, order.depth)
	}
	return arrival
}
