package loader

import (
	"testing"

	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// TestWorkChanged guards against entry instances that learn of a slow moment after it has
// passed, and against a state to each of them for every response of the engine.
func TestWorkChanged(t *testing.T) {
	loader := newLoader(&engine{report: healthyReport()})
	loader.fetchReport(t.Context())
	for _, test := range []struct {
		permille uint32
		want     bool
	}{{1000, true}, {1100, false}, {2500, true}, {2400, false}, {1000, true}} {
		loader.handleDatagram("", &wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{
			Entry: "10.0.0.1:7600", Upstream: "i-1", Born: 1000, Readings: []*wirepb.Reading{{WorkPermille: test.permille}},
		}}})
		if _, due := loader.due("10.0.0.1:7600", 100, false, 1); due && !test.want {
			t.Errorf("a state is due before the interval ends, factor %d", test.permille)
		}
		loader.updateWork()
		if _, due := loader.due("10.0.0.1:7600", 100, false, 1); due != test.want {
			t.Errorf("factor %d: a state is due is %v, want %v", test.permille, due, test.want)
		}
	}
}
