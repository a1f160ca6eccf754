package steer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/avoid"
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

// candidate is an upstream with what decides about it.
type candidate struct {
	*upstream
	load  int
	work  int64
	wait  time.Duration
	full  bool
	holds bool
	near  bool
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

// avoided reports whether an upstream wants no requests, and until when.
func (board *Board) avoided(entry *upstream) (until time.Time, avoided bool) {
	if board.config.Avoided == nil {
		return time.Time{}, false
	}
	return board.config.Avoided.Avoided(avoid.Start{ID: entry.spec.ID, Born: entry.spec.Born})
}

// usable reports whether requests may be sent to an upstream.
func (board *Board) usable(entry *upstream) bool {
	_, avoided := board.avoided(entry)
	return !avoided && !entry.leaving()
}

// rest returns the time until the first upstream of a service that rests may be
// used again, or 0 if none does.
func (board *Board) rest(need Need) time.Duration {
	var rest time.Duration
	for _, entry := range board.services[need.Service] {
		until, _ := board.avoided(entry)
		if until.IsZero() || entry.leaving() {
			continue
		}
		if left := time.Until(until); rest == 0 || left < rest {
			rest = left
		}
	}
	return rest
}

// nothing tells apart why a service has no usable upstream.
func (board *Board) nothing(need Need) Result {
	for _, entry := range board.services[need.Service] {
		if need.Engine && board.usable(entry) && !entry.report.Unreachable && !entry.reported.IsZero() && !entry.report.ModelLoaded {
			return Starting
		}
	}
	return None
}

func (board *Board) candidates(need Need) []candidate {
	now := time.Now()
	var candidates, unheard []candidate
	for _, entry := range board.services[need.Service] {
		if !board.usable(entry) || slices.Contains(need.Exclude, entry.spec.ID) {
			continue
		}
		if need.Engine && !entry.reported.IsZero() && (!entry.report.ModelLoaded || entry.report.Unreachable) {
			continue
		}
		if board.config.Health != nil && !board.config.Health.Usable(need.Service, entry.spec.ID) {
			continue
		}
		load := board.load(entry, now)
		work := board.work(entry, load, need, now)
		wait := board.wait(entry, work)
		if need.At == entry.spec.ID {
			wait -= board.config.Stay
		}
		found := candidate{
			upstream: entry,
			load:     load,
			work:     work,
			wait:     wait,
			full:     board.full(entry, load, need) || need.Limit > 0 && wait > need.Limit,
			holds:    entry.holds(need.Adapter),
			near:     entry.spec.FailureDomain == board.config.FailureDomain,
		}
		if need.Engine && entry.reported.IsZero() && now.Sub(entry.listed) < silentStart {
			unheard = append(unheard, found)
			continue
		}
		candidates = append(candidates, found)
	}
	if len(candidates) == 0 {
		candidates = unheard
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates
}

// work returns how many prompt tokens a request would have before it. Requests
// that wait for an adapter are not before one whose adapter is there.
func (board *Board) work(entry *upstream, load int, need Need, now time.Time) int64 {
	work := int64(load * runningWeight)
	if board.fresh(entry, now) {
		work += entry.report.Backlog
		if need.Late {
			work += entry.report.Late
		}
	}
	unseen := entry.reported.Add(-board.config.Lag)
	for _, waiting := range entry.asks {
		if waiting.placed.After(unseen) && entry.holds(waiting.Adapter) && (need.Late || !waiting.late(now)) {
			work += waiting.Prompt
		}
	}
	return work
}

// wait returns how long an upstream takes to let work in.
func (board *Board) wait(entry *upstream, work int64) time.Duration {
	intake := cmp.Or(entry.report.Intake, board.config.Intake)
	return time.Duration(float64(work) / intake * float64(time.Millisecond))
}

func (board *Board) fresh(entry *upstream, now time.Time) bool {
	return !entry.reported.IsZero() && now.Sub(entry.reported) < board.config.Fresh
}

// load returns how many requests an upstream is thought to hold: what it
// reported and what this instance sent since, or what this instance has there
// times the number of instances.
func (board *Board) load(entry *upstream, now time.Time) int {
	if board.fresh(entry, now) {
		return max(entry.report.Running+entry.report.Queued+len(entry.sent), entry.running)
	}
	if now.Sub(entry.answeredAt) < board.config.Lag {
		return max(entry.answered, entry.running)
	}
	return entry.running * board.instances
}

func (board *Board) full(entry *upstream, load int, need Need) bool {
	limit := entry.spec.Slots
	if need.Urgent || !need.Engine {
		limit += board.config.Overfill
	}
	if load >= limit {
		return true
	}
	free := entry.report.TotalTokens - entry.report.UsedTokens
	return need.Engine && entry.report.TotalTokens > 0 && free < need.Tokens*int64(1+len(entry.sent))
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

func byLoad(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.wait, b.wait), compareBool(b.near, a.near))
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

func (entry *upstream) leaving() bool {
	return entry.spec.Draining || entry.report.Draining || entry.restarted()
}

// restarted reports whether the engine at the address has started anew since
// the upstream was listed.
func (entry *upstream) restarted() bool {
	return entry.spec.Born > 0 && entry.report.Born > entry.spec.Born
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
