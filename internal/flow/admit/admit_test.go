package admit

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/lora"
)

// threeTokens is an engine with three tokens in an event, whose streams exceed
// MaxEventGap after three steps with full prefill chunks.
var threeTokens = EngineConfig{Slots: 64, EventTokens: 3, MaxEventGap: 300 * time.Millisecond}

func holdsAll(lora.Adapter) bool { return true }

// newController returns the Controller of an idle engine that has every
// adapter.
func newController() *Controller {
	controller := New(Config{})
	controller.Observe(EngineState{TotalTokens: 122_000, HasAdapter: holdsAll})
	return controller
}

// requests returns a request for each number of prompt tokens, with ids from 1.
func requests(prompts ...int64) []Request {
	list := make([]Request, 0, len(prompts))
	for i, prompt := range prompts {
		list = append(list, Request{ID: uint64(i + 1), PromptTokens: prompt, OutputTokens: 170, Priority: 1})
	}
	return list
}

// TestEventGap guards against event gaps that grow too long when prompts arrive
// together: in scenario bench-floor scale-1, prompts of 1,460 tokens made the
// streams of an engine pause for 360 ms. Within MaxEventGap no more may be
// admitted than the engine prefills beside an event.
func TestEventGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newController()
		waiting := requests(slices.Repeat([]int64{1460}, 12)...)
		type admission struct {
			at     time.Duration
			tokens int64
		}
		var history []admission
		began := time.Now()
		for len(waiting) > 0 && time.Since(began) < 5*time.Second {
			controller.SetRequests("entry", threeTokens, waiting)
			granted, _ := controller.Grant()
			for _, id := range granted["entry"] {
				history = append(history, admission{time.Since(began), 1460})
				waiting = slices.DeleteFunc(waiting, func(request Request) bool { return request.ID == id })
			}
			time.Sleep(10 * time.Millisecond)
		}
		if len(waiting) > 0 {
			t.Fatalf("%d requests were not admitted within 5 s", len(waiting))
		}
		const prefillable = (300 - 3*14) * 19
		for i := range history {
			var sum int64
			for _, later := range history[i:] {
				if later.at-history[i].at < 300*time.Millisecond {
					sum += later.tokens
				}
			}
			if sum > prefillable {
				t.Errorf("%d prompt tokens within 300 ms from %v, at most %d can be prefilled", sum, history[i].at, prefillable)
			}
		}
		if took := history[len(history)-1].at; took > 1200*time.Millisecond {
			t.Errorf("12 prompts took %v; three each 300 ms were possible", took)
		}
	})
}

// twoTokens is an engine with two tokens in an event, whose streams stay within
// MaxEventGap however much it prefills.
var twoTokens = EngineConfig{Slots: 64, EventTokens: 2, MaxEventGap: 300 * time.Millisecond}

// TestFlood guards against an engine that is sent more prompts than it can
// prefill soon, as in scenario kalamaki-front scale-1, where one engine got
// twice its prefill rate for two seconds. The excess must wait in the
// controller, where more urgent requests can overtake it, and count in the
// reported backlog, so that other engines take the rest.
func TestFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			prompt = 1460
			rate   = 19.0
			period = 40 * time.Millisecond
			step   = 10 * time.Millisecond
		)
		controller := newController()
		var waiting []Request
		unprefilled, last := 0.0, time.Now()
		for at := time.Duration(0); at < 2*time.Second; at += step {
			if at%period == 0 {
				waiting = append(waiting, Request{ID: uint64(at/period) + 1, PromptTokens: prompt, OutputTokens: 170})
			}
			unprefilled = max(unprefilled-float64(time.Since(last).Milliseconds())*rate, 0)
			last = time.Now()
			controller.Observe(EngineState{Queued: int(unprefilled) / prompt, TotalTokens: 122_000, HasAdapter: holdsAll})
			controller.SetRequests("entry", twoTokens, waiting)
			granted, _ := controller.Grant()
			for _, id := range granted["entry"] {
				unprefilled += prompt
				waiting = slices.DeleteFunc(waiting, func(request Request) bool { return request.ID == id })
			}
			if most := 2 * 300 * rate; unprefilled > most {
				t.Fatalf("%v: the engine has %.0f tokens to prefill, at most %.0f are prefilled within two windows", at, unprefilled, most)
			}
			if left, reported := unprefilled+float64(prompt*len(waiting)), backlog(controller); float64(reported) < left*0.9 {
				t.Fatalf("%v: a backlog of %d is reported, %.0f tokens are to be prefilled", at, reported, left)
			}
			time.Sleep(step)
		}
		if idle := 2000*rate*0.8 - float64(prompt*(50-len(waiting))); idle > 0 {
			t.Errorf("the engine was idle for %.0f tokens", idle)
		}
	})
}

// TestGrant checks which requests are admitted; each case names the failure
// that it guards against.
func TestGrant(t *testing.T) {
	tests := []struct {
		name         string
		guards       string
		engineConfig EngineConfig
		state        EngineState
		requests     []Request
		want         []uint64
	}{
		{
			name: "urgent first", guards: "patient requests admitted before interactive ones",
			engineConfig: threeTokens, state: EngineState{TotalTokens: 122_000, HasAdapter: holdsAll},
			requests: []Request{{ID: 1, PromptTokens: 4000, Priority: 1}, {ID: 2, PromptTokens: 4000, Priority: 0}},
			want:     []uint64{2},
		},
		{
			name: "bound first", guards: "streams that only engines of their version can continue wait behind new ones, which others can begin",
			engineConfig: threeTokens, state: EngineState{TotalTokens: 122_000, HasAdapter: holdsAll},
			requests: []Request{{ID: 1, PromptTokens: 4000, Waited: 3 * time.Second}, {ID: 2, PromptTokens: 4000, Bound: true}},
			want:     []uint64{2},
		},
		{
			name: "missing adapter passed over", guards: "a request whose adapter is loading holds up the others",
			engineConfig: threeTokens,
			state:        EngineState{TotalTokens: 122_000, HasAdapter: func(adapter lora.Adapter) bool { return adapter.Name != "a1" }},
			requests:     []Request{{ID: 1, PromptTokens: 100, Adapter: lora.Adapter{Name: "a1"}}, {ID: 2, PromptTokens: 100, Adapter: lora.Adapter{Name: "a2"}}},
			want:         []uint64{2},
		},
		{
			name: "memory", guards: "an engine whose memory is full preempts streams",
			engineConfig: threeTokens, state: EngineState{UsedTokens: 121_000, TotalTokens: 122_000, HasAdapter: holdsAll},
			requests: requests(1460), want: nil,
		},
		{
			name: "slots", guards: "more requests than an engine runs at once",
			engineConfig: threeTokens, state: EngineState{Running: 63, TotalTokens: 122_000, HasAdapter: holdsAll},
			requests: requests(100, 100), want: []uint64{1},
		},
		{
			name: "larger than the window", guards: "the largest prompts are never admitted",
			engineConfig: threeTokens, state: EngineState{TotalTokens: 122_000, HasAdapter: holdsAll},
			requests: requests(20_000), want: []uint64{1},
		},
		{
			name: "no long steps", guards: "prompts are held back although streams of two tokens per event stay within their gap",
			engineConfig: twoTokens, state: EngineState{TotalTokens: 122_000, HasAdapter: holdsAll},
			requests: requests(1460, 1460, 1460, 1460, 1460, 1460), want: []uint64{1, 2, 3, 4, 5, 6},
		},
		{
			name: "no report", guards: "requests are sent to an engine that does not answer",
			engineConfig: threeTokens, state: EngineState{}, requests: requests(100), want: nil,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				controller := New(Config{})
				controller.Observe(test.state)
				controller.SetRequests("entry", test.engineConfig, test.requests)
				granted, _ := controller.Grant()
				if diff := cmp.Diff(test.want, granted["entry"]); diff != "" {
					t.Errorf("%s: granted (-want +got):\n%s", test.guards, diff)
				}
			})
		})
	}
}

// TestLostGrant guards against a request that waits for ever, or counts twice,
// because the datagram with its grant was lost.
func TestLostGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newController()
		for range 3 {
			controller.SetRequests("entry", threeTokens, requests(1460))
			granted, _ := controller.Grant()
			if diff := cmp.Diff([]uint64{1}, granted["entry"]); diff != "" {
				t.Fatalf("granted (-want +got):\n%s", diff)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if got := backlog(controller); got != 1460 {
			t.Errorf("backlog is %d, want 1460", got)
		}
	})
}

// TestSilentEntry guards against requests of a killed entry instance that delay
// those of the others.
func TestSilentEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newController()
		controller.SetRequests("dead", threeTokens, []Request{{ID: 1, PromptTokens: 4000}, {ID: 2, PromptTokens: 4000}})
		controller.Grant()
		time.Sleep(DefaultEntryTimeout + 100*time.Millisecond)
		controller.SetRequests("entry", threeTokens, requests(4000))
		granted, _ := controller.Grant()
		if diff := cmp.Diff(map[string][]uint64{"entry": {1}}, granted); diff != "" {
			t.Errorf("granted (-want +got):\n%s", diff)
		}
	})
}

// TestOverload guards against a large prompt that is never admitted while small
// ones keep coming.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newController()
		waiting := []Request{{ID: 1, PromptTokens: 3790, Priority: 1}}
		next := uint64(2)
		for range 100 {
			for len(waiting) < 6 {
				waiting = append(waiting, Request{ID: next, PromptTokens: 600})
				next++
			}
			controller.SetRequests("entry", threeTokens, waiting)
			granted, _ := controller.Grant()
			if slices.Contains(granted["entry"], 1) {
				return
			}
			waiting = slices.DeleteFunc(waiting, func(request Request) bool { return slices.Contains(granted["entry"], request.ID) })
			time.Sleep(20 * time.Millisecond)
		}
		t.Error(fmt.Sprint("the largest prompt was not admitted within 2 s; others: ", next))
	})
}

// TestFastEngine guards against a fast engine that is held to the default rate,
// as in scenario ctpl-front scale-1, where engines that prefill 38 prompt
// tokens per millisecond had twice the load that a default of 19 admits. Once
// streams have shown the speed, prompts must be admitted at that rate; a
// restarted engine gets the speed of the others until its own is measured.
func TestFastEngine(t *testing.T) {
	const (
		rate     = 38.0
		interval = 32 * time.Millisecond
	)
	engineConfig := EngineConfig{Slots: 32, EventTokens: 6, MaxEventGap: 250 * time.Millisecond}
	prefillable := (250 - 32) * rate / 250
	tests := []struct {
		name    string
		guards  string
		learn   bool
		typical Speed
		restart bool
		least   float64
		most    float64
	}{
		{name: "unknown", guards: "a slow engine overloaded before its speed is known", least: 9, most: DefaultPrefillRate},
		{name: "learned", guards: "an engine that is left idle", learn: true, least: 0.85 * prefillable, most: prefillable},
		{
			name: "typical speed", guards: "a new engine that takes half its load",
			typical: Speed{PrefillRate: rate, EventInterval: interval}, least: 0.85 * prefillable, most: prefillable,
		},
		{name: "restarted", guards: "the speed of an engine that has ended", learn: true, restart: true, least: 9, most: DefaultPrefillRate},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				controller := newController()
				engineConfig.TypicalSpeed = test.typical
				controller.SetRequests("entry", engineConfig, nil)
				for number := uint64(1); test.learn && number <= 20; number++ {
					prompt := int64(400 + 70*number)
					controller.SetRequests("entry", engineConfig, []Request{{ID: number, PromptTokens: prompt}})
					controller.Grant()
					controller.SetRequests("entry", engineConfig, nil)
					first := time.Duration(float64(prompt)/rate*float64(time.Millisecond)) + 5*time.Millisecond
					controller.RecordMeasurements("entry", []Measurement{{RequestID: number, FirstEvent: first}, {EventInterval: interval}})
					time.Sleep(400 * time.Millisecond)
				}
				if test.restart {
					controller.ResetSpeed()
				}
				controller.mutex.Lock()
				admitted := float64(controller.tokenLimit()) / float64(engineConfig.MaxEventGap.Milliseconds())
				controller.mutex.Unlock()
				if admitted < test.least || admitted > test.most {
					t.Errorf("%s: %.1f prompt tokens per millisecond are admitted, want %.1f to %.1f", test.guards, admitted, test.least, test.most)
				}
				if rated := controller.AdmissionRate(); rated < admitted || rated > max(rate, test.most) {
					t.Errorf("%s: %.1f prompt tokens per millisecond are the admission rate, %.1f are admitted", test.guards, rated, admitted)
				}
			})
		})
	}
}

// TestMeasurementBehindOthers guards against a speed measured from requests
// that waited behind others.
func TestMeasurementBehindOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newController()
		var waiting []Request
		for number := uint64(1); number <= 40; number++ {
			waiting = append(waiting, Request{ID: number, PromptTokens: int64(100 * number)})
		}
		controller.SetRequests("entry", twoTokens, waiting)
		controller.Grant()
		for _, request := range waiting {
			controller.RecordMeasurements("entry", []Measurement{{RequestID: request.ID, FirstEvent: time.Duration(request.PromptTokens) * time.Millisecond}})
		}
		if diff := cmp.Diff(Speed{}, controller.Speed()); diff != "" {
			t.Errorf("speed (-want +got):\n%s", diff)
		}
	})
}

// backlog returns the prompt tokens ahead of a request on time.
func backlog(controller *Controller) int64 {
	onTime, _ := controller.Backlog()
	return onTime
}

// grantOrder returns the order in which the waiting requests are admitted when
// one fits at a time and the others are named again.
func grantOrder(controller *Controller, engineConfig EngineConfig, waiting []Request) []uint64 {
	var order []uint64
	for range 100 * len(waiting) {
		controller.SetRequests("entry", engineConfig, waiting)
		granted, _ := controller.Grant()
		for _, id := range granted["entry"] {
			order = append(order, id)
			waiting = slices.DeleteFunc(waiting, func(request Request) bool { return request.ID == id })
		}
		time.Sleep(10 * time.Millisecond)
	}
	return order
}

// TestRestartOfAllEngines guards against late requests that delay those that
// can still meet their response-time goal, as after a restart of all engines in
// scenario ctpl-front, and against late requests that are served only after
// their callers have given up.
func TestRestartOfAllEngines(t *testing.T) {
	tests := []struct {
		name     string
		requests []Request
		want     []uint64
	}{
		{
			name:     "one on time is admitted before late ones that came first",
			requests: []Request{{ID: 1, PromptTokens: 3000, Late: true, Waited: 800 * time.Millisecond}, {ID: 2, PromptTokens: 3000}},
			want:     []uint64{2, 1},
		},
		{
			name:     "a late one does not wait for ever",
			requests: []Request{{ID: 1, PromptTokens: 3000}, {ID: 2, PromptTokens: 3000, Late: true, Waited: 2 * time.Second}},
			want:     []uint64{2, 1},
		},
		{
			name:     "one that waited elsewhere keeps its place",
			requests: []Request{{ID: 1, PromptTokens: 3000}, {ID: 2, PromptTokens: 3000, Waited: 300 * time.Millisecond}},
			want:     []uint64{2, 1},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if diff := cmp.Diff(test.want, grantOrder(newController(), threeTokens, test.requests)); diff != "" {
					t.Errorf("order (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestMissingAdapter guards against an engine that seems busy because requests
// wait there for adapters that are not loaded yet.
func TestMissingAdapter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, away := lora.Adapter{Name: "here"}, lora.Adapter{Name: "away"}
		controller := New(Config{})
		controller.Observe(EngineState{TotalTokens: 122_000, HasAdapter: func(adapter lora.Adapter) bool { return adapter == here }})
		controller.SetRequests("entry", threeTokens, []Request{
			{ID: 1, Adapter: away, PromptTokens: 5000}, {ID: 2, Adapter: here, PromptTokens: 1000}, {ID: 3, Adapter: here, PromptTokens: 200, Late: true},
		})
		onTime, late := controller.Backlog()
		if diff := cmp.Diff([]int64{1000, 200}, []int64{onTime, late}); diff != "" {
			t.Errorf("prompt tokens on time and late (-want +got):\n%s", diff)
		}
	})
}
