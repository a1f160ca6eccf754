package picker

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// countingLimits counts the permits that are wanted.
type countingLimits struct {
	fakeLimits
	wanted int
}

func (limits *countingLimits) Want(fleet.Upstream, uint64) { limits.wanted++ }

// stateOf returns all that the picker keeps of its upstreams.
func stateOf(picker *Picker) (state []string) {
	for id, upstream := range picker.upstreams {
		state = append(state, fmt.Sprintf("%+v", *upstream))
		for number, waiter := range upstream.waiting {
			state = append(state, fmt.Sprintf("%s %d %+v", id, number, *waiter))
		}
	}
	slices.Sort(state)
	return state
}

// TestExplain guards against an explanation that differs from what Choose does, that hides a
// random choice or shows one where there is none, or that changes the state of the picker.
func TestExplain(t *testing.T) {
	starting, unreachable, evicted, full, slow := report(1, 0), report(1, 0), report(1, 0), report(1, 0, wanted), report(1, 900)
	starting.ModelLoaded, unreachable.Unreachable, full.Running, slow.Work.Lasting = false, true, 100, 3
	evicted.CacheCapacity, evicted.Evicted = 4, []lora.Adapter{wanted}
	tests := []struct {
		name      string
		reports   []Report
		limits    fakeLimits
		evacuated string
		waiting   int
		plain     bool
		want      Result
		equal     int
		omitted   int
		order     []string
	}{
		{name: "adapter at one", reports: []Report{report(1, 0), report(1, 900, wanted)}, order: []string{"i-1", "i-0"}},
		{name: "equal ones", reports: []Report{report(1, 0, wanted), report(1, 0, wanted), report(1, 900, wanted)}, equal: 1},
		{name: "no adapter", plain: true, reports: []Report{report(1, 0), report(1, 0), report(1, 0)}, equal: 2},
		{name: "by speed", plain: true, reports: []Report{slow, report(1, 900)}, order: []string{"i-1", "i-0"}},
		{name: "second copy", reports: []Report{report(1, 20_000, wanted), report(1, 0)}, order: []string{"i-0", "i-1"}},
		{name: "adapter missing", reports: []Report{report(1, 0), report(1, 0), report(1, 0)}, want: AdapterMissing},
		{name: "adapter can be reloaded", reports: []Report{report(1, 0), evicted, evicted}, want: AdapterMissing, equal: 1},
		{name: "one full", reports: []Report{full, report(1, 0)}, want: AdapterMissing, order: []string{"i-1", "i-0"}},
		{name: "all full", reports: []Report{full, full}, want: Full},
		{name: "more than are listed", reports: slices.Repeat([]Report{full}, maxConsidered+5), want: Full, omitted: 5},
		{name: "full and starting", reports: []Report{full, starting}, want: Starting, order: []string{"i-0", "i-1 loading-model"}},
		{name: "evacuated", evacuated: "hall", reports: []Report{report(1, 0)}, want: Evacuated, order: []string{"i-0 evacuated"}},
		{name: "none", reports: []Report{unreachable}, want: NoUpstream, order: []string{"i-0 unreachable"}},
		{name: "permit pending", limits: fakeLimits{"i-0": {Pending: true}}, reports: []Report{report(1, 0, wanted), report(1, 900, wanted)}, want: PermitPending, order: []string{"i-0", "i-1"}},
		{name: "rates used up", limits: fakeLimits{"i-0": usedUp, "i-1": usedUp}, reports: []Report{report(1, 0, wanted), report(1, 0, wanted)}, want: RateLimited},
		{name: "others wait", waiting: 20, reports: []Report{report(1, 0, wanted), report(1, 900, wanted)}, order: []string{"i-1", "i-0"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				picker := newPicker(test.reports...)
				limits := &countingLimits{fakeLimits: test.limits}
				evacuated := new(cordon.Domains)
				evacuated.Replace(map[string]bool{test.evacuated: true})
				picker.config.Limits, picker.config.Evacuation = limits, evacuated
				for _, upstream := range picker.upstreams {
					upstream.spec.FailureDomain = "hall"
				}
				time.Sleep(DefaultReportLag + time.Millisecond)
				for number := range test.waiting {
					picker.AddWaiting("i-0", admit.Request{ID: uint64(100 + number), Adapter: wanted, PromptTokens: 900}, time.Time{})
				}
				request := newRequest()
				if test.plain {
					request.Adapter = lora.Adapter{}
				}
				before := stateOf(picker)
				explanation := picker.Explain(request)
				if diff := cmp.Diff(before, stateOf(picker)); diff != "" || limits.wanted > 0 {
					t.Errorf("explaining changed the state, and wanted %d permits (-want +got):\n%s", limits.wanted, diff)
				}
				checkExplained(t, picker, request, explanation, test.equal)
				var order []string
				for _, considered := range explanation.Considered {
					order = append(order, strings.TrimSpace(considered.Upstream.ID+" "+string(considered.Obstacle)))
				}
				if explanation.Choice.Result != test.want || explanation.Omitted != test.omitted || test.order != nil && !slices.Equal(order, test.order) {
					t.Errorf("result %v, order %v, %d omitted; want %v, %v, %d", explanation.Choice.Result, order, explanation.Omitted, test.want, test.order, test.omitted)
				}
			})
		})
	}
}

// checkExplained checks an explanation against what is chosen in many trials.
func checkExplained(t *testing.T, picker *Picker, request Request, explanation Explanation, equal int) {
	t.Helper()
	want := map[string]bool{explanation.Choice.Upstream.ID: true}
	for _, considered := range explanation.Considered {
		if considered.Equal {
			want[considered.Upstream.ID] = true
		}
	}
	if len(want)-1 != equal {
		t.Errorf("%d equal ones, want %d", len(want)-1, equal)
	}
	got := make(map[string]bool)
	for range 100 {
		choice := picker.Choose(request)
		got[choice.Upstream.ID] = true
		if choice.Upstream.ID == explanation.Choice.Upstream.ID {
			if diff := cmp.Diff(choice, explanation.Choice); diff != "" {
				t.Fatalf("explained another choice (-want +got):\n%s", diff)
			}
		}
	}
	if diff := cmp.Diff(got, want); diff != "" {
		t.Errorf("chosen in 100 trials (-want) and explained (+got):\n%s", diff)
	}
}
