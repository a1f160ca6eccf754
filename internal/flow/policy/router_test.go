package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/ring"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type ejected map[string]bool

func (ejected ejected) Usable(upstream string) bool { return !ejected[upstream] }

// TryProbe records the upstream under a key that is not an upstream's ID.
func (ejected ejected) TryProbe(upstream string) bool {
	ejected["probed "+upstream] = true
	return true
}

func newRouter(t testing.TB, config Config, members []Member) *Router {
	t.Helper()
	config.Start = now
	router, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	router.SetMembers(members, 1)
	return router
}

func threeMembers() []Member {
	return []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
}

// ringOrder returns a, b and c in their order on the ring after an adapter.
func ringOrder(router *Router, adapter uint64) []string {
	var ids []string
	for _, index := range router.ring.Candidates(adapter, 3, nil) {
		ids = append(ids, router.ring.ID(index))
	}
	return ids
}

// setup holds what a test case may change before the choice.
type setup struct {
	router  *Router
	order   []string
	members []Member
	ejected ejected
	request *Request
}

// change edits the member at a position in the adapter's ring order.
func (setup *setup) change(position int, edit func(*Member)) {
	for index := range setup.members {
		if setup.members[index].ID == setup.order[position] {
			edit(&setup.members[index])
		}
	}
	setup.router.SetMembers(setup.members, 1)
}

func (setup *setup) drain(position int) {
	setup.change(position, func(member *Member) { member.Draining = true })
}

func (setup *setup) moveSouth(position int) {
	setup.change(position, func(member *Member) { member.Half = "south" })
}

// TestChoose guards against choices that ignore load, loaded adapters, distance
// or exclusions. Upstreams are named by their position in the adapter's ring
// order; home is the first one.
func TestChoose(t *testing.T) {
	adapter := ring.AdapterHash("oak", 1)
	tests := []struct {
		name    string
		weights Weights
		setup   func(*setup)
		want    int
		reason  Reason
		none    bool
	}{
		{name: "home", want: 0, reason: LowestScore},
		{name: "loaded at the next", setup: func(setup *setup) {
			setup.router.UpdateLoad(now, setup.order[1], LoadReport{LoadedAdapters: []uint64{adapter}})
		}, want: 1},
		{name: "queue at home", setup: func(setup *setup) {
			setup.router.UpdateLoad(now, setup.order[0], LoadReport{ExpectedWait: time.Second})
		}, want: 1},
		{name: "queue at home drained since the report", setup: func(setup *setup) {
			setup.router.UpdateLoad(now.Add(-time.Second), setup.order[0], LoadReport{ExpectedWait: time.Second})
		}, want: 0},
		{name: "gourd waits for the loaded adapter", weights: GourdWeights(), setup: func(setup *setup) {
			setup.router.UpdateLoad(now, setup.order[0], LoadReport{ExpectedWait: 400 * time.Millisecond, LoadedAdapters: []uint64{adapter}})
		}, want: 0},
		{name: "bonsai does not wait for the loaded adapter", weights: BonsaiWeights(), setup: func(setup *setup) {
			setup.router.UpdateLoad(now, setup.order[0], LoadReport{ExpectedWait: 400 * time.Millisecond, LoadedAdapters: []uint64{adapter}})
		}, want: 1},
		{name: "ejected", setup: func(setup *setup) { setup.ejected[setup.order[0]] = true }, want: 1, reason: RingSearch},
		{name: "draining", setup: func(setup *setup) { setup.router.UpdateLoad(now, setup.order[0], LoadReport{Draining: true}) }, want: 1, reason: RingSearch},
		{name: "draining long ago", setup: func(setup *setup) {
			setup.router.UpdateLoad(now.Add(-time.Minute), setup.order[0], LoadReport{Draining: true})
		}, want: 0},
		{name: "leaving", setup: func(setup *setup) { setup.drain(0) }, want: 1, reason: RingSearch},
		{name: "other half", setup: func(setup *setup) {
			setup.request.Half = "north"
			setup.moveSouth(0)
			setup.moveSouth(1)
		}, want: 2, reason: LowestScore},
		{name: "tried", setup: func(setup *setup) { setup.request.Avoid = setup.order[:1] }, want: 1, reason: RingSearch},
		{name: "all tried", setup: func(setup *setup) { setup.request.Avoid = setup.order }, want: 0, reason: LastResort},
		{name: "only", setup: func(setup *setup) { setup.request.RequiredUpstream = setup.order[2] }, want: 2, reason: Assigned},
		{name: "only, but ejected", setup: func(setup *setup) {
			setup.request.RequiredUpstream = setup.order[2]
			setup.ejected[setup.order[2]] = true
		}, none: true},
		{name: "only, but in the other half", setup: func(setup *setup) {
			setup.request.Half, setup.request.RequiredUpstream = "north", setup.order[2]
			setup.moveSouth(2)
		}, none: true},
		{name: "all ejected", setup: func(setup *setup) {
			for _, id := range setup.order {
				setup.ejected[id] = true
			}
		}, none: true},
		{name: "requests sent since the report count", weights: Weights{AdapterLoad: 1, SentRequest: 200, Overflow: 100}, setup: func(setup *setup) {
			_, _ = setup.router.Choose(now, Request{RequiredUpstream: setup.order[0], AdapterHash: 5})
		}, want: 1},
		{name: "distance", weights: Weights{DomainDistance: 1000}, setup: func(setup *setup) {
			setup.change(0, func(member *Member) { member.FailureDomain = "far" })
		}, want: 1},
		{name: "prefix", weights: Weights{SharedPrefix: 1000, Overflow: 10}, setup: func(setup *setup) {
			setup.request.PrefixHash = 99
			setup.router.SetMembers(setup.members, 1000)
			_, _ = setup.router.Choose(now, Request{AdapterHash: adapter, PrefixHash: 99, Avoid: setup.order[:1]})
		}, want: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			health := ejected{}
			members := threeMembers()
			router := newRouter(t, Config{Weights: test.weights, Health: health}, members)
			request := Request{AdapterHash: adapter}
			order := ringOrder(router, adapter)
			if test.setup != nil {
				test.setup(&setup{router, order, members, health, &request})
			}
			decision, ok := router.Choose(now, request)
			if ok == test.none {
				t.Fatalf("choice %+v, %t", decision, ok)
			}
			if test.none {
				return
			}
			if !health["probed "+decision.Upstream] {
				t.Error("the choice was not reported as a probe")
			}
			if diff := cmp.Diff([]string{order[test.want], test.reason.String()}, []string{decision.Upstream, decision.Reason.String()}); diff != "" {
				t.Errorf("choice (-want +got):\n%s%+v", diff, decision.Candidates())
			}
		})
	}
}

// TestReplicas guards against popular adapters that are served by one upstream
// only, and against idle ones that are loaded at several.
func TestReplicas(t *testing.T) {
	tests := []struct {
		name      string
		requests  int
		instances int
		want      int
	}{
		{"idle", 1, 1, 1},
		{"popular", 2000, 1, 4},
		{"popular at many instances", 10, 300, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			members := make([]Member, 20)
			for index := range members {
				members[index].ID = fmt.Sprint(index)
			}
			router := newRouter(t, Config{Weights: Weights{AdapterLoad: 1, SentRequest: 10, Overflow: 1e9}}, members)
			router.SetMembers(members, test.instances)
			used := map[string]bool{}
			for range test.requests {
				decision, _ := router.Choose(now, Request{AdapterHash: 77})
				used[decision.Upstream] = true
			}
			if diff := cmp.Diff(test.want, len(used)); diff != "" {
				t.Errorf("upstreams used (-want +got):\n%s", diff)
			}
		})
	}
}

// TestTwoChoices guards against candidates of equal score that get unequal
// numbers of requests, and against choices that differ for the same seed.
func TestTwoChoices(t *testing.T) {
	var runs [2]map[string]int
	for index := range runs {
		router := newRouter(t, Config{Weights: Weights{QueueWait: 1}, Seed: 7}, threeMembers())
		runs[index] = map[string]int{}
		for range 300 {
			decision, _ := router.Choose(now, Request{})
			runs[index][decision.Upstream]++
		}
	}
	if diff := cmp.Diff(runs[0], runs[1]); diff != "" {
		t.Errorf("same seed (-first +second):\n%s", diff)
	}
	for upstream, count := range runs[0] {
		if count < 95 || count > 105 {
			t.Errorf("%s got %d of 300", upstream, count)
		}
	}
}

// TestReplacement guards against an upstream that inherits the state of a
// removed one whose index it reuses.
func TestReplacement(t *testing.T) {
	router := newRouter(t, Config{}, nil)
	for round := range 500 {
		id := fmt.Sprintf("upstream-%d", round)
		router.SetMembers([]Member{{ID: id}}, 1)
		decision, ok := router.Choose(now, Request{AdapterHash: uint64(round)<<48 + 1})
		if !ok || decision.Upstream != id || decision.Incarnation != 0 {
			t.Fatalf("round %d: %+v, %t", round, decision, ok)
		}
		router.UpdateLoad(now, id, LoadReport{Incarnation: 3, ExpectedWait: time.Hour})
	}
	if len(router.upstreams) > 200 {
		t.Errorf("%d indexes for 1 upstream", len(router.upstreams))
	}
}

// TestRoundRobin guards against a RoundRobin that chooses ejected or draining
// upstreams, or ones of the other half.
func TestRoundRobin(t *testing.T) {
	health := ejected{"b": true}
	policy := NewRoundRobin(health)
	policy.SetMembers([]Member{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d", Draining: true}, {ID: "e", Half: "south"}}, 1)
	var got []string
	for range 4 {
		decision, _ := policy.Choose(now, Request{Half: "north", Avoid: nil})
		got = append(got, decision.Upstream)
	}
	if diff := cmp.Diff([]string{"a", "c", "a", "c"}, got); diff != "" {
		t.Errorf("choices (-want +got):\n%s", diff)
	}
}

// fleetRouter returns a Router with load reports and the number of upstreams
// expected in two years.
func fleetRouter(b testing.TB) *Router {
	members := make([]Member, 7200)
	for index := range members {
		members[index] = Member{ID: fmt.Sprintf("upstream-%d", index), FailureDomain: fmt.Sprint(index % 23)}
		if index%2 == 0 {
			members[index].Half = conf.Half([]string{"north", "south"}[index/2%2])
		}
	}
	router := newRouter(b, Config{FailureDomain: "3", ExpectedAdapters: 170_000, ExpectedUpstreams: 7200}, members)
	router.SetMembers(members, 420)
	random := rand.New(rand.NewPCG(1, 0))
	for index := range members {
		loaded := make([]uint64, 32)
		for index := range loaded {
			loaded[index] = random.Uint64()
		}
		router.UpdateLoad(now, members[index].ID, LoadReport{Incarnation: 1, ExpectedWait: time.Duration(random.IntN(1e8)), LoadedAdapters: loaded})
	}
	return router
}

// TestChooseAllocations guards against allocations in Choose, which runs for
// every request.
func TestChooseAllocations(t *testing.T) {
	router := fleetRouter(t)
	adapter := uint64(0)
	got := testing.AllocsPerRun(1000, func() {
		adapter += 0x9e3779b97f4a7c15
		_, _ = router.Choose(now, Request{AdapterHash: adapter, PrefixHash: adapter, Half: "north", PromptTokens: 100})
	})
	if got != 0 {
		t.Errorf("%v allocations, want 0", got)
	}
}

func BenchmarkChoose(b *testing.B) {
	router := fleetRouter(b)
	random := rand.New(rand.NewPCG(2, 0))
	adapters := make([]uint64, 170_000)
	for index := range adapters {
		adapters[index] = random.Uint64()
	}
	b.ReportAllocs()
	at := now
	for b.Loop() {
		at = at.Add(100 * time.Microsecond)
		adapter := adapters[random.IntN(len(adapters))]
		_, _ = router.Choose(at, Request{AdapterHash: adapter, PrefixHash: adapter, Half: "north", PromptTokens: 100})
	}
}

func BenchmarkSetMembers(b *testing.B) {
	router := fleetRouter(b)
	members := make([]Member, 7200)
	for index := range members {
		members[index] = Member{ID: fmt.Sprintf("upstream-%d", index), FailureDomain: "3"}
	}
	for b.Loop() {
		router.SetMembers(members, 420)
	}
}
