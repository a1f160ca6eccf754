package loader

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/link/dgram"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// newListening returns a loader of an engine, and the address of an entry instance with the
// states that it receives.
func newListening(t *testing.T, engine *engine) (loader *Loader, entry string, states chan *wirepb.EngineState) {
	t.Helper()
	datagrams, err := dgram.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	receiver, err := dgram.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	states = make(chan *wirepb.EngineState, 10)
	go func() {
		_ = receiver.Serve(t.Context(), func(_ string, datagram *wirepb.Datagram) { states <- datagram.GetEngineState() })
	}()
	return New(Config{Engine: engine, Datagrams: datagrams, Logger: zap.NewNop()}), receiver.Address(), states
}

// TestBoundWaiting guards against entry instances that send new streams to an engine at
// which bound requests wait for their adapter, because the loader does not say so until its
// next regular state.
func TestBoundWaiting(t *testing.T) {
	loader, entry, states := newListening(t, &engine{report: healthyReport()})
	loader.fetchReport(t.Context())
	go loader.runGrants(t.Context())
	for _, bound := range []uint32{1, 0} {
		demand := &wirepb.Demand{Entry: entry, Start: 1, Model: "m", Upstream: "i-1", Born: 1000}
		if bound > 0 {
			demand.Asks = []*wirepb.Ask{{Id: 1, Adapter: "a1", Bound: true}, {Id: 2, Adapter: "a1"}}
		}
		loader.handleDatagram("", &wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: demand}})
		select {
		case state := <-states:
			if state.GetBoundWaiting() != bound {
				t.Errorf("%d bound requests are reported, want %d", state.GetBoundWaiting(), bound)
			}
		case <-time.After(idlePeriod / 2):
			t.Errorf("%d bound requests: received nothing", bound)
		}
	}
}

// TestFirstState guards against a loader that has just started and says that its engine is
// unreachable before it has asked it. When all loaders had started at once, streams that
// waited to be taken up were refused for good, as no engine of their version seemed to serve.
func TestFirstState(t *testing.T) {
	tests := []struct {
		name string
		// failed is the number of reports that fail before the state is sent, and report
		// whether one succeeds after that.
		failed int
		report bool
		// sent means that a state is sent, and unreachable that it names the engine so.
		sent, unreachable bool
	}{
		{name: "engine not asked yet"},
		{name: "engine did not answer once", failed: 1},
		{name: "engine does not answer", failed: unreachableAfter, sent: true, unreachable: true},
		{name: "engine answers", report: true, sent: true},
		{name: "engine answers after a failure", failed: 1, report: true, sent: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engine := &engine{report: healthyReport(), err: context.DeadlineExceeded}
			loader := newLoader(engine)
			loader.handleDatagram("", &wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{
				Entry: "127.0.0.9:1", Start: 1, Model: "m", Upstream: "i-1", Born: 1000,
			}}})
			for range test.failed {
				loader.fetchReport(t.Context())
			}
			if engine.err = nil; test.report {
				loader.fetchReport(t.Context())
			}
			state := loader.newState(true, nil)
			if diff := cmp.Diff([]bool{test.sent, test.unreachable}, []bool{state != nil, state.GetUnreachable()}); diff != "" {
				t.Errorf("state sent, engine unreachable (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReachableAgain guards against an engine that entry instances pass over for up to half a
// second after it has answered again: they refused requests as "no upstream is ready"
// (TestCutHeads beside load).
func TestReachableAgain(t *testing.T) {
	engine := &engine{report: healthyReport()}
	loader, entry, states := newListening(t, engine)
	loader.handleDatagram("", &wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{
		Entry: entry, Start: 1, Model: "m", Upstream: "i-1", Born: 1000,
	}}})
	steps := []struct {
		name        string
		err         error
		reports     int
		unreachable bool
	}{
		{name: "answers", reports: 1},
		{name: "does not answer", err: context.DeadlineExceeded, reports: unreachableAfter, unreachable: true},
		{name: "answers again", reports: 1},
		{name: "refuses connections", err: syscall.ECONNREFUSED, reports: unreachableAfter, unreachable: true},
		{name: "accepts them again", reports: 1},
	}
	for _, step := range steps {
		engine.err = step.err
		for range step.reports {
			loader.fetchReport(t.Context())
			loader.sendChanges()
		}
		select {
		case state := <-states:
			if state.GetUnreachable() != step.unreachable {
				t.Errorf("%s: unreachable %v, want %v", step.name, state.GetUnreachable(), step.unreachable)
			}
		case <-time.After(idlePeriod / 2):
			t.Errorf("%s: received nothing", step.name)
		}
	}
}
