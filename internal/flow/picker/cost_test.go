package picker

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/flow/speed"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// withWork returns a report of an engine that states its work factor, with the speed and
// the pause risk that its loader would report.
func withWork(reported Report, lasting, present, risk float64) Report {
	reported.Work = speed.Work{Stated: speed.Statement{Factor: present, At: time.Now()}, Lasting: lasting}
	reported.AdmissionRate = 24 / lasting
	reported.Speed = admit.Speed{PrefillRate: 25.8 / lasting, EventInterval: time.Duration(float64(33*time.Millisecond) * lasting)}
	reported.PauseRisk, reported.LastingPauseRisk = risk, risk
	return reported
}

// newTimedRequest returns a request of a route with goals.
func newTimedRequest() Request {
	request := newRequest()
	request.PromptTokens, request.ResponseGoal, request.EventGapGoal = 1460, 600*time.Millisecond, 300*time.Millisecond
	return request
}

// speedState is what is known of one engine: its backlog and its work factors, how old the
// stated one is, the risk of pauses, and whether it lacks the adapter.
type speedState struct {
	backlog          int64
	lasting, present float64
	age              time.Duration
	risk             float64
	lacks            bool
	queuedLoads      int
}

// newTimedPicker returns a Picker with one engine for each state.
func newTimedPicker(states ...speedState) *Picker {
	var reports []Report
	for _, state := range states {
		reported := report(1, state.backlog, wanted)
		if state.lacks {
			reported.Resident = nil
		}
		reported.QueuedLoads = state.queuedLoads
		reported = withWork(reported, state.lasting, state.present, state.risk)
		reported.Work.Stated.At = time.Now().Add(-state.age)
		reports = append(reports, reported)
	}
	return newPicker(reports...)
}

// TestChooseBySpeed checks the choice among idle or lightly loaded engines that have the
// adapter; each case names the failure that it guards against.
func TestChooseBySpeed(t *testing.T) {
	tests := []struct {
		guards string
		states []speedState
		id     string
		copies bool
	}{
		{"an idle slow engine counts as much as an idle fast one", []speedState{{lasting: 1.6, present: 1.6}, {lasting: 0.6, present: 0.6}}, "i-1", false},
		{"requests go to an engine in a slow moment", []speedState{{lasting: 0.6, present: 1.5}, {lasting: 1, present: 1}}, "i-1", false},
		{"an old figure keeps requests away", []speedState{{lasting: 0.6, present: 1.5, age: 2 * time.Second}, {lasting: 1, present: 1}}, "i-0", false},
		{"streams begin where a third of them pause", []speedState{{lasting: 1, present: 1, risk: 0.32}, {lasting: 1, present: 1, risk: 0.02, backlog: 2000}}, "i-1", false},
		{"a fast engine gets all however many wait", []speedState{{lasting: 0.6, present: 0.6, backlog: 18_000}, {lasting: 1.6, present: 1.6, risk: 0.2}}, "i-1", false},
		{"an adapter is fetched elsewhere for a slow moment", []speedState{{lasting: 1, present: 8, backlog: 3000}, {lasting: 0.6, present: 0.6, lacks: true}}, "i-0", false},
		{"a popular adapter stays at a slow engine", []speedState{{lasting: 1.6, present: 1.6, risk: 0.2, backlog: 4500}, {lasting: 0.6, present: 0.6, lacks: true}}, "i-0", true},
		{"a lie attracts all however many wait", []speedState{{lasting: 1, present: 0.05, age: 300 * time.Millisecond, backlog: 30_000}, {lasting: 1, present: 1}}, "i-1", false},
		{"requests are refused when all engines are slow", []speedState{{lasting: 1.6, present: 4, risk: 0.4, backlog: 1000}, {lasting: 1.6, present: 4, risk: 0.4}}, "i-1", false},
	}
	for _, test := range tests {
		t.Run(test.guards, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				choice := newTimedPicker(test.states...).Choose(newTimedRequest())
				if choice.Result != Found || choice.Upstream.ID != test.id || (choice.CopyTo.ID != "") != test.copies {
					t.Errorf("result %d at %s, copy to %q; want %s", choice.Result, choice.Upstream.ID, choice.CopyTo.ID, test.id)
				}
			})
		})
	}
}

// TestNoStatedFactor guards against a choice by prompt length or risk where no upstream
// states its work factor.
func TestNoStatedFactor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		risky, slower := report(1, 0, wanted), report(1, 10, wanted)
		risky.PauseRisk, risky.AdmissionRate = 1, 1
		if got := newPicker(risky, slower).Choose(newTimedRequest()).Upstream.ID; got != "i-0" {
			t.Errorf("chose %s, want the shortest wait", got)
		}
	})
}

// TestPausesAtEqualLoad guards against requests that don't avoid the engines at which
// streams pause. The load is a prompt of 1,460 tokens each 20 ms at nine engines, a third
// of their capacity; the shares of streams with a pause are 0.02, 0.13 and 0.32.
func TestPausesAtEqualLoad(t *testing.T) {
	factors, shares := []float64{0.6, 1, 1.6}, []float64{0.02, 0.13, 0.32}
	paused := func(stated bool) (sum float64) {
		synctest.Test(t, func(t *testing.T) {
			picker, backlogs := newPicker(make([]Report, 9)...), make([]float64, 9)
			for number := range uint64(600) {
				for i := range backlogs {
					backlogs[i] = max(backlogs[i]-20*24/factors[i%3], 0)
					reported := report(number+1, int64(backlogs[i]), wanted)
					if stated {
						reported = withWork(reported, factors[i%3], factors[i%3], shares[i%3])
					}
					picker.RecordReport(engine(i).ID, reported)
				}
				choice := picker.Choose(newTimedRequest())
				if choice.Result != Found {
					t.Fatalf("request %d: result %d", number, choice.Result)
				}
				chosen := choice.Upstream.ID[2] - '0'
				backlogs[chosen] += 1460
				sum += shares[chosen%3]
				time.Sleep(20 * time.Millisecond)
			}
		})
		return sum
	}
	if before, after := paused(false), paused(true); after > before/3 {
		t.Errorf("%.0f of 600 streams pause, %.0f without work factors; want a third at most", after, before)
	}
}

// TestPlainServiceBySpeed guards against plain upstreams that are compared by their load
// alone although work takes longer at one of them.
func TestPlainServiceBySpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		picker := New(Config{})
		picker.SetUpstreams([]fleet.Upstream{engine(0), engine(1)})
		for range 3 {
			picker.RecordFactor("i-0", 1.6)
			picker.RecordFactor("i-1", 0.6)
			time.Sleep(200 * time.Millisecond)
		}
		for number, want := range []string{"i-1", "i-1", "i-0"} {
			if got := picker.Choose(Request{Service: "advisor"}).Upstream.ID; got != want {
				t.Errorf("chose %s for request %d, want %s", got, number, want)
			}
			picker.RecordSent(want, lora.Adapter{})
		}
	})
}

// TestPlacement guards against adapters placed without regard to lasting speed, against
// targets that move for a slow moment, and against loads that queue at all fast engines while
// slow ones are idle.
func TestPlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		place := func(slowdown float64, loadsAtFast int) []string {
			var states []speedState
			for _, factor := range slices.Repeat([]float64{0.6, 1, 1.6}, 3) {
				state := speedState{lasting: factor, present: slowdown * factor, lacks: true}
				if factor <= 1 {
					state.queuedLoads = loadsAtFast
				}
				states = append(states, state)
			}
			picker, targets := newTimedPicker(states...), make([]string, 0, 400)
			for number := range 400 {
				request := newTimedRequest()
				request.Adapter.Name = fmt.Sprint("a", number)
				targets = append(targets, picker.Choose(request).Upstream.ID)
			}
			return targets
		}
		usual, counts := place(1, 0), make([]int, 3)
		if diff := cmp.Diff(usual, place(2.5, 0)); diff != "" {
			t.Errorf("targets move for a slow moment (-usual +slow):\n%s", diff)
		}
		for _, target := range usual {
			counts[(target[2]-'0')%3]++
		}
		if counts[0] < 2*counts[1] || counts[1] < 2*counts[2] || counts[2] == 0 {
			t.Errorf("%v adapters at fast, usual and slow engines", counts)
		}
		if slices.ContainsFunc(place(1, 6), func(target string) bool { return (target[2]-'0')%3 != 2 }) {
			t.Error("an adapter is placed where six others are to be loaded first")
		}
	})
}
