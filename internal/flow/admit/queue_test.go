package admit

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/order"
)

// TestRestoredOrder guards against requests that lose their place because the loader
// has started again, and its first demand names a later request first.
func TestRestoredOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		waiting := []Request{{ID: 1, PromptTokens: 3000, Waited: 200 * time.Millisecond}, {ID: 2, PromptTokens: 3000, Waited: time.Second}}
		if diff := cmp.Diff([]uint64{2, 1}, grantOrder(newController(), threeTokens, waiting)); diff != "" {
			t.Errorf("order (-want +got):\n%s", diff)
		}
	})
}

// TestGoingOn guards against streams that go on, which were due at their arrival, among the
// late requests, since a demand names their start as a millisecond ahead.
func TestGoingOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newController()
		var waiting []Request
		for id := range uint64(4) {
			waiting = append(waiting, Request{ID: 1 + id, PromptTokens: 4000, Waited: time.Second, StartBy: time.Now().Add(time.Millisecond)})
		}
		waiting = append(waiting, Request{ID: 9, PromptTokens: 10, StartBy: time.Now().Add(time.Minute)})
		controller.SetRequests("entry", threeTokens, waiting)
		var classes []order.Class
		for _, waiter := range controller.queue() {
			classes = append(classes, waiter.class)
		}
		if diff := cmp.Diff(slices.Repeat([]order.Class{order.OnTime}, 5), classes); diff != "" {
			t.Errorf("classes (-want +got):\n%s", diff)
		}
	})
}

// TestExceedsMemory guards against a request that an engine can never hold, as it was sent
// there before the engine named its memory, and that holds up all behind it.
func TestExceedsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newController()
		controller.Observe(EngineState{TotalTokens: 5000, HasAdapter: holdsAll})
		controller.SetRequests("entry", threeTokens, []Request{{ID: 1, PromptTokens: 4000, OutputTokens: 1001, Waited: time.Second}, {ID: 2, PromptTokens: 100}})
		granted, _ := controller.Grant()
		if diff := cmp.Diff(map[string][]uint64{"entry": {2}}, granted); diff != "" {
			t.Errorf("grants (-want +got):\n%s", diff)
		}
	})
}

// TestWaiting guards against a report that hides what waits before a request of a
// priority, or counts what was admitted or cannot be yet, and against grants that are
// counted as of another kind.
func TestWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller := newController()
		controller.SetRequests("entry", threeTokens, []Request{
			{ID: 1, PromptTokens: 4000}, {ID: 2, PromptTokens: 3000, Priority: 1},
			{ID: 3, PromptTokens: 2000, Priority: 9, Late: true, Waited: 3 * time.Second},
		})
		controller.Grant()
		want := Waiting{OnTime: [4]int64{1: 3000}, Late: [4]int64{3: 2000}, Longest: 3 * time.Second}
		if diff := cmp.Diff(want, controller.Waiting()); diff != "" {
			t.Errorf("waiting (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(map[GrantKind]int64{{Class: order.OnTime}: 1}, controller.Grants()); diff != "" {
			t.Errorf("grants (-want +got):\n%s", diff)
		}
	})
}
