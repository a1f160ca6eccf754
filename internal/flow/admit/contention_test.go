package admit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// The engine of TestContention prefills in the order of its grants, engineRate
// tokens per millisecond.
const (
	engineRate = 19.0
	tickTime   = 10 * time.Millisecond
	loadTime   = 60 * time.Second
	// sendAllowance is the time from a grant to the first event that a request
	// counts on when it says when it must start.
	sendAllowance = 300 * time.Millisecond
	organisations = 5
)

// kind is a kind of requests.
type kind struct {
	priority       int
	goal, patience time.Duration
	tokens         float64
	// load is the part of the engine's rate that the kind usually asks for.
	load float64
}

var kinds = []kind{
	{priority: 0, goal: 800 * time.Millisecond, patience: 12 * time.Second, tokens: 1460, load: 0.3},
	{priority: 1, goal: 800 * time.Millisecond, patience: 8 * time.Second, tokens: 650, load: 0.15},
	{priority: 2, goal: 2 * time.Second, patience: 20 * time.Second, tokens: 1460, load: 0.25},
}

// call is a request of a caller, with what became of it.
type call struct {
	Request
	kind               int
	at, granted, event time.Duration
	retries            int
}

func (call call) inTime() bool { return call.event > 0 && call.event-call.at <= kinds[call.kind].goal }

// worth is what the answer earns its caller.
func (call call) worth() float64 {
	full := 0.3 + 0.7*float64(call.PromptTokens)/kinds[call.kind].tokens
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

func rankedOrder(request Request) Request { return request }

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
				calls = append(calls, &call{kind: number, at: at, Request: Request{
					ID: uint64(len(calls) + 1), PromptTokens: int64(tokens), OutputTokens: 100, Priority: kind.priority, Organisation: uint32(organisation + 1),
				}})
			}
		}
	}
	return calls
}

// play runs the calls against a Controller and returns all of them with those
// that callers repeated at once after they had given up.
func play(calls []*call, arrange func(Request) Request, patience func(kind) time.Duration, retries int) []*call {
	controller := New(Config{})
	began, busyUntil := time.Now(), time.Duration(0)
	next := 0
	var waiting []*call
	for now := time.Duration(0); now < loadTime+20*time.Second; now += tickTime {
		for ; next < len(calls) && calls[next].at <= now; next++ {
			calls[next].GiveUpBy = began.Add(calls[next].at + patience(kinds[calls[next].kind]))
			calls[next].StartBy = began.Add(calls[next].at + kinds[calls[next].kind].goal - sendAllowance)
			waiting = append(waiting, calls[next])
		}
		var requests []Request
		waiting = slices.DeleteFunc(waiting, func(call *call) bool { return call.event > 0 })
		for i, waiter := range waiting {
			if limit := patience(kinds[waiter.kind]); now-waiter.at > limit && waiter.retries < retries {
				again := *waiter
				again.ID, again.at, again.retries = waiter.ID+100_000, now, waiter.retries+1
				again.GiveUpBy = began.Add(now + limit)
				again.StartBy = began.Add(now + kinds[waiter.kind].goal - sendAllowance)
				waiting[i] = &again
				calls = slices.Insert(calls, next, &again)
				next++
			} else if now-waiter.at > limit {
				continue
			}
			request := waiting[i].Request
			request.Late = time.Now().After(request.StartBy)
			requests = append(requests, arrange(request))
		}
		controller.Observe(EngineState{Queued: 1, TotalTokens: 1 << 40, HasAdapter: holdsAll})
		controller.SetRequests("entry", EngineConfig{EventTokens: 2, MaxEventGap: 300 * time.Millisecond}, requests)
		granted, _ := controller.Grant()
		for _, id := range granted["entry"] {
			index := slices.IndexFunc(waiting, func(call *call) bool { return call.ID == id })
			call := waiting[index]
			busyUntil = max(busyUntil, now) + time.Duration(float64(call.PromptTokens)/engineRate*float64(time.Millisecond))
			call.granted, call.event = now, busyUntil+20*time.Millisecond
		}
		time.Sleep(tickTime)
	}
	return calls
}

// result sums up a group of calls.
type result struct{ asked, inTime, served, worth float64 }

// sum returns the result of the calls that a function selects.
func sum(calls []*call, selected func(*call) bool) result {
	var result result
	for _, call := range calls {
		if !selected(call) {
			continue
		}
		result.asked++
		result.worth += call.worth()
		if call.inTime() {
			result.inTime++
		}
		if call.event > 0 {
			result.served++
		}
	}
	return result
}

func (result result) timely() float64   { return result.inTime / max(result.asked, 1) }
func (result result) answered() float64 { return result.served / max(result.asked, 1) }

// bySize selects a kind's calls with a size between two parts of them in order.
func bySize(calls []*call, number int, from, to float64) func(*call) bool {
	var sizes []int64
	for _, call := range calls {
		if call.kind == number {
			sizes = append(sizes, call.PromptTokens)
		}
	}
	slices.Sort(sizes)
	least, most := sizes[int(from*float64(len(sizes)-1))], sizes[int(to*float64(len(sizes)-1))]
	return func(call *call) bool {
		return call.kind == number && call.PromptTokens > least && call.PromptTokens <= most
	}
}

// TestContention compares the order with the one by arrival and priority alone.
// It guards, where too little room is left, against an order in which the answers
// earn callers less, an urgent kind that is served worse than a less urgent one,
// and large requests or organisations that starve.
func TestContention(t *testing.T) {
	during := func(at time.Duration) bool { return at >= 10*time.Second && at < 20*time.Second }
	patience := func(kind kind) time.Duration { return kind.patience }
	tests := []struct {
		name     string
		factor   func(at time.Duration, kind, organisation int) float64
		patience func(kind) time.Duration
		retries  int
	}{
		{
			name: "burst of the least urgent kind", patience: patience,
			factor: func(at time.Duration, kind, _ int) float64 {
				if kind == 2 && during(at) {
					return 5
				}
				return 1
			},
		},
		{
			name: "one organisation at six times its usual", patience: patience,
			factor: func(at time.Duration, _, organisation int) float64 {
				if organisation == 0 && during(at) {
					return 6
				}
				return 1
			},
		},
		{
			name: "retries at once and often", retries: 3,
			factor:   func(time.Duration, int, int) float64 { return 1.7 },
			patience: func(kind kind) time.Duration { return 2 * kind.goal },
		},
		{name: "1.2 times the engine's rate", patience: patience, factor: func(time.Duration, int, int) float64 { return 1.2 / 0.7 }},
		{name: "2 times the engine's rate", patience: patience, factor: func(time.Duration, int, int) float64 { return 2 / 0.7 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				before := play(newCalls(test.factor), presentOrder, test.patience, test.retries)
				after := play(newCalls(test.factor), rankedOrder, test.patience, test.retries)
				compareByKind(t, before, after)
				compareBySize(t, before, after)
				compareByOrganisation(t, before, after)
			})
		})
	}
}

func compareByKind(t *testing.T, before, after []*call) {
	all := func(*call) bool { return true }
	old, ranked := sum(before, all), sum(after, all)
	t.Logf("worth %.0f before, %.0f after; in time %.2f, %.2f", old.worth, ranked.worth, old.timely(), ranked.timely())
	if ranked.worth < old.worth {
		t.Errorf("the answers earn %.0f, before %.0f", ranked.worth, old.worth)
	}
	var urgent result
	for number := range kinds {
		ofKind := func(call *call) bool { return call.kind == number }
		old, ranked := sum(before, ofKind), sum(after, ofKind)
		t.Logf("priority %d: in time %.2f before, %.2f after; answered %.2f, %.2f", number, old.timely(), ranked.timely(), old.answered(), ranked.answered())
		// A kind with a longer goal outlasts short peaks more often.
		if number > 0 && ranked.timely() > urgent.timely()+0.05 {
			t.Errorf("priority %d is in time in %.2f, the more urgent one in %.2f", number, ranked.timely(), urgent.timely())
		}
		urgent = ranked
	}
}

func compareBySize(t *testing.T, before, after []*call) {
	for number := range kinds {
		ofKind := sum(after, func(call *call) bool { return call.kind == number })
		for _, part := range [][2]float64{{0.9, 1}, {0.7, 0.9}, {0, 0.7}} {
			old, ranked := sum(before, bySize(before, number, part[0], part[1])), sum(after, bySize(after, number, part[0], part[1]))
			t.Logf("priority %d, sizes %.1f to %.1f: in time %.2f before, %.2f after; answered %.2f, %.2f",
				number, part[0], part[1], old.timely(), ranked.timely(), old.answered(), ranked.answered())
			if ranked.answered() < ofKind.answered()/2 {
				t.Errorf("priority %d, sizes %.1f to %.1f: answered %.2f, of the kind %.2f", number, part[0], part[1], ranked.answered(), ofKind.answered())
			}
		}
	}
}

func compareByOrganisation(t *testing.T, before, after []*call) {
	all := sum(after, func(*call) bool { return true })
	for organisation := range uint32(organisations) {
		of := func(call *call) bool { return call.Organisation == organisation+1 }
		old, ranked := sum(before, of), sum(after, of)
		t.Logf("organisation %d: in time %.2f before, %.2f after; answered %.2f, %.2f", organisation, old.timely(), ranked.timely(), old.answered(), ranked.answered())
		if ranked.answered() < all.answered()/2 {
			t.Errorf("organisation %d: answered %.2f, all %.2f", organisation, ranked.answered(), all.answered())
		}
	}
}
