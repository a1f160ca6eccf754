package loader

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// TestTokenAfterStepBack guards against orders with a lower fencing token than before, by a
// loader that started while the time of day was ahead, was killed, and started again after it
// had stepped back (review/10). No entry instance knows the first process.
func TestTokenAfterStepBack(t *testing.T) {
	const ahead = 2400 * time.Millisecond
	engine := &engine{report: healthyReport()}
	order := func(t *testing.T) {
		loader := newLoader(engine)
		loader.fetchReport(t.Context())
		loader.sendOrder(t.Context())
		engine.report.Sequence++
	}
	synctest.Test(t, func(t *testing.T) {
		engine.report.StartedAt = time.Now().UnixMilli()
		time.Sleep(ahead)
		order(t)
	})
	// Each bubble of synctest begins at the same time of day, but the uptime goes on.
	time.Sleep(2 * time.Millisecond)
	synctest.Test(t, order)
	if len(engine.fences) != 2 || engine.fences[1] <= engine.fences[0] {
		t.Errorf("fencing tokens %v, want a higher one the second time", engine.fences)
	}
}

// TestTokenOfEntries guards against a loader that orders with a lower fencing token than an
// earlier one, of this version or of the one before, although a demand tells of that.
func TestTokenOfEntries(t *testing.T) {
	const (
		startedAt = 1_800_000_000_000
		uptime    = time.Hour
		// beforeStep is the token of the earlier loader.
		beforeStep = startedAt + 5000
	)
	tests := []struct {
		name   string
		demand *wirepb.Demand
		want   int64
	}{
		{"offset", &wirepb.Demand{FencingOffset: proto.Int64(beforeStep - startedAt - uptime.Milliseconds() + 1)}, beforeStep + 1},
		{"serial of the version before", &wirepb.Demand{FullSerial: beforeStep*1000 + 70}, beforeStep + 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := &engine{report: healthyReport()}
				engine.report.StartedAt, engine.report.Sequence = startedAt, 7
				loader := newLoader(engine)
				loader.config.Uptime = func() time.Duration { return uptime }
				// Of two demands that came at the same moment either one may count.
				test.demand.Entry, test.demand.Model, test.demand.AdapterSlots = "10.0.0.2:7600", "m", 4
				test.demand.Upstream, test.demand.Born = "i-1", startedAt
				loader.handleDemand(test.demand)
				loader.fetchReport(t.Context())
				loader.sendOrder(t.Context())
				if len(engine.fences) != 1 || engine.fences[0] != test.want {
					t.Errorf("fencing tokens %d, want %d", engine.fences, test.want)
				}
			})
		})
	}
}

// TestOffsetTold guards against entry instances that do not know the offset of a loader's
// tokens soon after its first order, so that the next one cannot inherit it.
func TestOffsetTold(t *testing.T) {
	engine := &engine{report: healthyReport()}
	loader, entry, states := newListening(t, engine)
	loader.handleDemand(&wirepb.Demand{
		Entry: entry, Start: 1, Model: "m", AdapterSlots: 4, Upstream: "i-1", Born: 1000, Uses: []*wirepb.AdapterUse{{Adapter: "a1", Waiting: 1}},
	})
	loader.fetchReport(t.Context())
	loader.sendOrder(t.Context())
	loader.sendChanges()
	select {
	case state := <-states:
		if state.FencingOffset == nil {
			t.Error("the state after the first order names no offset")
		}
	case <-time.After(idlePeriod / 2):
		t.Error("received nothing")
	}
}
