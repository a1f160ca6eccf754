package steer

import (
	"cmp"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/stock"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// Need is what a request asks of an upstream.
type Need struct {
	Service string
	// Adapter is empty for requests to plain services.
	Adapter stock.Adapter
	// Engine is false for plain services.
	Engine bool
	// Tokens is the memory that the request takes up at an engine.
	Tokens int64
	// Exclude holds the upstreams that were tried.
	Exclude []string
	// Urgent requests may take more of the places beyond an engine's slots.
	Urgent bool
	// Limit is the wait beyond which waiting is in vain, or 0 for none.
	Limit time.Duration
	// Late requests come after those on time.
	Late bool
	// At is the upstream where the request waits already, or empty.
	At string
}

// Result says what Choose found.
type Result uint8

const (
	// Found means that the request may be sent now.
	Found Result = iota
	// Absent means that the adapter has to be brought to the upstream first.
	Absent
	// Full means that all upstreams have as much as they can take.
	Full
	// Starting means that engines of the service are loading their model, and
	// that the others have as much as they can take.
	Starting
	// None means that the service has no usable upstream.
	None
)

// Choice is the outcome of Choose.
type Choice struct {
	Result   Result
	Upstream fleet.Upstream
	// Load is the number of requests that the upstream is thought to hold, and
	// Backlog the number of prompt tokens before this request.
	Load    int
	Backlog int64
	// Wait is how long the request is thought to wait for its turn there.
	Wait time.Duration
	// Copy is another upstream that should get the adapter too, if its id is
	// not empty.
	Copy fleet.Upstream
	// Rest is the time until an upstream may be used again, if there is none
	// before, or 0.
	Rest time.Duration
}

// Choose returns the upstream for a request.
func (board *Board) Choose(need Need) Choice {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	candidates := board.candidates(need)
	if len(candidates) == 0 {
		return Choice{Result: board.nothing(need), Rest: board.rest(need)}
	}
	var choice Choice
	if need.Adapter.Name == "" {
		choice = leastLoaded(candidates)
	} else {
		choice = board.chooseHolder(candidates, need)
	}
	if choice.Result == Full && board.nothing(need) == Starting {
		choice.Result = Starting
	}
	return choice
}

// chooseHolder prefers upstreams that hold the adapter, then those that bring it
// back by themselves, unless they are so much fuller than others that a fetch
// from the store pays.
func (board *Board) chooseHolder(candidates []candidate, need Need) Choice {
	holders := slices.DeleteFunc(slices.Clone(candidates), func(entry candidate) bool { return !entry.holds })
	others := slices.DeleteFunc(slices.Clone(candidates), func(entry candidate) bool { return entry.holds })
	return board.weigh(holders, others, need)
}

func (board *Board) weigh(holders, others []candidate, need Need) Choice {
	best := leastLoaded(holders)
	if recaller, ok := leastRecaller(others, need.Adapter); ok {
		if best.Result != Found || recaller.wait+recallTime < best.Wait {
			return board.cheaper(recaller, others, need)
		}
	}
	target, ok := board.target(others, need.Adapter)
	if best.Result == Found {
		if ok && best.Wait > target.wait+board.config.Copy && !target.coming(need.Adapter) {
			best.Copy = target.spec
		}
		return best
	}
	if !ok {
		return Choice{Result: Full}
	}
	return absent(target)
}

// cheaper returns the engine that recalls an adapter, unless a fetch from the
// store to another one is there sooner.
func (board *Board) cheaper(recaller candidate, others []candidate, need Need) Choice {
	target, ok := board.target(others, need.Adapter)
	if ok && target.wait+fetchTime < recaller.wait+recallTime {
		return absent(target)
	}
	return absent(recaller)
}

func absent(target candidate) Choice {
	return Choice{Result: Absent, Upstream: target.spec, Load: target.load, Backlog: target.work, Wait: target.bringWait() + fetchTime}
}

func leastLoaded(candidates []candidate) Choice {
	open := slices.DeleteFunc(slices.Clone(candidates), func(entry candidate) bool { return entry.full })
	if len(open) == 0 {
		return Choice{Result: Full}
	}
	best := slices.MinFunc(open, byLoad)
	return Choice{Result: Found, Upstream: best.spec, Load: best.load, Backlog: best.work, Wait: best.wait}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func compareAdapters(a, b stock.Adapter) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
}

func (entry *upstream) holds(adapter stock.Adapter) bool {
	return stock.AnyServes(entry.report.Resident, adapter)
}

// coming reports whether the adapter is on its way or asked for.
func (entry *upstream) coming(adapter stock.Adapter) bool {
	if stock.AnyServes(entry.report.Pending, adapter) || entry.wanted[adapter] > 0 {
		return true
	}
	for _, waiting := range entry.asks {
		if waiting.Adapter == adapter {
			return true
		}
	}
	return false
}
