package picker

import (
	"cmp"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// Request is what a request needs of an upstream.
type Request struct {
	Service string
	// Adapter is empty for requests to plain services.
	Adapter lora.Adapter
	// Engine is false for plain services.
	Engine bool
	// PromptTokens is the length of the prompt.
	PromptTokens int64
	// ResponseGoal is the response-time goal, and EventGapGoal the longest time between
	// two events of the stream that meets its goal. 0 means none.
	ResponseGoal time.Duration
	EventGapGoal time.Duration
	// KVTokens is the KV-cache memory that the request takes up at an engine,
	// in tokens.
	KVTokens int64
	// Exclude holds the ids of the upstreams that were tried.
	Exclude []string
	// Urgent requests may also use the overcommitted places beyond an engine's
	// slots.
	Urgent bool
	// MaxWait is the wait beyond which an upstream counts as full, or 0 for
	// none.
	MaxWait time.Duration
	// Late requests have missed their response-time goal and come after those
	// on time.
	Late bool
	// Priority is the request's priority at an engine; 0 is the most urgent level.
	Priority int
	// Resumed means that the request continues a stream that the software version
	// SoftwareVersion began. Only upstreams of that version may get it.
	Resumed         bool
	SoftwareVersion string
	// Number identifies the request among those of this instance.
	Number uint64
	// WaitingAt is the id of the upstream where the request already waits, or
	// empty.
	WaitingAt string
}

// Result is the kind of a Choice.
type Result uint8

const (
	// Found means that the request may be sent now.
	Found Result = iota
	// AdapterMissing means that the upstream has to load the adapter first.
	AdapterMissing
	// Full means that all upstreams are at capacity.
	Full
	// Starting means that engines of the service are loading their model and
	// that the others, if any, are at capacity.
	Starting
	// NoUpstream means that the service has no usable upstream.
	NoUpstream
	// RateLimited means that all usable upstreams have a rate limit that is used
	// up.
	RateLimited
	// Evacuated means that all upstreams of the service are in evacuated failure
	// domains.
	Evacuated
	// PermitPending means that a permit to send the request to the upstream was
	// asked for and may be received at once.
	PermitPending
)

// String returns the name of the result, as in explanations.
func (result Result) String() string {
	return [...]string{"found", "adapter-missing", "full", "starting", "no-upstream", "rate-limited", "evacuated", "permit-pending"}[result]
}

// Choice is the outcome of Choose.
type Choice struct {
	Result   Result
	Upstream fleet.Upstream
	// Load is the estimated number of requests at the upstream, and Backlog the
	// number of prompt tokens ahead of this request.
	Load    int
	Backlog int64
	// Wait is the expected time until the request is admitted there.
	Wait time.Duration
	// CopyTo is another upstream that should load the adapter too, if its id is
	// not empty.
	CopyTo fleet.Upstream
	// RetryAfter is the time until the first upstream that asked for a backoff
	// may be used again, or the expected time until a rate limit admits a request,
	// if none can be used before, or 0.
	RetryAfter time.Duration
}

// Choose returns the upstream for a request.
func (picker *Picker) Choose(request Request) Choice {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	candidates, withoutPermit := picker.candidates(request)
	choice, wanted := picker.decide(candidates, withoutPermit, request)
	for _, spec := range wanted {
		picker.config.Limits.Want(spec, request.Number)
	}
	return choice
}

// decide returns the choice among upstreams, and those of which a permit is wanted. It
// changes nothing.
func (picker *Picker) decide(candidates, withoutPermit []candidate, request Request) (choice Choice, wanted []fleet.Upstream) {
	if !request.Resumed {
		candidates = leaveToBound(candidates, request)
	}
	if len(candidates) == 0 {
		return picker.chooseNone(withoutPermit, request)
	}
	pending := slices.DeleteFunc(slices.Clone(withoutPermit), func(candidate candidate) bool { return !candidate.admission.Pending })
	if len(pending) > 0 {
		choice := picker.chooseAmong(append(pending, candidates...), request)
		for _, candidate := range pending {
			if candidate.spec.ID == choice.Upstream.ID {
				choice.Result = PermitPending
				return choice, []fleet.Upstream{candidate.spec}
			}
		}
	}
	choice = picker.chooseAmong(candidates, request)
	if choice.Result == Full && picker.unavailableResult(request) == Starting {
		choice.Result = Starting
	}
	return choice, nil
}

// leaveToBound leaves out engines at which bound requests wait, if another one can
// serve a request that may go to any: bound requests have no others, and each request
// there keeps an adapter in its slot and adds to the prompts ahead.
func leaveToBound(candidates []candidate, request Request) []candidate {
	others := slices.DeleteFunc(slices.Clone(candidates), func(candidate candidate) bool { return candidate.report.BoundWaiting > 0 })
	serves := func(candidate candidate) bool {
		return !candidate.full && (request.Adapter.Name == "" || candidate.hasAdapter || candidate.hasSlotFor(request.Adapter))
	}
	if !slices.ContainsFunc(others, serves) {
		return candidates
	}
	return others
}

// chooseNone returns the choice if no upstream can get the request. A permit is wanted of
// all those whose rate limit is used up.
func (picker *Picker) chooseNone(withoutPermit []candidate, request Request) (choice Choice, wanted []fleet.Upstream) {
	choice = Choice{Result: picker.unavailableResult(request), RetryAfter: picker.retryAfter(request)}
	if choice.Result != NoUpstream || len(withoutPermit) == 0 {
		return choice, nil
	}
	var rate float64
	for _, candidate := range withoutPermit {
		wanted = append(wanted, candidate.spec)
		rate += 1 / max(candidate.admission.Wait, minPermitWait).Seconds()
	}
	return Choice{Result: RateLimited, RetryAfter: time.Duration(float64(time.Second) / rate)}, wanted
}

// chooseAmong chooses among upstreams.
func (picker *Picker) chooseAmong(candidates []candidate, request Request) Choice {
	if request.Adapter.Name == "" {
		return leastCost(candidates)
	}
	return picker.chooseForAdapter(candidates, request)
}

// chooseForAdapter chooses among upstreams for a request with an adapter.
func (picker *Picker) chooseForAdapter(candidates []candidate, request Request) Choice {
	holders := slices.DeleteFunc(slices.Clone(candidates), func(candidate candidate) bool { return !candidate.hasAdapter })
	others := slices.DeleteFunc(slices.Clone(candidates), func(candidate candidate) bool { return candidate.hasAdapter })
	return picker.compareWaits(holders, others, request)
}

// compareWaits prefers upstreams that have the adapter, unless one that can
// reload it from its local cache has a lasting cost lower by more than the time
// of the reload. A fetch from the weight store is the last choice, unless it would
// be ready before the reload.
func (picker *Picker) compareWaits(holders, others []candidate, request Request) Choice {
	best, held := leastCost(holders), leastLastingCost(holders)
	if reloader, ok := reloadTarget(others, request.Adapter); ok {
		if best.Result != Found || reloader.lastingCost+reloadTime < held {
			return picker.reloadOrFetch(reloader, others, request)
		}
	}
	target, ok := picker.loadTarget(others, request.Adapter)
	if best.Result == Found {
		if ok && held > target.lastingCost+picker.config.CopyThreshold && !target.awaits(request.Adapter) {
			best.CopyTo = target.spec
		}
		return best
	}
	if !ok {
		return Choice{Result: Full}
	}
	return adapterMissing(target)
}

// reloadOrFetch returns the engine that can reload the adapter from its local
// cache, unless another one would have it sooner by a fetch from the weight
// store.
func (picker *Picker) reloadOrFetch(reloader candidate, others []candidate, request Request) Choice {
	target, ok := picker.loadTarget(others, request.Adapter)
	if ok && target.lastingCost+fetchTime < reloader.lastingCost+reloadTime {
		return adapterMissing(target)
	}
	return adapterMissing(reloader)
}

// adapterMissing returns the choice of an upstream that has to load the
// adapter.
func adapterMissing(target candidate) Choice {
	return Choice{Result: AdapterMissing, Upstream: target.spec, Load: target.load, Backlog: target.backlog, Wait: target.loadWait() + fetchTime}
}

// withoutFull returns the candidates that are not full.
func withoutFull(candidates []candidate) []candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(candidate candidate) bool { return candidate.full })
}

// leastCost returns the candidate with the least cost that is not full.
func leastCost(candidates []candidate) Choice {
	available := withoutFull(candidates)
	if len(available) == 0 {
		return Choice{Result: Full}
	}
	best := slices.MinFunc(available, compareCost)
	return Choice{Result: Found, Upstream: best.spec, Load: best.load, Backlog: best.backlog, Wait: best.wait}
}

// leastLastingCost returns the least lasting cost of the candidates that are not full, 0
// if all are.
func leastLastingCost(candidates []candidate) time.Duration {
	available := withoutFull(candidates)
	if len(available) == 0 {
		return 0
	}
	return slices.MinFunc(available, compareLastingCost).lastingCost
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

// hasAdapter reports whether the upstream's last report names the adapter in
// that version or a newer one.
func (upstream *upstream) hasAdapter(adapter lora.Adapter) bool {
	return lora.AnySatisfies(upstream.report.Resident, adapter)
}

// awaits reports whether the adapter is pending or requested at the upstream.
func (upstream *upstream) awaits(adapter lora.Adapter) bool {
	if lora.AnySatisfies(upstream.report.Pending, adapter) || upstream.requestedCopies[adapter] > 0 {
		return true
	}
	for _, waiter := range upstream.waiting {
		if waiter.Adapter == adapter {
			return true
		}
	}
	return false
}
