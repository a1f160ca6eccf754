package loader

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/stock"
	"jacinthfront.dev/jacinthfront/internal/link/gossip"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// engine is an engine in memory.
type engine struct {
	mutex  sync.Mutex
	report Report
	err    error
	orders []stock.Order
	fences []int64
	answer error
}

func (engine *engine) Report(context.Context) (Report, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.report, engine.err
}

func (engine *engine) Order(_ context.Context, _ string, order stock.Order, fence int64) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.orders, engine.fences = append(engine.orders, order), append(engine.fences, fence)
	return engine.answer
}

func newLoader(engine *engine) *Loader {
	loader := New(Config{Engine: engine, Logger: zap.NewNop()})
	loader.heard("", &wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{
		Entry: "10.0.0.1:7600", Model: "m", AdapterSlots: 4, Upstream: "i-1", Born: 1000,
		Uses: []*wirepb.AdapterUse{{Adapter: "a1", Waiting: 1}},
	}}})
	return loader
}

func sound() Report { return Report{Engine: stock.Engine{Born: 1000, Models: []string{"m"}}} }

// TestSilent guards against streams that are moved away from an engine that is
// leaving, and against ones that stay at an engine that went dark.
func TestSilent(t *testing.T) {
	refused := fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	leaving := sound()
	leaving.Draining = true
	tests := []struct {
		name        string
		report      Report
		err         error
		unreachable bool
		silent      bool
	}{
		{name: "sound", report: sound()},
		{name: "refuses connections", report: sound(), err: refused, unreachable: true},
		{name: "dark", report: sound(), err: context.DeadlineExceeded, unreachable: true, silent: true},
		{name: "silent while leaving", report: leaving, err: context.DeadlineExceeded, unreachable: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engine := &engine{report: test.report}
			loader := newLoader(engine)
			loader.refresh(t.Context())
			engine.err = test.err
			for range lostReports {
				loader.refresh(t.Context())
			}
			state := loader.state(true, nil)
			if state.GetUnreachable() != test.unreachable || state.GetSilent() != test.silent {
				t.Errorf("unreachable %v, silent %v; want %v, %v", state.GetUnreachable(), state.GetSilent(), test.unreachable, test.silent)
			}
		})
	}
}

// TestMeet guards against an entry instance that has started anew at the same
// address waiting for the next regular report, and against the others learning
// of it late.
func TestMeet(t *testing.T) {
	engine := &engine{report: sound()}
	datagrams, err := gossip.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	loader := New(Config{Engine: engine, Datagrams: datagrams, Logger: zap.NewNop()})
	heard := make(chan *wirepb.EngineState, 10)
	entry, err := gossip.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = entry.Serve(t.Context(), func(_ string, datagram *wirepb.Datagram) { heard <- datagram.GetEngineState() })
	}()
	for start := range int64(2) {
		loader.heard("", &wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{
			Entry: entry.Address(), Start: 1 + start, Model: "m", Upstream: "i-1", Born: 1000,
		}}})
		loader.refresh(t.Context())
		loader.tellChanges()
		select {
		case state := <-heard:
			if state.GetBrief() || !slices.Equal(state.GetEntries(), []string{entry.Address()}) {
				t.Errorf("start %d: told brief %v, entries %v", start, state.GetBrief(), state.GetEntries())
			}
		case <-time.After(idlePeriod / 2):
			t.Errorf("start %d: told nothing", start)
		}
	}
}

// TestFence guards against a loader that gives the same fencing token again
// after the engine refused it, as when the clock stepped back before a restart.
func TestFence(t *testing.T) {
	engine := &engine{report: sound(), answer: ErrFenced}
	loader := newLoader(engine)
	for range 2 {
		loader.refresh(t.Context())
		loader.order(t.Context())
	}
	if len(engine.fences) != 2 || engine.fences[1] <= engine.fences[0] {
		t.Errorf("fencing tokens are %v, want a higher one the second time", engine.fences)
	}
}

// TestStaleDemand guards against the demands for an ended start, still listed
// at the engine's address, replacing those for the present one.
func TestStaleDemand(t *testing.T) {
	engine := &engine{report: sound()}
	engine.report.Born = 2000
	loader := newLoader(engine)
	loader.refresh(t.Context())
	loader.heard("", &wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{Entry: "10.0.0.1:7600", Upstream: "i-2", Born: 2000}}})
	loader.heard("", &wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{Entry: "10.0.0.1:7600", Upstream: "i-1", Born: 1000}}})
	if got := loader.state(true, nil).GetUpstream(); got != "i-2" {
		t.Errorf("the loader speaks for %s, want i-2", got)
	}
}

// TestUnknownOrder guards against an order whose outcome is unknown counting
// as carried out.
func TestUnknownOrder(t *testing.T) {
	engine := &engine{report: sound(), answer: errors.New("no answer")}
	loader := newLoader(engine)
	for range 3 {
		loader.refresh(t.Context())
		if loader.order(t.Context()) {
			t.Error("an order without an answer counts as taken")
		}
	}
	if len(engine.orders) != 3 || engine.orders[2] != engine.orders[0] {
		t.Errorf("orders are %v, want the same one three times", engine.orders)
	}
}
