package picker

import (
	"cmp"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// Request is what a request asks of an upstream.
type Request struct {
	Service string
	// Adapter is empty for requests to plain services.
	Adapter lora.Adapter
	// Engine is false for plain services.
	Engine bool
	// KVTokens is the memory that the request takes up at an engine.
	KVTokens int64
	// Exclude holds the upstreams that were tried.
	Exclude []string
	// Urgent requests may take more of the places beyond an engine's slots.
	Urgent bool
	// MaxWait is the wait beyond which waiting is in vain, or 0 for none.
	MaxWait time.Duration
	// Late requests come after those on time.
	Late bool
	// WaitingAt is the upstream where the request waits already, or empty.
	WaitingAt string
}

// Result says what Choose found.
type Result uint8

const (
	// Found means that the request may be sent now.
	Found Result = iota
	// AdapterMissing means that the adapter has to be brought to the upstream first.
	AdapterMissing
	// Full means that all upstreams have as much as they can take.
	Full
	// Starting means that engines of the service are loading their model, and
	// that the others have as much as they can take.
	Starting
	// NoUpstream means that the service has no usable upstream.
	NoUpstream
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
	// CopyTo is another upstream that should get the adapter too, if its id is
	// not empty.
	CopyTo fleet.Upstream
	// RetryAfter is the time until an upstream may be used again, if there is none
	// before, or 0.
	RetryAfter time.Duration
}

// Choose returns the upstream for a request.
func (board *Picker) Choose(need Request) Choice {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	candidates := board.candidates(need)
	if len(candidates) == 0 {
		return Choice{Result: board.nothing(need), RetryAfter: board.rest(need)}
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
func (board *Picker) chooseHolder(candidates []candidate, need Request) Choice {
	holders := slices.DeleteFunc(slices.Clone(candidates), func(entry candidate) bool { return !entry.holds })
	others := slices.DeleteFunc(slices.Clone(candidates), func(entry candidate) bool { return entry.holds })
	return board.weigh(holders, others, need)
}

func (board *Picker) weigh(holders, others []candidate, need Request) Choice {
	best := leastLoaded(holders)
	if recaller, ok := leastRecaller(others, need.Adapter); ok {
		if best.Result != Found || recaller.wait+recallTime < best.Wait {
			return board.cheaper(recaller, others, need)
		}
	}
	target, ok := board.target(others, need.Adapter)
	if best.Result == Found {
		if ok && best.Wait > target.wait+board.config.CopyThreshold && !target.coming(need.Adapter) {
			best.CopyTo = target.spec
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
func (board *Picker) cheaper(recaller candidate, others []candidate, need Request) Choice {
	target, ok := board.target(others, need.Adapter)
	if ok && target.wait+fetchTime < recaller.wait+recallTime {
		return absent(target)
	}
	return absent(recaller)
}

func absent(target candidate) Choice {
	return Choice{Result: AdapterMissing, Upstream: target.spec, Load: target.load, Backlog: target.work, Wait: target.bringWait() + fetchTime}
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

func compareAdapters(a, b lora.Adapter) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version))
}

func (entry *upstream) holds(adapter lora.Adapter) bool {
	return lora.AnySatisfies(entry.report.Resident, adapter)
}

// coming reports whether the adapter is on its way or asked for.
func (entry *upstream) coming(adapter lora.Adapter) bool {
	if lora.AnySatisfies(entry.report.Pending, adapter) || entry.wanted[adapter] > 0 {
		return true
	}
	for _, waiting := range entry.asks {
		if waiting.Adapter == adapter {
			return true
		}
	}
	return false
}
