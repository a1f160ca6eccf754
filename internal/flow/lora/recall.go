package lora

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/speed"
)

const (
	// mostFetches is the number of times of loading that are remembered.
	mostFetches = 16
	// quickPart is the part of the usual time from the store below which an
	// adapter was brought back by the engine itself.
	quickPart = 0.5
)

// NeverEvicted is the depth of an adapter that was not held before.
const NeverEvicted = -1

// CompletedLoad is an adapter that has come to its engine.
type CompletedLoad struct {
	Adapter Adapter
	// Took is the time from its order until a report named it.
	Took time.Duration
	// Depth is the number of other adapters that the engine dropped after it
	// last dropped this one, or Never.
	Depth int
	// FromCache means that the engine brought it back by itself.
	FromCache bool
}

// recall learns which of the adapters that an engine has dropped it can bring
// back by itself, which is quick and costs the store nothing.
type recall struct {
	EvictionHistory
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
func (recall *recall) observe(resident, pending []Adapter) []CompletedLoad {
	var arrivals []CompletedLoad
	for adapter, order := range recall.ordered {
		switch {
		case AnySatisfies(resident, adapter):
			arrivals = append(arrivals, recall.arrived(adapter, order))
			delete(recall.ordered, adapter)
		case !AnySatisfies(pending, adapter) && time.Since(order.at) > forgetOrder:
			delete(recall.ordered, adapter)
		}
	}
	recall.Update(recall.resident, resident)
	recall.resident = resident
	return arrivals
}

// forgetOrder is how long an order counts that the engine does not show.
const forgetOrder = 5 * time.Second

// arrived judges how an adapter came, and learns from it how far the engine's
// memory reaches.
func (recall *recall) arrived(adapter Adapter, order order) CompletedLoad {
	arrival := CompletedLoad{Adapter: adapter, Took: time.Since(order.at), Depth: order.depth}
	usual := speed.Median(recall.fetches)
	arrival.FromCache = order.depth != NeverEvicted && usual > 0 && arrival.Took.Seconds() < usual.Seconds()*quickPart
	switch {
	case order.depth == NeverEvicted:
		recall.fetches = append(recall.fetches, arrival.Took)
		recall.fetches = recall.fetches[max(len(recall.fetches)-mostFetches, 0):]
	case arrival.FromCache:
		recall.reach = max(recall.reach, order.depth+1)
	case usual > 0:
		recall.reach = min(recall.reach, order.depth)
	}
	return arrival
}
