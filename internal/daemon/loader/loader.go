// Package loader is the process beside an engine that brings it the adapters
// which the entry instances need. It is the only one that gives orders to its
// engine, and it tells the entry instances how the engine fares.
package loader

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"jacinthfront.dev/jacinthfront/internal/flow/stock"
	"jacinthfront.dev/jacinthfront/internal/link/gossip"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// reportPeriod is how often the engine is asked for its report.
	reportPeriod = 50 * time.Millisecond
	// tellPeriod is how often the entry instances are told of a changed load.
	tellPeriod = 100 * time.Millisecond
	// idlePeriod is how often they are told although nothing changed.
	idlePeriod = 500 * time.Millisecond
	// fenceStep raises the fencing token above one that the engine has seen.
	fenceStep = 10_000
)

// Report is what the engine says of itself.
type Report struct {
	stock.Engine
	// Upstream is the engine's id, or empty if it does not say.
	Upstream    string
	Running     int
	Queued      int
	UsedTokens  int64
	TotalTokens int64
	Draining    bool
}

// Errors of Engine.Order.
var (
	// ErrConflict means that the engine is busy, or took an order that this
	// process does not know of.
	ErrConflict = errors.New("the engine's orders have changed")
	// ErrFenced means that the engine has seen a higher fencing token.
	ErrFenced = errors.New("the engine has seen a higher fencing token")
)

// Engine is the engine beside this process.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Order gives an order to the engine with the given id. Errors other than
	// ErrConflict and ErrFenced leave open whether it is carried out.
	Order(ctx context.Context, upstream string, order stock.Order, fence int64) error
}

// Config configures a Loader.
type Config struct {
	Instance  string
	Engine    Engine
	Datagrams *gossip.Conn
	Logger    *zap.Logger
}

// Loader keeps one engine's adapters.
type Loader struct {
	config  Config
	planner *stock.Planner
	wake    chan struct{}

	mutex    sync.Mutex
	report   Report
	reported bool
	// listed is the engine's id as the entry instances know it.
	listed string
	fence  int64
	serial uint64
	told   time.Time
}

// New returns a Loader that does not run yet.
func New(config Config) *Loader {
	now := time.Now()
	return &Loader{
		config:  config,
		planner: stock.New(stock.Config{}),
		wake:    make(chan struct{}, 1),
		fence:   now.UnixMilli(),
		serial:  uint64(now.UnixMicro()),
	}
}

// Run works until ctx ends.
func (loader *Loader) Run(ctx context.Context) error {
	loader.config.Logger.Info("loader: started")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return loader.config.Datagrams.Serve(ctx, loader.heard) })
	group.Go(func() error { loader.work(ctx); return nil })
	err := group.Wait()
	loader.config.Logger.Info("loader: stopped", zap.Error(err))
	return err
}

func (loader *Loader) heard(_ string, datagram *wirepb.Datagram) {
	demand := datagram.GetDemand()
	if demand == nil {
		return
	}
	uses := make([]stock.Use, 0, len(demand.GetUses()))
	waiting := false
	for _, use := range demand.GetUses() {
		uses = append(uses, stock.Use{
			Adapter: stock.Adapter{Name: use.GetAdapter(), Version: use.GetVersion()},
			Running: int(use.GetRunning()), Waiting: int(use.GetWaiting()),
		})
		waiting = waiting || use.GetWaiting() > 0
	}
	loader.planner.Demand(stock.Demand{Entry: demand.GetEntry(), Model: demand.GetModel(), Slots: int(demand.GetAdapterSlots()), Uses: uses})
	loader.mutex.Lock()
	loader.listed = demand.GetUpstream()
	loader.mutex.Unlock()
	if waiting {
		select {
		case loader.wake <- struct{}{}:
		default:
		}
	}
}

// work asks for reports, gives orders and tells the entry instances.
func (loader *Loader) work(ctx context.Context) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-loader.wake:
		}
		for loader.refresh(ctx) && loader.order(ctx) {
		}
	}
}

// refresh takes over the engine's report and passes on what changed.
func (loader *Loader) refresh(ctx context.Context) bool {
	report, err := loader.config.Engine.Report(ctx)
	if err != nil {
		if loader.reported {
			loader.config.Logger.Warn("loader: engine does not report", zap.Error(err))
		}
		loader.reported = false
		return false
	}
	if !loader.reported || report.Born != loader.report.Born {
		loader.config.Logger.Info("loader: engine reports", zap.Int64("born", report.Born), zap.String("upstream", report.Upstream),
			zap.Strings("models", report.Models), zap.Int("adapters", len(report.Resident)))
	}
	loader.reported = true
	loader.planner.Observe(report.Engine)
	since := time.Since(loader.told)
	held := !sameHeld(loader.report, report)
	loaded := report.Running != loader.report.Running || report.Queued != loader.report.Queued
	if held || loaded && since >= tellPeriod || since >= idlePeriod {
		loader.tell(report)
		loader.report = report
	}
	return true
}

// sameHeld reports whether two reports name the same adapters and state.
func sameHeld(a, b Report) bool {
	return a.Born == b.Born && a.Draining == b.Draining && slices.Equal(a.Models, b.Models) &&
		slices.Equal(a.Resident, b.Resident) && slices.Equal(a.Pending, b.Pending)
}

// order gives the next order and reports whether there was one that the engine
// took.
func (loader *Loader) order(ctx context.Context) bool {
	order, ok := loader.planner.Next()
	if !ok {
		return false
	}
	loader.mutex.Lock()
	upstream, fence := loader.listed, loader.fence
	loader.mutex.Unlock()
	began := time.Now()
	err := loader.config.Engine.Order(ctx, upstream, order, fence)
	if errors.Is(err, ErrFenced) {
		loader.fence = max(fence, time.Now().UnixMilli()) + fenceStep
	}
	loader.config.Logger.Info("loader: order given",
		zap.String("operation", order.Operation.String()), zap.String("model", order.Model),
		zap.String("adapter", order.Adapter.Name), zap.Uint32("version", order.Adapter.Version),
		zap.Int64("sequence", order.Sequence), zap.Duration("took", time.Since(began)), zap.Error(err))
	return err == nil
}

// tell sends the engine's state to the entry instances that were heard lately.
func (loader *Loader) tell(report Report) {
	entries := loader.planner.Entries()
	loader.mutex.Lock()
	upstream := loader.listed
	loader.mutex.Unlock()
	if upstream == "" || len(entries) == 0 {
		return
	}
	loader.serial++
	loader.told = time.Now()
	datagram := &wirepb.Datagram{Body: &wirepb.Datagram_EngineState{EngineState: &wirepb.EngineState{
		Upstream: upstream, Born: report.Born, Serial: loader.serial,
		Running: uint32(report.Running), Queued: uint32(report.Queued),
		UsedTokens: report.UsedTokens, TotalTokens: report.TotalTokens,
		ModelLoaded: len(report.Models) > 0, Draining: report.Draining,
		Resident: encodeAdapters(report.Resident), Pending: encodeAdapters(report.Pending),
		Entries: entries,
	}}}
	for _, address := range entries {
		if err := loader.config.Datagrams.Send(address, datagram); err != nil {
			loader.config.Logger.Debug("loader: datagram not sent", zap.String("address", address), zap.Error(err))
		}
	}
}

func encodeAdapters(adapters []stock.Adapter) []*wirepb.AdapterVersion {
	encoded := make([]*wirepb.AdapterVersion, 0, len(adapters))
	for _, adapter := range adapters {
		encoded = append(encoded, &wirepb.AdapterVersion{Adapter: adapter.Name, Version: adapter.Version})
	}
	return encoded
}
