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

// threeTokens is the shape of an engine with three tokens in an event, whose
// streams miss a goal of 300 ms after three steps full of prompt tokens.
var threeTokens = EngineConfig{Slots: 64, EventTokens: 3, MaxEventGap: 300 * time.Millisecond}

func holdsAll(lora.Adapter) bool { return true }

// newGate returns a Gate of an idle engine that holds every adapter.
func newGate() *Controller {
	gate := New(Config{})
	gate.Observe(EngineState{TotalTokens: 122_000, Holds: holdsAll})
	return gate
}

func asks(prompts ...int64) []Request {
	list := make([]Request, 0, len(prompts))
	for i, prompt := range prompts {
		list = append(list, Request{ID: uint64(i + 1), PromptTokens: prompt, OutputTokens: 170, Priority: 1})
	}
	return list
}

// TestClump plays the load of bench-floor scale-1: prompts of 1,460 tokens come
// in clumps to one engine, which let its streams pause for 360 ms. Within the
// longest pause, no more may be let in than the engine reads beside an event.
func TestClump(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate()
		waiting := asks(slices.Repeat([]int64{1460}, 12)...)
		type let struct {
			at     time.Duration
			tokens int64
		}
		var history []let
		began := time.Now()
		for len(waiting) > 0 && time.Since(began) < 5*time.Second {
			gate.SetRequests("entry", threeTokens, waiting)
			granted, _ := gate.Grant()
			for _, id := range granted["entry"] {
				history = append(history, let{time.Since(began), 1460})
				waiting = slices.DeleteFunc(waiting, func(ask Request) bool { return ask.ID == id })
			}
			time.Sleep(10 * time.Millisecond)
		}
		if len(waiting) > 0 {
			t.Fatalf("%d requests were not let in within 5 s", len(waiting))
		}
		const readable = (300 - 3*14) * 19
		for i := range history {
			var sum int64
			for _, later := range history[i:] {
				if later.at-history[i].at < 300*time.Millisecond {
					sum += later.tokens
				}
			}
			if sum > readable {
				t.Errorf("%d prompt tokens within 300 ms from %v, at most %d can be read", sum, history[i].at, readable)
			}
		}
		if took := history[len(history)-1].at; took > 1200*time.Millisecond {
			t.Errorf("12 prompts took %v; three each 300 ms were possible", took)
		}
	})
}

// twoTokens is the shape of an engine with two tokens in an event, whose streams
// meet a goal of 300 ms however much it reads.
var twoTokens = EngineConfig{Slots: 64, EventTokens: 2, MaxEventGap: 300 * time.Millisecond}

// TestFlood plays the load of kalamaki-front scale-1: for two seconds an
// engine gets twice the prompts that it reads. Those that it cannot read soon
// wait at the gate, where more urgent ones pass them, and the backlog that is
// told counts what the engine has not read, so that others take the rest.
func TestFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			prompt = 1460
			rate   = 19.0
			period = 40 * time.Millisecond
			step   = 10 * time.Millisecond
		)
		gate := newGate()
		var waiting []Request
		unread, last := 0.0, time.Now()
		for at := time.Duration(0); at < 2*time.Second; at += step {
			if at%period == 0 {
				waiting = append(waiting, Request{ID: uint64(at/period) + 1, PromptTokens: prompt, OutputTokens: 170})
			}
			unread = max(unread-float64(time.Since(last).Milliseconds())*rate, 0)
			last = time.Now()
			gate.Observe(EngineState{Queued: int(unread) / prompt, TotalTokens: 122_000, Holds: holdsAll})
			gate.SetRequests("entry", twoTokens, waiting)
			granted, _ := gate.Grant()
			for _, id := range granted["entry"] {
				unread += prompt
				waiting = slices.DeleteFunc(waiting, func(ask Request) bool { return ask.ID == id })
			}
			if most := 2 * 300 * rate; unread > most {
				t.Fatalf("%v: the engine has %.0f tokens to read, at most %.0f are read within two pauses", at, unread, most)
			}
			if left, told := unread+float64(prompt*len(waiting)), backlog(gate); float64(told) < left*0.9 {
				t.Fatalf("%v: a backlog of %d is told, %.0f tokens are to be read", at, told, left)
			}
			time.Sleep(step)
		}
		if read := 2000*rate*0.8 - float64(prompt*(50-len(waiting))); read > 0 {
			t.Errorf("the engine was idle for %.0f tokens", read)
		}
	})
}

func TestGrant(t *testing.T) {
	tests := []struct {
		name   string
		guards string
		shape  EngineConfig
		state  EngineState
		asks   []Request
		want   []uint64
	}{
		{
			name: "urgent first", guards: "patient letters in front of short advice",
			shape: threeTokens, state: EngineState{TotalTokens: 122_000, Holds: holdsAll},
			asks: []Request{{ID: 1, PromptTokens: 4000, Priority: 1}, {ID: 2, PromptTokens: 4000, Priority: 0}},
			want: []uint64{2},
		},
		{
			name: "absent adapter passed over", guards: "a request whose adapter is loading holds up the others",
			shape: threeTokens,
			state: EngineState{TotalTokens: 122_000, Holds: func(adapter lora.Adapter) bool { return adapter.Name != "a1" }},
			asks:  []Request{{ID: 1, PromptTokens: 100, Adapter: lora.Adapter{Name: "a1"}}, {ID: 2, PromptTokens: 100, Adapter: lora.Adapter{Name: "a2"}}},
			want:  []uint64{2},
		},
		{
			name: "memory", guards: "an engine whose memory is full preempts streams",
			shape: threeTokens, state: EngineState{UsedTokens: 121_000, TotalTokens: 122_000, Holds: holdsAll},
			asks: asks(1460), want: nil,
		},
		{
			name: "slots", guards: "more requests than an engine runs at once",
			shape: threeTokens, state: EngineState{Running: 63, TotalTokens: 122_000, Holds: holdsAll},
			asks: asks(100, 100), want: []uint64{1},
		},
		{
			name: "larger than the span", guards: "the largest prompts never have their turn",
			shape: threeTokens, state: EngineState{TotalTokens: 122_000, Holds: holdsAll},
			asks: asks(20_000), want: []uint64{1},
		},
		{
			name: "no long steps", guards: "prompts are held back although streams of two tokens an event do not pause",
			shape: twoTokens, state: EngineState{TotalTokens: 122_000, Holds: holdsAll},
			asks: asks(1460, 1460, 1460, 1460, 1460, 1460), want: []uint64{1, 2, 3, 4, 5, 6},
		},
		{
			name: "no report", guards: "requests are sent to an engine that does not answer",
			shape: threeTokens, state: EngineState{}, asks: asks(100), want: nil,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gate := New(Config{})
				gate.Observe(test.state)
				gate.SetRequests("entry", test.shape, test.asks)
				granted, _ := gate.Grant()
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
		gate := newGate()
		for range 3 {
			gate.SetRequests("entry", threeTokens, asks(1460))
			granted, _ := gate.Grant()
			if diff := cmp.Diff([]uint64{1}, granted["entry"]); diff != "" {
				t.Fatalf("granted (-want +got):\n%s", diff)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if got := backlog(gate); got != 1460 {
			t.Errorf("backlog is %d, want 1460", got)
		}
	})
}

// TestSilentEntry guards against the asks of an entry instance that was killed
// holding up those of the others.
func TestSilentEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate()
		gate.SetRequests("dead", threeTokens, []Request{{ID: 1, PromptTokens: 4000}, {ID: 2, PromptTokens: 4000}})
		gate.Grant()
		time.Sleep(DefaultEntryTimeout + 100*time.Millisecond)
		gate.SetRequests("entry", threeTokens, asks(4000))
		granted, _ := gate.Grant()
		if diff := cmp.Diff(map[string][]uint64{"entry": {1}}, granted); diff != "" {
			t.Errorf("granted (-want +got):\n%s", diff)
		}
	})
}

// TestOverload guards against large prompts being left out while small ones
// keep coming.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate()
		waiting := []Request{{ID: 1, PromptTokens: 3790, Priority: 1}}
		next := uint64(2)
		for range 100 {
			for len(waiting) < 6 {
				waiting = append(waiting, Request{ID: next, PromptTokens: 600})
				next++
			}
			gate.SetRequests("entry", threeTokens, waiting)
			granted, _ := gate.Grant()
			if slices.Contains(granted["entry"], 1) {
				return
			}
			waiting = slices.DeleteFunc(waiting, func(ask Request) bool { return slices.Contains(granted["entry"], ask.ID) })
			time.Sleep(20 * time.Millisecond)
		}
		t.Error(fmt.Sprint("the largest prompt was not let in within 2 s; others: ", next))
	})
}

// TestFastEngine plays the load of ctpl-front scale-1: engines that read 38
// prompt tokens in a millisecond get twice what a gate of 19 lets in. Once their
// streams have shown the pace, prompts must come in as fast as they are read;
// an engine that starts anew has the pace of the others until its own is known.
func TestFastEngine(t *testing.T) {
	const (
		rate  = 38.0
		event = 32 * time.Millisecond
	)
	shape := EngineConfig{Slots: 32, EventTokens: 6, MaxEventGap: 250 * time.Millisecond}
	readable := (250 - 32) * rate / 250
	tests := []struct {
		name    string
		guards  string
		learn   bool
		typical Speed
		restart bool
		least   float64
		most    float64
	}{
		{name: "unknown", guards: "a slow engine swamped before its pace is known", least: 9, most: DefaultPrefillRate},
		{name: "learned", guards: "an engine that is left idle", learn: true, least: 0.85 * readable, most: readable},
		{
			name: "as the others", guards: "a new engine that takes half its load",
			typical: Speed{PrefillRate: rate, EventInterval: event}, least: 0.85 * readable, most: readable,
		},
		{name: "restarted", guards: "the pace of an engine that is gone", learn: true, restart: true, least: 9, most: DefaultPrefillRate},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gate := newGate()
				shape.TypicalSpeed = test.typical
				gate.SetRequests("entry", shape, nil)
				for number := uint64(1); test.learn && number <= 20; number++ {
					prompt := int64(400 + 70*number)
					gate.SetRequests("entry", shape, []Request{{ID: number, PromptTokens: prompt}})
					gate.Grant()
					gate.SetRequests("entry", shape, nil)
					first := time.Duration(float64(prompt)/rate*float64(time.Millisecond)) + 5*time.Millisecond
					gate.RecordMeasurements("entry", []Measurement{{RequestID: number, FirstEvent: first}, {EventInterval: event}})
					time.Sleep(400 * time.Millisecond)
				}
				if test.restart {
					gate.ResetSpeed()
				}
				gate.mutex.Lock()
				letIn := float64(gate.limit()) / float64(shape.MaxEventGap.Milliseconds())
				gate.mutex.Unlock()
				if letIn < test.least || letIn > test.most {
					t.Errorf("%s: %.1f prompt tokens a millisecond are let in, want %.1f to %.1f", test.guards, letIn, test.least, test.most)
				}
				if read := gate.AdmissionRate(); read < letIn || read > max(rate, test.most) {
					t.Errorf("%s: %.1f prompt tokens a millisecond count as read, %.1f are let in", test.guards, read, letIn)
				}
			})
		})
	}
}

// TestCrowded guards against a pace learned from requests that waited behind
// others.
func TestCrowded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate()
		var waiting []Request
		for number := uint64(1); number <= 40; number++ {
			waiting = append(waiting, Request{ID: number, PromptTokens: int64(100 * number)})
		}
		gate.SetRequests("entry", twoTokens, waiting)
		gate.Grant()
		for _, ask := range waiting {
			gate.RecordMeasurements("entry", []Measurement{{RequestID: ask.ID, FirstEvent: time.Duration(ask.PromptTokens) * time.Millisecond}})
		}
		if diff := cmp.Diff(Speed{}, gate.Speed()); diff != "" {
			t.Errorf("pace (-want +got):\n%s", diff)
		}
	})
}

// backlog returns the prompt tokens before a request on time.
func backlog(gate *Controller) int64 {
	onTime, _ := gate.Backlog()
	return onTime
}

// granted returns the order in which requests are let in when one fits at a
// time, and asks again what still waits.
func granted(gate *Controller, shape EngineConfig, waiting []Request) []uint64 {
	var order []uint64
	for range 100 * len(waiting) {
		gate.SetRequests("entry", shape, waiting)
		let, _ := gate.Grant()
		for _, id := range let["entry"] {
			order = append(order, id)
			waiting = slices.DeleteFunc(waiting, func(ask Request) bool { return ask.ID == id })
		}
		time.Sleep(10 * time.Millisecond)
	}
	return order
}

// TestAllLost plays the seconds after all engines have started anew on
// ctpl-front: requests that miss their goal anyway must not make those late that
// can meet it, and must be served before their callers leave.
func TestAllLost(t *testing.T) {
	tests := []struct {
		name string
		asks []Request
		want []uint64
	}{
		{
			name: "one on time goes before late ones that came first",
			asks: []Request{{ID: 1, PromptTokens: 3000, Late: true, Waited: 800 * time.Millisecond}, {ID: 2, PromptTokens: 3000}},
			want: []uint64{2, 1},
		},
		{
			name: "a late one does not wait for ever",
			asks: []Request{{ID: 1, PromptTokens: 3000}, {ID: 2, PromptTokens: 3000, Late: true, Waited: 2 * time.Second}},
			want: []uint64{2, 1},
		},
		{
			name: "one that looked elsewhere keeps its turn",
			asks: []Request{{ID: 1, PromptTokens: 3000}, {ID: 2, PromptTokens: 3000, Waited: 300 * time.Millisecond}},
			want: []uint64{2, 1},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if diff := cmp.Diff(test.want, granted(newGate(), threeTokens, test.asks)); diff != "" {
					t.Errorf("order (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestAbsent guards against an engine that seems busy because requests wait
// there for adapters that are still at the store.
func TestAbsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, away := lora.Adapter{Name: "here"}, lora.Adapter{Name: "away"}
		gate := New(Config{})
		gate.Observe(EngineState{TotalTokens: 122_000, Holds: func(adapter lora.Adapter) bool { return adapter == here }})
		gate.SetRequests("entry", threeTokens, []Request{
			{ID: 1, Adapter: away, PromptTokens: 5000}, {ID: 2, Adapter: here, PromptTokens: 1000}, {ID: 3, Adapter: here, PromptTokens: 200, Late: true},
		})
		onTime, late := gate.Backlog()
		if diff := cmp.Diff([]int64{1000, 200}, []int64{onTime, late}); diff != "" {
			t.Errorf("prompt tokens on time and late (-want +got):\n%s", diff)
		}
	})
}
