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

// report is what a loader says of an engine that holds the adapters.
func report(serial uint64, backlog int64, adapters ...lora.Adapter) Report {
	return Report{
		StartedAt: 1000, Serial: serial, FullSerial: serial, ModelLoaded: true, TotalTokens: 122_000,
		Backlog: backlog, FreeAdapterSlots: 5, Resident: adapters,
	}
}

// newBoard returns a Board with three engines and their first reports.
func newBoard(reports ...Report) *Picker {
	board := New(Config{})
	var listed []fleet.Upstream
	for i := range reports {
		listed = append(listed, engine(i))
	}
	board.SetUpstreams(listed)
	for i, report := range reports {
		board.RecordReport(listed[i].ID, report)
	}
	return board
}

// TestNewEngine plays the seconds after a crash in kalamaki-front scale-2: an
// engine that was just listed, and loads its model, must not draw the requests
// that others can serve. Once it is known to have no loader it is used.
func TestNewEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := newBoard(report(1, 6000), report(1, 6000))
		board.SetUpstreams([]fleet.Upstream{engine(0), engine(1), engine(2)})
		chosen := func() (count int) {
			for number := range 20 {
				request := need()
				request.Adapter.Name = fmt.Sprint("a", number)
				if board.Choose(request).Upstream.ID == "i-2" {
					count++
				}
			}
			return count
		}
		if count := chosen(); count > 0 {
			t.Errorf("%d of 20 adapters are asked for at an engine that has not reported", count)
		}
		time.Sleep(silentStart)
		board.RecordReport("i-0", report(2, 9000))
		board.RecordReport("i-1", report(2, 9000))
		if chosen() == 0 {
			t.Error("an engine without a loader is never used")
		}
	})
}

func need() Request {
	return Request{Service: "advisor", Engine: true, Adapter: wanted, KVTokens: 1600}
}

func TestChoose(t *testing.T) {
	older := lora.Adapter{Name: "a1", Version: 1}
	tests := []struct {
		name    string
		guards  string
		reports []Report
		change  func(board *Picker, need *Request)
		result  Result
		id      string
		copies  bool
	}{
		{
			name: "holder", guards: "an adapter is brought although an engine holds it",
			reports: []Report{report(1, 0), report(1, 3000, wanted), report(1, 0)}, result: Found, id: "i-1",
		},
		{
			name: "least backlog", guards: "prompts collect at one of two engines that hold the adapter",
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
			name: "no copy", guards: "copies take the weight store's time from adapters that nobody holds",
			reports: []Report{report(1, 0), report(1, 3000, wanted)}, result: Found, id: "i-1",
		},
		{
			name: "hopeless", guards: "requests wait where they cannot start before the goal",
			reports: []Report{report(1, 20_000, wanted)}, result: Full,
			change: func(_ *Picker, need *Request) { need.MaxWait = 14_400 },
		},
		{
			name: "tried", guards: "a request goes twice to the engine that failed it",
			reports: []Report{report(1, 0, wanted), report(1, 0, wanted)}, result: Found, id: "i-1",
			change: func(_ *Picker, need *Request) { need.Exclude = []string{"i-0"} },
		},
		{
			name: "no places", guards: "an adapter is asked for where all places are in use",
			reports: []Report{
				{StartedAt: 1000, Serial: 1, ModelLoaded: true, TotalTokens: 122_000},
				report(1, 0),
			},
			result: AdapterMissing, id: "i-1",
		},
		{
			name: "starting", guards: "requests are refused while engines load their model after a loss of power",
			reports: []Report{{StartedAt: 1000, Serial: 1}}, result: Starting,
		},
		{
			name: "others starting", guards: "requests are refused at the first engine that is back after a loss of power",
			reports: []Report{report(1, 20_000, wanted), {StartedAt: 1000, Serial: 1}}, result: Starting,
			change: func(_ *Picker, need *Request) { need.MaxWait = 14_400 },
		},
		{
			name: "load queue", guards: "an adapter is asked for where many others are to be loaded first",
			reports: []Report{
				{StartedAt: 1000, Serial: 1, ModelLoaded: true, TotalTokens: 122_000, FreeAdapterSlots: 5, QueuedLoads: 9},
				report(1, 0),
				{StartedAt: 1000, Serial: 1, ModelLoaded: true, TotalTokens: 122_000, FreeAdapterSlots: 5, QueuedLoads: 9},
			},
			result: AdapterMissing, id: "i-1",
		},
		{
			name: "unreachable", guards: "requests are sent to an engine that went dark, until its entry lapses",
			reports: []Report{report(1, 0, wanted), report(1, 0)}, result: AdapterMissing, id: "i-1",
			change: func(board *Picker, _ *Request) {
				dark := report(2, 0, wanted)
				dark.Unreachable = true
				board.RecordReport("i-0", dark)
			},
		},
		{
			name: "restarted", guards: "requests are sent to an id whose engine has started anew",
			reports: []Report{report(1, 0, wanted), report(1, 0)}, result: AdapterMissing, id: "i-1",
			change: func(board *Picker, _ *Request) {
				anew := report(2, 0)
				anew.StartedAt = 2000
				board.RecordReport("i-0", anew)
			},
		},
		{
			name: "draining", guards: "new work for a leaving engine",
			reports: []Report{report(1, 0, wanted)}, result: NoUpstream,
			change: func(board *Picker, _ *Request) {
				leaving := engine(0)
				leaving.Draining = true
				board.SetUpstreams([]fleet.Upstream{leaving})
			},
		},
		{
			name: "address used again", guards: "an ended start that is still listed at its old address",
			reports: []Report{report(1, 0, wanted)}, result: NoUpstream,
			change: func(board *Picker, _ *Request) {
				next := engine(0)
				next.ID, next.Service, next.StartedAt = "i-9", "counter", 3000
				board.SetUpstreams([]fleet.Upstream{engine(0), next})
			},
		},
		{
			name: "brief", guards: "residency is lost with each report that names no adapters",
			reports: []Report{report(1, 0, wanted), report(1, 0)}, result: Found, id: "i-0",
			change: func(board *Picker, _ *Request) {
				brief := report(2, 100)
				brief.OmitsAdapters, brief.FullSerial = true, 1
				board.RecordReport("i-0", brief)
			},
		},
		{
			name: "refused as absent", guards: "a request goes again to an engine that said it lacks the adapter",
			reports: []Report{report(1, 0, wanted), report(1, 0)}, result: AdapterMissing,
			change: func(board *Picker, _ *Request) { board.RecordMissing("i-0", wanted) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				board, need := newBoard(test.reports...), need()
				if test.change != nil {
					test.change(board, &need)
				}
				choice := board.Choose(need)
				if choice.Result != test.result {
					t.Fatalf("%s: result %d, want %d", test.guards, choice.Result, test.result)
				}
				if test.id != "" && choice.Upstream.ID != test.id {
					t.Errorf("%s: chose %s, want %s", test.guards, choice.Upstream.ID, test.id)
				}
				if copies := choice.CopyTo.ID != ""; copies != test.copies {
					t.Errorf("%s: copy asked for %v, want %v", test.guards, copies, test.copies)
				}
			})
		})
	}
}

// TestLost guards against streams that are cut at an engine that is leaving: it
// refuses connections and goes on serving those that it has (LOST, bench-floor
// mix, seed 836633669107).
func TestLost(t *testing.T) {
	tests := []struct {
		name        string
		unreachable bool
		silent      bool
		draining    bool
		born        int64
		want        bool
	}{
		{name: "sound", born: 1000},
		{name: "refuses connections", unreachable: true, born: 1000},
		{name: "dark", unreachable: true, silent: true, born: 1000, want: true},
		{name: "dark after it was listed as leaving", unreachable: true, silent: true, draining: true, born: 1000},
		{name: "restarted", born: 2000, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				board := newBoard(report(1, 0, wanted))
				listed := engine(0)
				listed.Draining = test.draining
				board.SetUpstreams([]fleet.Upstream{listed})
				next := report(2, 0, wanted)
				next.Unreachable, next.Unresponsive, next.StartedAt = test.unreachable, test.silent, test.born
				board.RecordReport("i-0", next)
				if got := board.Gone("i-0"); got != test.want {
					t.Errorf("lost is %v, want %v", got, test.want)
				}
			})
		})
	}
}

// TestBurst plays many requests for one service that come between two reports,
// as at the start of a burst: own asks count, so that they spread.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := newBoard(report(1, 0, wanted), report(1, 0, wanted), report(1, 0, wanted))
		counts := make(map[string]int)
		for number := range uint64(30) {
			choice := board.Choose(need())
			board.AddWaiting(choice.Upstream.ID, admit.Request{ID: number, Adapter: wanted, PromptTokens: 1460}, time.Time{})
			counts[choice.Upstream.ID]++
		}
		if diff := cmp.Diff(map[string]int{"i-0": 10, "i-1": 10, "i-2": 10}, counts); diff != "" {
			t.Errorf("requests (-want +got):\n%s", diff)
		}
	})
}

// TestTurn guards against a request that waits for a loader that has ended.
func TestTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := newBoard(report(1, 0, wanted))
		board.AddWaiting("i-0", admit.Request{ID: 7, Adapter: wanted}, time.Time{})
		if got := board.GrantState("i-0", 7); got != Waiting {
			t.Errorf("turn %d before the grant, want %d", got, Waiting)
		}
		time.Sleep(DefaultReportTTL + time.Millisecond)
		if got := board.GrantState("i-0", 7); got != NoLoader {
			t.Errorf("turn %d without reports, want %d", got, NoLoader)
		}
		board.RecordGrants("i-0", []uint64{7})
		if got := board.GrantState("i-0", 7); got != Granted {
			t.Errorf("turn %d after the grant, want %d", got, Granted)
		}
	})
}

// TestAllLost plays the seconds after all engines have started anew on
// ctpl-front: hundreds of requests wait for adapters, and engines that hold the
// wanted one read nothing. They must not seem full, and late requests must not
// make them seem so to those on time.
func TestAllLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := newBoard(report(1, 0, wanted), report(1, 0))
		request := need()
		request.MaxWait = 600 * time.Millisecond
		for number := range uint64(60) {
			missing := lora.Adapter{Name: fmt.Sprint("b", number)}
			board.AddWaiting("i-0", admit.Request{ID: number, Adapter: missing, PromptTokens: 830}, time.Time{})
			board.AddWaiting("i-0", admit.Request{ID: 100 + number, Adapter: wanted, PromptTokens: 830}, time.Now())
		}
		if got := board.Choose(request); got.Result != Found || got.Upstream.ID != "i-0" {
			t.Errorf("on time: result %d at %q, want %d at i-0", got.Result, got.Upstream.ID, Found)
		}
		request.Late, request.MaxWait = true, 0
		if got := board.Choose(request); got.Wait < time.Second {
			t.Errorf("late: wait %v behind 60 others, want a second or more", got.Wait)
		}
	})
}

// TestLate guards against loaders that take a request for one on time although
// its goal has passed.
func TestLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := newBoard(report(1, 0, wanted))
		missing := lora.Adapter{Name: "b1"}
		board.AddWaiting("i-0", admit.Request{ID: 1, Adapter: missing}, time.Now().Add(500*time.Millisecond))
		board.AddWaiting("i-0", admit.Request{ID: 2, Adapter: missing}, time.Time{})
		for _, want := range []int{0, 1} {
			var got []int
			for _, use := range board.AdapterDemand("i-0") {
				got = append(got, use.Waiting, use.Late)
			}
			if diff := cmp.Diff([]int{2, want}, got); diff != "" {
				t.Errorf("waiting and late (-want +got):\n%s", diff)
			}
			asks := board.WaitingRequests("i-0")
			if diff := cmp.Diff([]bool{want == 1, false}, []bool{asks[0].Late, asks[1].Late}); diff != "" {
				t.Errorf("asks are late (-want +got):\n%s", diff)
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// TestStay plays two holders with waits that differ little, as in the seconds
// after all engines have started anew: requests that wait must not move to and
// fro between them, but must leave a holder that fell behind.
func TestStay(t *testing.T) {
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
				board := newBoard(report(1, test.backlog, wanted), report(1, 0, wanted))
				request := need()
				request.WaitingAt = "i-0"
				if got := board.Choose(request).Upstream.ID; got != test.want {
					t.Errorf("chose %s, want %s", got, test.want)
				}
			})
		})
	}
}
