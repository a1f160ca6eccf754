package loader

import (
	"context"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/link/dgram"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// TestReachableAgain guards against an engine that entry instances pass over for up to half a
// second after it has answered again: they refused requests as "no upstream is ready"
// (TestCutHeads beside load).
func TestReachableAgain(t *testing.T) {
	engine := &engine{report: healthyReport()}
	datagrams, err := dgram.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	loader := New(Config{Engine: engine, Datagrams: datagrams, Logger: zap.NewNop()})
	states := make(chan *wirepb.EngineState, 10)
	entry, err := dgram.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = entry.Serve(t.Context(), func(_ string, datagram *wirepb.Datagram) { states <- datagram.GetEngineState() })
	}()
	loader.handleDatagram("", &wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{
		Entry: entry.Address(), Start: 1, Model: "m", Upstream: "i-1", Born: 1000,
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
