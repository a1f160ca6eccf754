package admit

import (
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/speed"
)

// fourTokens is an engine with four tokens in an event, beside engines of the usual speed.
var fourTokens = EngineConfig{
	Slots: 64, EventTokens: 4, MaxEventGap: 300 * time.Millisecond,
	TypicalSpeed: Speed{PrefillRate: 25.8, EventInterval: 33 * time.Millisecond},
}

// newStating returns the Controller of an engine that runs ten streams and has stated its
// lasting work factor for a second, and then another one.
func newStating(lasting, present float64) *Controller {
	controller := New(Config{})
	controller.Observe(EngineState{Running: 10, TotalTokens: 122_000, HasAdapter: holdsAll})
	state := func(factor float64) {
		controller.RecordMeasurements("entry", []Measurement{{Stated: speed.Statement{Factor: factor, At: time.Now()}}})
	}
	for range 10 {
		state(lasting)
		time.Sleep(100 * time.Millisecond)
	}
	state(present)
	return controller
}

// granted returns how many of a number of prompts of 1,460 tokens are admitted at once.
func granted(controller *Controller, count int) int {
	controller.SetRequests("entry", fourTokens, requests(slices.Repeat([]int64{1460}, count)...))
	granted, _ := controller.Grant()
	return len(granted["entry"])
}

// TestPauseBound guards against more prompts than an engine prefills within MaxEventGap at
// its present speed, whether or not its lasting speed is measured. The load is twelve prompts
// of 1,460 tokens at once.
func TestPauseBound(t *testing.T) {
	tests := []struct {
		name             string
		lasting, present float64
		want             int
	}{
		{"fast", 0.6, 0.6, 12},
		{"fast, slow moment", 0.6, 1.5, 2},
		{"usual", 1, 1, 4},
		{"usual, slow moment", 1, 2.5, 1},
		{"slow", 1.6, 1.6, 2},
		{"slow, slow moment", 1.6, 4, 0},
		{"events alone almost exceed the goal", 1, 9.08, 0},
		{"events alone exceed the goal", 1, 10, 0},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			for _, samples := range []int64{0, 40} {
				controller := newStating(test.lasting, test.present)
				for number := range samples {
					controller.estimator.RecordFirstEvent(100*number, scale(time.Millisecond, 100*float64(number)/25.8*test.lasting))
					controller.estimator.RecordInterval(scale(33*time.Millisecond, test.lasting))
				}
				if got := granted(controller, 12); got != test.want {
					t.Errorf("%s, %d samples: %d prompts are admitted, want %d", test.name, samples, got, test.want)
				}
			}
		})
	}
}

// TestPendingAtOnset guards against a further prompt while those of before a slow moment
// are not prefilled at its speed.
func TestPendingAtOnset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newStating(1, 1)
		if got := granted(controller, 5); got != 4 {
			t.Fatalf("%d prompts are admitted, want 4", got)
		}
		for range 6 {
			controller.RecordMeasurements("entry", []Measurement{{Stated: speed.Statement{Factor: 2.5, At: time.Now()}}})
			time.Sleep(55 * time.Millisecond)
			controller.Observe(EngineState{Running: 14, Queued: 2, TotalTokens: 122_000, HasAdapter: holdsAll})
		}
		if got := granted(controller, 5); got != 4 {
			t.Errorf("%d prompts are admitted, the fifth one behind tokens that take 250 ms", got)
		}
	})
}

// TestPendingBeforeOnset guards against a queue of prompts at a fast engine that lasts for
// more than MaxEventGap once a slow moment begins. Without slow moments it takes the queue.
func TestPendingBeforeOnset(t *testing.T) {
	for slow, want := range map[float64]int{0.6: 12, 1.5: 2} {
		synctest.Test(t, func(t *testing.T) {
			controller := newStating(0.6, 0.6)
			for number := range 40 {
				time.Sleep(100 * time.Millisecond)
				factor := 0.6
				if number%8 == 0 {
					factor = slow
				}
				controller.RecordMeasurements("entry", []Measurement{{Stated: speed.Statement{Factor: factor, At: time.Now()}}})
			}
			if got := granted(controller, 12); got != want {
				t.Errorf("slow moments of %v: %d prompts are admitted, want %d", slow, got, want)
			}
		})
	}
}

// TestSlowMomentEnds guards against a request that starves at an engine which stays slow:
// each of eight prompts that alone exceed the bound must be admitted, and at once if no
// stream runs.
func TestSlowMomentEnds(t *testing.T) {
	for running, within := range map[int]time.Duration{0: 20 * time.Millisecond, 10: 320 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			controller, waiting := newStating(1.6, 4), requests(slices.Repeat([]int64{1460}, 8)...)
			controller.Observe(EngineState{Running: running, TotalTokens: 122_000, HasAdapter: holdsAll})
			began, first := time.Now(), time.Hour
			for len(waiting) > 0 && time.Since(began) < 6*time.Second {
				controller.RecordMeasurements("entry", []Measurement{{Stated: speed.Statement{Factor: 4, At: time.Now()}}})
				controller.SetRequests("entry", fourTokens, waiting)
				granted, _ := controller.Grant()
				waiting = slices.DeleteFunc(waiting, func(request Request) bool { return slices.Contains(granted["entry"], request.ID) })
				if len(waiting) < 8 {
					first = min(first, time.Since(began))
				}
				time.Sleep(controller.NextGrant() + time.Millisecond)
			}
			if len(waiting) > 0 || first > within {
				t.Errorf("%d requests were not admitted, the first after %v, want %v", len(waiting), first, within)
			}
		})
	}
}

// TestPauseRisk guards against a risk where no upstream states a work factor, and against
// one that takes no account of slow moments, which are 15% of the time here, or of pauses.
func TestPauseRisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, test := range []struct{ factor, want float64 }{{0, 0}, {0.6, 0}, {1, 0}, {1.6, 0.15}} {
			controller := newStating(test.factor, test.factor)
			for number := range 120 {
				time.Sleep(200 * time.Millisecond)
				stated := speed.Statement{Factor: test.factor, At: time.Now()}
				if number%20 < 3 {
					stated.Factor *= 2.5
				}
				controller.RecordMeasurements("entry", []Measurement{{Stated: stated}})
			}
			granted(controller, 1)
			controller.RecordPauses(speed.StreamCounts{Streams: 64, Paused: 32})
			observed, lasting := controller.PauseRisk()
			controller.RecordPauses(speed.StreamCounts{Streams: 400})
			if later, _ := controller.PauseRisk(); math.Abs(lasting-test.want) > 0.03 || (observed > 0.3) != (test.factor > 0) || later > 0.02 {
				t.Errorf("factor %v: risk %v, %v after half of the streams paused, %v after none did; want %v", test.factor, lasting, observed, later, test.want)
			}
		}
	})
}
