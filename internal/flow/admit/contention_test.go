package admit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// The engine of TestContention prefills engineRate tokens per millisecond, in the order
// of its grants. Requests count on their first event sendAllowance after the grant.
const (
	engineRate    = 19.0
	tickTime      = 10 * time.Millisecond
	loadTime      = 60 * time.Second
	sendAllowance = 300 * time.Millisecond
	organisations = 5
)

// kinds holds the kinds of requests, by priority. load is the part of the engine's rate
// that a kind usually asks for.
var kinds = []struct {
	goal, patience time.Duration
	tokens, load   float64
}{
	{goal: 800 * time.Millisecond, patience: 12 * time.Second, tokens: 1460, load: 0.3},
	{goal: 800 * time.Millisecond, patience: 8 * time.Second, tokens: 650, load: 0.15},
	{goal: 2 * time.Second, patience: 20 * time.Second, tokens: 1460, load: 0.25},
}

// call is a request of a caller, with what became of it.
type call struct {
	Request
	at, event time.Duration
	retries   int
}

func (call call) inTime() bool {
	return call.event > 0 && call.event-call.at <= kinds[call.Priority].goal
}

// worth is what the answer earns its caller.
func (call call) worth() float64 {
	full := 0.3 + 0.7*float64(call.PromptTokens)/kinds[call.Priority].tokens
	switch {
	case call.inTime():
		return full
	case call.event > 0:
		return 0.2 * full
	default:
		return 0
	}
}

// presentOrder makes a request one that the controller orders by arrival, 0.3 s
// for each level of priority, and 1.5 s if it is late: the order that was used
// before requests were ranked.
func presentOrder(request Request) Request {
	request.Waited -= time.Duration(request.Priority) * 300 * time.Millisecond
	request.Priority, request.Organisation, request.StartBy, request.GiveUpBy = 0, 0, time.Time{}, time.Time{}
	return request
}

// newCalls returns the calls of a load. factor returns by how much a kind and an
// organisation ask for more than usual at a time.
func newCalls(factor func(at time.Duration, kind, organisation int) float64) []*call {
	random := rand.New(rand.NewPCG(7, 11))
	var calls []*call
	for at := time.Duration(0); at < loadTime; at += tickTime {
		for number, kind := range kinds {
			for organisation := range organisations {
				rate := kind.load * engineRate / kind.tokens / organisations * factor(at, number, organisation)
				if random.Float64() >= rate*float64(tickTime.Milliseconds()) {
					continue
				}
				tokens := min(max(random.ExpFloat64()*kind.tokens, 50), 3.4*kind.tokens)
				request := Request{ID: uint64(len(calls) + 1), PromptTokens: int64(tokens), Priority: number, Organisation: uint32(organisation + 1)}
				calls = append(calls, &call{Request: request, at: at})
			}
		}
	}
	return calls
}

// play runs the calls against a Controller and returns all of them with those
// that callers repeated at once after they had given up.
func play(calls []*call, arrange func(Request) Request, retries int) []*call {
	controller := New(Config{})
	began, busyUntil := time.Now(), time.Duration(0)
	all, waiting := calls, []*call(nil)
	begin := func(call *call, now time.Duration) {
		patience := kinds[call.Priority].patience
		if retries > 0 {
			patience = 2 * kinds[call.Priority].goal
		}
		call.at, call.GiveUpBy, call.StartBy = now, began.Add(now+patience), began.Add(now+kinds[call.Priority].goal-sendAllowance)
		waiting = append(waiting, call)
	}
	for now := time.Duration(0); now < loadTime+20*time.Second; now += tickTime {
		for ; len(calls) > 0 && calls[0].at <= now; calls = calls[1:] {
			begin(calls[0], now)
		}
		for _, waiter := range waiting {
			if time.Now().After(waiter.GiveUpBy) && waiter.retries < retries {
				again := *waiter
				again.ID, again.retries = waiter.ID+100_000, waiter.retries+1
				all = append(all, &again)
				begin(&again, now)
			}
		}
		waiting = slices.DeleteFunc(waiting, func(call *call) bool { return call.event > 0 || time.Now().After(call.GiveUpBy) })
		var requests []Request
		for _, waiter := range waiting {
			request := waiter.Request
			request.Late = time.Now().After(request.StartBy)
			requests = append(requests, arrange(request))
		}
		controller.Observe(EngineState{Queued: 1, TotalTokens: 1 << 40, HasAdapter: holdsAll})
		controller.SetRequests("entry", EngineConfig{EventTokens: 2, MaxEventGap: 300 * time.Millisecond}, requests)
		granted, _ := controller.Grant()
		for _, id := range granted["entry"] {
			call := waiting[slices.IndexFunc(waiting, func(call *call) bool { return call.ID == id })]
			busyUntil = max(busyUntil, now) + time.Duration(float64(call.PromptTokens)/engineRate*float64(time.Millisecond))
			call.event = busyUntil + 20*time.Millisecond
		}
		time.Sleep(tickTime)
	}
	return all
}

// result sums up a group of calls: parts that were in time and answered, and what the
// answers earned.
type result struct{ inTime, answered, worth float64 }

// sum returns the result of the calls that a function selects.
func sum(calls []*call, selected func(*call) bool) (result result) {
	asked := 0.0
	for _, call := range calls {
		if !selected(call) {
			continue
		}
		asked++
		result.worth += call.worth()
		if call.inTime() {
			result.inTime++
		}
		if call.event > 0 {
			result.answered++
		}
	}
	result.inTime /= asked
	result.answered /= asked
	return result
}

// bySize selects a kind's calls with a size between two multiples of its mean.
func bySize(number int, from, to float64) func(*call) bool {
	return func(call *call) bool {
		size := float64(call.PromptTokens) / kinds[number].tokens
		return call.Priority == number && size > from && size <= to
	}
}

// TestContention compares the order with the one by arrival and priority alone.
// It guards, where too little room is left, against an order in which the answers
// earn callers less, an urgent kind that is served worse than a less urgent one,
// and large requests or organisations that starve.
func TestContention(t *testing.T) {
	during := func(at time.Duration) bool { return at >= 10*time.Second && at < 20*time.Second }
	tests := []struct {
		name   string
		factor func(at time.Duration, kind, organisation int) float64
		// retries is how often callers that wait for twice their goal try again at once.
		retries int
		// equal means that all organisations have the same priority, which takes the
		// place of their routes'.
		equal bool
	}{
		{name: "burst of the least urgent kind", factor: func(at time.Duration, kind, _ int) float64 {
			if kind == 2 && during(at) {
				return 5
			}
			return 1
		}},
		{name: "one organisation at six times its usual", factor: func(at time.Duration, _, organisation int) float64 {
			if organisation == 0 && during(at) {
				return 6
			}
			return 1
		}},
		{name: "retries at once and often", retries: 3, factor: func(time.Duration, int, int) float64 { return 1.7 }},
		{name: "1.2 times the engine's rate", factor: func(time.Duration, int, int) float64 { return 1.2 / 0.7 }},
		{name: "2 times the engine's rate", factor: func(time.Duration, int, int) float64 { return 2 / 0.7 }},
		{name: "2 times, equal organisations", equal: true, factor: func(time.Duration, int, int) float64 { return 2 / 0.7 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				before := play(newCalls(test.factor), presentOrder, test.retries)
				after := play(newCalls(test.factor), func(request Request) Request {
					if test.equal {
						request.RoutePriority, request.Priority = request.Priority, 1
					}
					return request
				}, test.retries)
				compare := func(group string, selected func(*call) bool) (old, ranked result) {
					old, ranked = sum(before, selected), sum(after, selected)
					t.Logf("%s: in time %.2f before, %.2f after; answered %.2f, %.2f; worth %.0f, %.0f",
						group, old.inTime, ranked.inTime, old.answered, ranked.answered, old.worth, ranked.worth)
					return old, ranked
				}
				old, all := compare("all", func(*call) bool { return true })
				if all.worth < old.worth {
					t.Errorf("the answers earn %.0f, before %.0f", all.worth, old.worth)
				}
				urgent := result{inTime: 1}
				for number := range kinds {
					_, kind := compare(fmt.Sprint("priority ", number), func(call *call) bool { return call.Priority == number })
					// A kind with a longer goal outlasts short peaks more often.
					if kind.inTime > urgent.inTime+0.05 {
						t.Errorf("priority %d is in time in %.2f, the more urgent one in %.2f", number, kind.inTime, urgent.inTime)
					}
					urgent = kind
					// The largest tenth, the fifth below it, and the others.
					for _, part := range [][2]float64{{2.3, 9}, {1.2, 2.3}, {0, 1.2}} {
						if _, sized := compare(fmt.Sprint("sizes ", part), bySize(number, part[0], part[1])); sized.answered < kind.answered/2 {
							t.Errorf("priority %d, sizes %v: answered %.2f, of the kind %.2f", number, part, sized.answered, kind.answered)
						}
					}
				}
				for organisation := range uint32(organisations) {
					if _, of := compare(fmt.Sprint("organisation ", organisation), func(call *call) bool { return call.Organisation == organisation+1 }); of.answered < all.answered/2 {
						t.Errorf("organisation %d: answered %.2f, all %.2f", organisation, of.answered, all.answered)
					}
				}
			})
		})
	}
}
