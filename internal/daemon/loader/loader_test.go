package loader

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/link/gossip"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// engine is an engine in memory.
type engine struct {
	mutex  sync.Mutex
	report Report
	err    error
	orders []lora.Order
	fences []int64
	answer error
	// calls counts all calls.
	calls atomic.Int64
}

func (engine *engine) Report(context.Context) (Report, error) {
	engine.calls.Add(1)
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.report, engine.err
}

func (engine *engine) Order(_ context.Context, _ string, order lora.Order, fence int64) error {
	engine.calls.Add(1)
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

func sound() Report {
	return Report{EngineState: lora.EngineState{StartedAt: 1000, Models: []string{"m"}}}
}

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

// TestManyEntries plays a deployment of 300 instances (sweep-300), where each
// engine's load changes 20 times a second: telling every entry instance of each
// change took most of the bytes between failure domains. The one that waits for
// its turn is told each; what the others are told must not be too old for them.
func TestManyEntries(t *testing.T) {
	const entries = 80
	engine := &engine{report: sound()}
	datagrams, err := gossip.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	loader := New(Config{Engine: engine, Datagrams: datagrams, Logger: zap.NewNop()})
	demand := func(entry string, asks ...*wirepb.Ask) {
		loader.heard("", &wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{
			Entry: entry, Start: 1, Model: "m", Upstream: "i-1", Born: 1000, Slots: 64, EventTokens: 3, GapMs: 300, Asks: asks,
		}}})
	}
	var addresses []string
	told := make([]atomic.Int64, entries)
	brief := make([]atomic.Int64, entries)
	for i := range entries {
		entry, err := gossip.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, entry.Address())
		go func() {
			_ = entry.Serve(t.Context(), func(_ string, datagram *wirepb.Datagram) {
				told[i].Add(1)
				if datagram.GetEngineState().GetBrief() {
					brief[i].Add(1)
				}
			})
		}()
		demand(addresses[i])
	}
	const changes, period = 40, 50 * time.Millisecond
	for change := range changes {
		engine.report.Running = change
		demand(addresses[0], &wirepb.Ask{Id: 1, Adapter: "absent", PromptTokens: 100})
		if change%8 == 0 {
			for _, address := range addresses[1:] {
				demand(address)
			}
		}
		loader.refresh(t.Context())
		loader.tell(nil, change%10 == 0)
		time.Sleep(period)
	}
	if got := told[0].Load(); got < changes*9/10 || brief[0].Load() < got/2 {
		t.Errorf("the entry instance that waits was told %d of %d changes, %d in brief", got, changes, brief[0].Load())
	}
	for i := 1; i < entries; i++ {
		// Two seconds, one state each 700 ms or little later.
		if got := told[i].Load(); got < 2 || got > 4 {
			t.Errorf("entry instance %d was told %d times within two seconds, want 2 to 4", i, got)
		}
		if brief[i].Load() > 0 && told[i].Load() == brief[i].Load() {
			t.Errorf("entry instance %d was never told which adapters there are", i)
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
	engine.report.StartedAt = 2000
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

// TestRestsAnew guards against an engine that gets no adapters after a new start,
// because an earlier start wanted no calls for long.
func TestRestsAnew(t *testing.T) {
	engine := &engine{report: sound()}
	loader := newLoader(engine)
	engine.err = BackoffError{Delay: time.Hour}
	loader.attend(t.Context())
	engine.err, engine.report.StartedAt = nil, 2000
	engine.calls.Store(0)
	loader.attend(t.Context())
	if engine.calls.Load() != 0 {
		t.Error("the engine was called although it wants no calls")
	}
	loader.heard("", &wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{Entry: "10.0.0.1:7600", Model: "m", Upstream: "i-1", Born: 2000}}})
	loader.attend(t.Context())
	if engine.calls.Load() == 0 {
		t.Error("the engine was not called after its new start")
	}
}

// TestRests guards against calls to an engine that wants none for a time, and
// against one that counts as dark meanwhile.
func TestRests(t *testing.T) {
	tests := []struct {
		name   string
		report error
		order  error
	}{
		{name: "report", report: BackoffError{Delay: 3 * time.Second}},
		{name: "order", order: BackoffError{Delay: 3 * time.Second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := &engine{report: sound()}
				loader := newLoader(engine)
				loader.refresh(t.Context())
				engine.err, engine.answer = test.report, test.order
				loader.attend(t.Context())
				engine.calls.Store(0)
				for range 10 {
					time.Sleep(290 * time.Millisecond)
					loader.attend(t.Context())
				}
				if calls := engine.calls.Load(); calls != 0 {
					t.Errorf("%d calls to an engine that wants none", calls)
				}
				if loader.state(true, nil).GetUnreachable() {
					t.Error("the engine counts as unreachable")
				}
				time.Sleep(100 * time.Millisecond)
				loader.attend(t.Context())
				if engine.calls.Load() == 0 {
					t.Error("no call after the time was over")
				}
			})
		})
	}
}
