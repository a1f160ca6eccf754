package picker

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

var wanted = lora.Adapter{Name: "a1", Version: 2}

func engine(number int) fleet.Upstream {
	return fleet.Upstream{
		ID: fmt.Sprint("i-", number), Service: "advisor", Address: fmt.Sprintf("10.0.0.%d:80", number),
		Slots: 64, StartedAt: 1000,
	}
}

// report returns a loader's report of an engine that has the adapters.
func report(serial uint64, backlog int64, adapters ...lora.Adapter) Report {
	return Report{
		StartedAt: 1000, Serial: serial, FullSerial: serial, ModelLoaded: true, TotalTokens: 122_000,
		Backlog: backlog, FreeAdapterSlots: 5, Resident: adapters,
	}
}

// newPicker returns a Picker with one engine for each report.
func newPicker(reports ...Report) *Picker {
	picker := New(Config{})
	var listed []fleet.Upstream
	for i := range reports {
		listed = append(listed, engine(i))
	}
	picker.SetUpstreams(listed)
	for i, report := range reports {
		picker.RecordReport(listed[i].ID, report)
	}
	return picker
}

// TestNewEngine guards against a new engine that attracts requests while it
// still loads its model, as after a crash in scenario kalamaki-front scale-2.
// Without reports for firstReportTimeout, it counts as an engine without a
// loader and is used.
func TestNewEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		picker := newPicker(report(1, 6000), report(1, 6000))
		picker.SetUpstreams([]fleet.Upstream{engine(0), engine(1), engine(2)})
		chosen := func() (count int) {
			for number := range 20 {
				request := newRequest()
				request.Adapter.Name = fmt.Sprint("a", number)
				if picker.Choose(request).Upstream.ID == "i-2" {
					count++
				}
			}
			return count
		}
		if count := chosen(); count > 0 {
			t.Errorf("%d of 20 adapters are requested at an engine that has not reported", count)
		}
		time.Sleep(firstReportTimeout)
		picker.RecordReport("i-0", report(2, 9000))
		picker.RecordReport("i-1", report(2, 9000))
		if chosen() == 0 {
			t.Error("an engine without a loader is never used")
		}
	})
}

// newRequest returns a request for the adapter wanted.
func newRequest() Request {
	return Request{Service: "advisor", Engine: true, Adapter: wanted, KVTokens: 1600}
}

// TestChoose checks which upstream is chosen; each case names the failure that
// it guards against.
func TestChoose(t *testing.T) {
	older := lora.Adapter{Name: "a1", Version: 1}
	tests := []struct {
		name    string
		guards  string
		reports []Report
		change  func(picker *Picker, request *Request)
		result  Result
		id      string
		copies  bool
	}{
		{
			name: "holder", guards: "an adapter is loaded although another engine has it",
			reports: []Report{report(1, 0), report(1, 3000, wanted), report(1, 0)}, result: Found, id: "i-1",
		},
		{
			name: "least backlog", guards: "prompts pile up at one of two engines that have the adapter",
			reports: []Report{report(1, 900, wanted), report(1, 3000, wanted), report(1, 0)}, result: Found, id: "i-0",
		},
		{
			name: "older version", guards: "a request begins on a version that was replaced",
			reports: []Report{report(1, 0, older)}, result: AdapterMissing, id: "i-0",
		},
		{
			name: "copy", guards: "the most popular adapter stays at one engine",
			reports: []Report{report(1, 0), report(1, 9000, wanted)}, result: Found, id: "i-1", copies: true,
		},
		{
			name: "no copy", guards: "copies delay the weight store's transfers of adapters that no engine has",
			reports: []Report{report(1, 0), report(1, 3000, wanted)}, result: Found, id: "i-1",
		},
		{
			name: "hopeless", guards: "requests wait where they cannot start before their response-time goal",
			reports: []Report{report(1, 20_000, wanted)}, result: Full,
			change: func(_ *Picker, request *Request) { request.MaxWait = 14_400 },
		},
		{
			name: "tried", guards: "a request goes twice to the engine that failed it",
			reports: []Report{report(1, 0, wanted), report(1, 0, wanted)}, result: Found, id: "i-1",
			change: func(_ *Picker, request *Request) { request.Exclude = []string{"i-0"} },
		},
		{
			name: "no free slots", guards: "an adapter is requested where all adapter slots are in use",
			reports: []Report{
				{StartedAt: 1000, Serial: 1, ModelLoaded: true, TotalTokens: 122_000},
				report(1, 0),
			},
			result: AdapterMissing, id: "i-1",
		},
		{
			name: "starting", guards: "requests are refused while engines load their model after a power failure",
			reports: []Report{{StartedAt: 1000, Serial: 1}}, result: Starting,
		},
		{
			name: "others starting", guards: "requests are refused once the first engine is back after a power failure",
			reports: []Report{report(1, 20_000, wanted), {StartedAt: 1000, Serial: 1}}, result: Starting,
			change: func(_ *Picker, request *Request) { request.MaxWait = 14_400 },
		},
		{
			name: "load queue", guards: "an adapter is requested where many others are to be loaded first",
			reports: []Report{
				{StartedAt: 1000, Serial: 1, ModelLoaded: true, TotalTokens: 122_000, FreeAdapterSlots: 5, QueuedLoads: 9},
				report(1, 0),
				{StartedAt: 1000, Serial: 1, ModelLoaded: true, TotalTokens: 122_000, FreeAdapterSlots: 5, QueuedLoads: 9},
			},
			result: AdapterMissing, id: "i-1",
		},
		{
			name: "unreachable", guards: "requests are sent to an unreachable engine until its entry in the instance list expires",
			reports: []Report{report(1, 0, wanted), report(1, 0)}, result: AdapterMissing, id: "i-1",
			change: func(picker *Picker, _ *Request) {
				unreachable := report(2, 0, wanted)
				unreachable.Unreachable = true
				picker.RecordReport("i-0", unreachable)
			},
		},
		{
			name: "restarted", guards: "requests are sent to an id whose engine has restarted",
			reports: []Report{report(1, 0, wanted), report(1, 0)}, result: AdapterMissing, id: "i-1",
			change: func(picker *Picker, _ *Request) {
				restarted := report(2, 0)
				restarted.StartedAt = 2000
				picker.RecordReport("i-0", restarted)
			},
		},
		{
			name: "draining", guards: "new work for a draining engine",
			reports: []Report{report(1, 0, wanted)}, result: NoUpstream,
			change: func(picker *Picker, _ *Request) {
				draining := engine(0)
				draining.Draining = true
				picker.SetUpstreams([]fleet.Upstream{draining})
			},
		},
		{
			name: "address used again", guards: "an ended incarnation that is still listed at its old address",
			reports: []Report{report(1, 0, wanted)}, result: NoUpstream,
			change: func(picker *Picker, _ *Request) {
				next := engine(0)
				next.ID, next.Service, next.StartedAt = "i-9", "counter", 3000
				picker.SetUpstreams([]fleet.Upstream{engine(0), next})
			},
		},
		{
			name: "brief", guards: "the resident adapters are forgotten with each report that names none",
			reports: []Report{report(1, 0, wanted), report(1, 0)}, result: Found, id: "i-0",
			change: func(picker *Picker, _ *Request) {
				brief := report(2, 100)
				brief.OmitsAdapters, brief.FullSerial = true, 1
				picker.RecordReport("i-0", brief)
			},
		},
		{
			name: "refused as absent", guards: "a request goes again to an engine that said it lacks the adapter",
			reports: []Report{report(1, 0, wanted), report(1, 0)}, result: AdapterMissing,
			change: func(picker *Picker, _ *Request) { picker.RecordMissing("i-0", wanted) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				picker, request := newPicker(test.reports...), newRequest()
				if test.change != nil {
					test.change(picker, &request)
				}
				choice := picker.Choose(request)
				if choice.Result != test.result {
					t.Fatalf("%s: result %d, want %d", test.guards, choice.Result, test.result)
				}
				if test.id != "" && choice.Upstream.ID != test.id {
					t.Errorf("%s: chose %s, want %s", test.guards, choice.Upstream.ID, test.id)
				}
				if copies := choice.CopyTo.ID != ""; copies != test.copies {
					t.Errorf("%s: copy requested %v, want %v", test.guards, copies, test.copies)
				}
			})
		})
	}
}

// TestGone guards against streams that are cut at a draining engine. It refuses
// connections but goes on serving those that it has (found as LOST by
// bench-floor mix, seed 836633669107).
func TestGone(t *testing.T) {
	tests := []struct {
		name         string
		unreachable  bool
		unresponsive bool
		draining     bool
		startedAt    int64
		want         bool
	}{
		{name: "sound", startedAt: 1000},
		{name: "refuses connections", unreachable: true, startedAt: 1000},
		{name: "dark", unreachable: true, unresponsive: true, startedAt: 1000, want: true},
		{name: "unresponsive after it was listed as draining", unreachable: true, unresponsive: true, draining: true, startedAt: 1000},
		{name: "restarted", startedAt: 2000, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				picker := newPicker(report(1, 0, wanted))
				listed := engine(0)
				listed.Draining = test.draining
				picker.SetUpstreams([]fleet.Upstream{listed})
				next := report(2, 0, wanted)
				next.Unreachable, next.Unresponsive, next.StartedAt = test.unreachable, test.unresponsive, test.startedAt
				picker.RecordReport("i-0", next)
				if got := picker.Gone("i-0"); got != test.want {
					t.Errorf("gone is %v, want %v", got, test.want)
				}
			})
		})
	}
}

// TestBurst guards against a burst of requests between two reports that all go
// to one upstream: this instance's waiting requests must count, so that they
// spread.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		picker := newPicker(report(1, 0, wanted), report(1, 0, wanted), report(1, 0, wanted))
		counts := make(map[string]int)
		for number := range uint64(30) {
			choice := picker.Choose(newRequest())
			picker.AddWaiting(choice.Upstream.ID, admit.Request{ID: number, Adapter: wanted, PromptTokens: 1460}, time.Time{})
			counts[choice.Upstream.ID]++
		}
		if diff := cmp.Diff(map[string]int{"i-0": 10, "i-1": 10, "i-2": 10}, counts); diff != "" {
			t.Errorf("requests (-want +got):\n%s", diff)
		}
	})
}

// TestGrantState guards against a request that waits for a loader that has
// ended.
func TestGrantState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		picker := newPicker(report(1, 0, wanted))
		picker.AddWaiting("i-0", admit.Request{ID: 7, Adapter: wanted}, time.Time{})
		if got := picker.GrantState("i-0", 7); got != Waiting {
			t.Errorf("grant state %d before the grant, want %d", got, Waiting)
		}
		time.Sleep(DefaultReportTTL + time.Millisecond)
		if got := picker.GrantState("i-0", 7); got != NoLoader {
			t.Errorf("grant state %d without reports, want %d", got, NoLoader)
		}
		picker.RecordGrants("i-0", []uint64{7})
		if got := picker.GrantState("i-0", 7); got != Granted {
			t.Errorf("grant state %d after the grant, want %d", got, Granted)
		}
	})
}

// TestRestartOfAllEngines guards against an engine that has the adapter but
// seems full after all engines have restarted, as in scenario ctpl-front:
// hundreds of requests wait there for other adapters while it has nothing to
// prefill. Late requests must not make it seem full to those on time either.
func TestRestartOfAllEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		picker := newPicker(report(1, 0, wanted), report(1, 0))
		request := newRequest()
		request.MaxWait = 600 * time.Millisecond
		for number := range uint64(60) {
			missing := lora.Adapter{Name: fmt.Sprint("b", number)}
			picker.AddWaiting("i-0", admit.Request{ID: number, Adapter: missing, PromptTokens: 830}, time.Time{})
			picker.AddWaiting("i-0", admit.Request{ID: 100 + number, Adapter: wanted, PromptTokens: 830}, time.Now())
		}
		if got := picker.Choose(request); got.Result != Found || got.Upstream.ID != "i-0" {
			t.Errorf("on time: result %d at %q, want %d at i-0", got.Result, got.Upstream.ID, Found)
		}
		request.Late, request.MaxWait = true, 0
		if got := picker.Choose(request); got.Wait < time.Second {
			t.Errorf("late: wait %v behind 60 others, want a second or more", got.Wait)
		}
	})
}

// TestLate guards against a request that loaders take for one on time although
// it has missed its response-time goal.
func TestLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		picker := newPicker(report(1, 0, wanted))
		missing := lora.Adapter{Name: "b1"}
		picker.AddWaiting("i-0", admit.Request{ID: 1, Adapter: missing}, time.Now().Add(500*time.Millisecond))
		picker.AddWaiting("i-0", admit.Request{ID: 2, Adapter: missing}, time.Time{})
		for _, want := range []int{0, 1} {
			var got []int
			for _, use := range picker.AdapterDemand("i-0") {
				got = append(got, use.Waiting, use.Late)
			}
			if diff := cmp.Diff([]int{2, want}, got); diff != "" {
				t.Errorf("waiting and late (-want +got):\n%s", diff)
			}
			requests := picker.WaitingRequests("i-0")
			if diff := cmp.Diff([]bool{want == 1, false}, []bool{requests[0].Late, requests[1].Late}); diff != "" {
				t.Errorf("requests are late (-want +got):\n%s", diff)
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// TestMoveThreshold guards against waiting requests that move back and forth
// between two upstreams with similar waits, as after a restart of all engines.
// They must still leave one whose wait grows much longer.
func TestMoveThreshold(t *testing.T) {
	tests := []struct {
		name    string
		backlog int64
		want    string
	}{
		{name: "a little shorter elsewhere", backlog: 3000, want: "i-0"},
		{name: "much shorter elsewhere", backlog: 9000, want: "i-1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				picker := newPicker(report(1, test.backlog, wanted), report(1, 0, wanted))
				request := newRequest()
				request.WaitingAt = "i-0"
				if got := picker.Choose(request).Upstream.ID; got != test.want {
					t.Errorf("chose %s, want %s", got, test.want)
				}
			})
		})
	}
}
