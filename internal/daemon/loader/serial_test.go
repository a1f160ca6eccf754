package loader

import (
	"testing"
	"testing/synctest"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// TestSerialAfterStepBack guards against entry instances that go by the last report of a
// loader for 1.5 s after it has started again, because the time of day has stepped back and
// the serials of the new process are lower.
func TestSerialAfterStepBack(t *testing.T) {
	tests := []struct {
		name string
		// ahead is by how much the time of day is ahead at the start of the earlier process.
		ahead time.Duration
		// states is the number of states that it sends.
		states int
	}{
		{"time of day goes on", 0, 3},
		{"time of day steps back", 2400 * time.Millisecond, 3},
		{"time of day steps back, many states", 2400 * time.Millisecond, 300},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var told *wirepb.EngineState
			synctest.Test(t, func(t *testing.T) {
				time.Sleep(test.ahead)
				loader := newLoader(&engine{report: healthyReport()})
				loader.fetchReport(t.Context())
				told = loader.newState(true, nil)
				for range test.states {
					told = loader.newState(false, nil)
				}
			})
			synctest.Test(t, func(t *testing.T) {
				entry := picker.New(picker.Config{})
				entry.SetUpstreams([]fleet.Upstream{{ID: "i-1", Service: "s", StartedAt: 1000}})
				record := func(state *wirepb.EngineState, running int) {
					entry.RecordReport("i-1", picker.Report{StartedAt: 1000, Serial: state.GetSerial(), FullSerial: state.GetFullSerial(), Running: running})
				}
				record(told, 1)
				time.Sleep(300 * time.Millisecond)
				loader := newLoader(&engine{report: healthyReport()})
				loader.fetchReport(t.Context())
				loader.handleDemand(&wirepb.Demand{Entry: "10.0.0.2:7600", Start: 1, Upstream: "i-1", Born: 1000, FullSerial: entry.FullSerial("i-1")})
				state := loader.newState(true, nil)
				record(state, 2)
				if entry.FullSerial("i-1") != state.GetFullSerial() {
					t.Errorf("the state with serial %d is ignored after %d of the earlier process", state.GetSerial(), told.GetSerial())
				}
			})
		})
	}
}

// TestLoaderIdentity guards against a loader that entry instances take for the process before
// it, so that they do not tell it again which streams it held: the time of day had gone back
// to what it was at the start of that process.
func TestLoaderIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newLoader(&engine{}), newLoader(&engine{})
		if first.identity == second.identity || first.identity <= 0 {
			t.Errorf("identities %d and %d of two processes", first.identity, second.identity)
		}
	})
}
