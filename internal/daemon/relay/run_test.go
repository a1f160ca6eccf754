package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/state/table"
)

// TestPatience plays a request that waits after all engines were lost: it must
// not be refused while its caller still waits and it can be answered, and must
// be before the caller leaves, so that it can come back.
func TestPatience(t *testing.T) {
	stream := table.Route{Name: "r", Stream: true, Target: 600 * time.Millisecond, Silence: 2400 * time.Millisecond}
	tests := []struct {
		name     string
		route    table.Route
		patience time.Duration
		want     time.Duration
	}{
		{name: "until its caller gives up the stream", route: stream, patience: 12 * time.Second, want: 2200 * time.Millisecond},
		{name: "until it could not end in time", route: stream, patience: 3500 * time.Millisecond, want: 2 * time.Second},
		{name: "half of a short time, if such requests took longer", route: stream, patience: 2 * time.Second, want: time.Second},
		{name: "no stream", route: table.Route{Name: "r"}, patience: 3 * time.Second, want: 1500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				relay := &Relay{spans: newSpans()}
				relay.spans.began("r", 100*time.Millisecond)
				relay.spans.ended("r", 1500*time.Millisecond)
				flight := &flight{
					relay: relay, route: &test.route, service: &table.Service{Engine: &table.Engine{}},
					started: time.Now(), until: time.Now().Add(test.patience),
				}
				flight.learn()
				began := time.Now()
				for flight.impatient(t.Context(), picker.Choice{Result: picker.AdapterMissing}, time.Since(began)) == nil {
					time.Sleep(10 * time.Millisecond)
				}
				if got := time.Since(began); got != test.want {
					t.Errorf("refused after %v, want %v", got, test.want)
				}
			})
		})
	}
}
