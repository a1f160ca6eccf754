// Package loader is the process beside an engine that brings it the adapters
// which the entry instances need. It is the only one that gives orders to its
// engine, and it tells the entry instances how the engine fares.
package loader

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"jacinthfront.dev/jacinthfront/internal/base/telem"
	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/avoid"
	"jacinthfront.dev/jacinthfront/internal/flow/stock"
	"jacinthfront.dev/jacinthfront/internal/link/gossip"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

const (
	// reportPeriod is how often the engine is asked for its report.
	reportPeriod = 40 * time.Millisecond
	// lostReports is the number of reports that fail in a row before the engine
	// counts as unreachable.
	lostReports = 3
	// tellPeriod is how often the entry instances are told of a changed load.
	tellPeriod = 100 * time.Millisecond
	// idlePeriod is how often they are told although nothing changed.
	idlePeriod = 500 * time.Millisecond
	// promptEntries is the number of entry instances up to which all are told
	// each change. For each one more, those that wait for nothing are told
	// pausePerEntry later, up to longestPause.
	promptEntries = 8
	pausePerEntry = 20 * time.Millisecond
	// fullPeriod is how often all is told although nothing changed.
	fullPeriod = 2 * time.Second
	// acknowledgeTime is how long after a full state an entry instance has said
	// that it has it.
	acknowledgeTime = 1200 * time.Millisecond
	// mostNamed is the number of entry instances that one state names.
	mostNamed = 16
	// longestPause and idlePeriod together are shorter than entry instances
	// believe a state.
	longestPause = 700 * time.Millisecond
	// fenceStep raises the fencing token above one that the engine has seen.
	fenceStep = 10_000
)

// Report is what the engine says of itself.
type Report struct {
	stock.Engine
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

// RestError means that the engine did nothing and wants no call for a time.
type RestError struct {
	Length time.Duration
}

// Error implements error.
func (err RestError) Error() string {
	return fmt.Sprintf("the engine wants no calls for %v", err.Length)
}

// Engine is the engine beside this process. Errors that are a RestError mean
// that nothing was done.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	// Order gives an order to the engine with the given id. Errors other than
	// ErrConflict, ErrFenced and a RestError leave open whether it is carried out.
	Order(ctx context.Context, upstream string, order stock.Order, fence int64) error
}

// Config configures a Loader.
type Config struct {
	Engine Engine
	// Address is the engine's, as IP:port.
	Address   string
	Datagrams *gossip.Conn
	// Metrics is where metrics are read.
	Metrics net.Listener
	Logger  *zap.Logger
}

// Messages of the lines for an order and for an adapter that has come.
const (
	LineOrder   = "loader: order given"
	LineArrival = "loader: adapter came"
)

var counters = telem.Map("loader")

// Loader keeps one engine's adapters.
type Loader struct {
	config  Config
	planner *stock.Planner
	gate    *admit.Gate
	// orders and turns wake the loops that give orders and grants.
	orders chan struct{}
	turns  chan struct{}

	mutex  sync.Mutex
	report Report
	// misses counts the reports that failed in a row.
	misses int
	// silent means that the last report failed without any answer, although the
	// engine was not leaving.
	silent bool
	// listed is the engine's id as the entry instances know it.
	listed string
	serial uint64
	// full is the serial of the last state that named the adapters.
	full uint64
	told time.Time
	// toldAny is when a state was made last, and name counts the entry instances
	// that were named.
	toldAny time.Time
	name    int
	// sent is the report that the entry instances were told last.
	sent Report
	// starts holds the entry instances' starts; greet means that a new one has
	// not been told anything yet.
	starts map[string]int64
	greet  bool
	// tellings holds what the entry instances were told last.
	tellings map[string]telling

	// fence and restUntil are used by the loop that gives orders only. Until
	// restUntil the engine wants no calls.
	fence     int64
	restUntil time.Time
}

// New returns a Loader that does not run yet.
func New(config Config) *Loader {
	now := time.Now()
	return &Loader{
		config:   config,
		planner:  stock.New(stock.Config{}),
		gate:     admit.New(admit.Config{}),
		orders:   make(chan struct{}, 1),
		turns:    make(chan struct{}, 1),
		misses:   lostReports,
		starts:   make(map[string]int64),
		tellings: make(map[string]telling),
		fence:    now.UnixMilli(),
		serial:   uint64(now.UnixMicro()),
	}
}

// Run works until ctx ends.
func (loader *Loader) Run(ctx context.Context) error {
	loader.config.Logger.Info("loader: started", zap.String("engine", loader.config.Address))
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return loader.config.Datagrams.Serve(ctx, loader.heard) })
	group.Go(func() error { loader.keep(ctx); return nil })
	group.Go(func() error { return loader.serveMetrics(ctx) })
	group.Go(func() error { loader.grant(ctx); return nil })
	err := group.Wait()
	loader.config.Logger.Info("loader: stopped", telem.Error(err))
	return err
}

// serveMetrics serves metrics until ctx ends.
func (loader *Loader) serveMetrics(ctx context.Context) error {
	server := telem.NewServer("loader", loader.setGauges)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(loader.config.Metrics); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// setGauges brings the values that change without an event to the present.
func (loader *Loader) setGauges() {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	telem.Gauge("loader", "running", int64(loader.report.Running))
	telem.Gauge("loader", "queued", int64(loader.report.Queued))
	telem.Gauge("loader", "adapters", int64(len(loader.report.Resident)))
	telem.Gauge("loader", "adapters-pending", int64(len(loader.report.Pending)))
	backlog, late := loader.gate.Backlog()
	telem.Gauge("loader", "backlog-tokens", backlog)
	telem.Gauge("loader", "late-tokens", late)
	telem.Gauge("loader", "free-places", int64(loader.planner.Free()))
	telem.Gauge("loader", "reports-missed", int64(loader.misses))
	telem.Gauge("loader", "intake-tokens", int64(codec.EncodeRate(loader.gate.Intake())))
}

// keep asks for reports and gives orders.
func (loader *Loader) keep(ctx context.Context) {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-loader.orders:
		}
		loader.attend(ctx)
		loader.tellChanges()
	}
}

// attend asks for a report and gives the orders that are due.
func (loader *Loader) attend(ctx context.Context) {
	for loader.rested() && loader.refresh(ctx) && loader.order(ctx) {
	}
}

// rested reports whether the engine may be called.
func (loader *Loader) rested() bool { return !time.Now().Before(loader.restUntil) }

// rests records that the engine wants no calls, if err says so.
func (loader *Loader) rests(err error) bool {
	var rest RestError
	if !errors.As(err, &rest) {
		return false
	}
	loader.restUntil = time.Now().Add(min(rest.Length, avoid.LongestRest))
	counters.Add("engine-rests", 1)
	loader.config.Logger.Warn("loader: engine wants no calls", zap.Duration("rest", rest.Length))
	return true
}

// refresh takes over the engine's report. While the engine wants no calls, its
// last report stands.
func (loader *Loader) refresh(ctx context.Context) bool {
	report, err := loader.config.Engine.Report(ctx)
	if ctx.Err() != nil || loader.rests(err) {
		return false
	}
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	if err != nil {
		loader.misses++
		loader.silent = !errors.Is(err, syscall.ECONNREFUSED) && !loader.report.Draining
		if loader.misses == lostReports {
			loader.config.Logger.Warn("loader: engine does not report", telem.Error(err))
			loader.gate.Observe(admit.State{})
		}
		return false
	}
	if loader.misses >= lostReports || report.Born != loader.report.Born {
		loader.config.Logger.Info("loader: engine reports", zap.Int64("born", report.Born),
			zap.Strings("models", report.Models), zap.Int("adapters", len(report.Resident)))
	}
	if report.Born != loader.report.Born {
		loader.gate.Restarted()
	}
	loader.misses = 0
	loader.report = report
	for _, arrival := range loader.planner.Observe(report.Engine) {
		loader.logArrival(arrival)
	}
	loader.gate.Observe(admit.State{
		Running: report.Running + report.Queued, Queued: report.Queued, UsedTokens: report.UsedTokens, TotalTokens: report.TotalTokens,
		Holds: report.holds,
	})
	wake(loader.turns)
	return true
}

// holds reports whether the adapter is loaded in the version or a newer one.
func (report Report) holds(wanted stock.Adapter) bool {
	if wanted.Name == "" {
		return len(report.Models) > 0
	}
	return stock.AnyServes(report.Resident, wanted)
}

// order gives the next order and reports whether there was one that the engine
// took.
func (loader *Loader) order(ctx context.Context) bool {
	order, ok := loader.planner.Next()
	if !ok {
		return false
	}
	loader.mutex.Lock()
	upstream := loader.listed
	loader.mutex.Unlock()
	began := time.Now()
	err := loader.config.Engine.Order(ctx, upstream, order, loader.fence)
	if errors.Is(err, ErrFenced) {
		loader.fence = max(loader.fence, time.Now().UnixMilli()) + fenceStep
	}
	counters.Add("orders-"+order.Operation.String(), 1)
	if err != nil {
		counters.Add("orders-failed", 1)
	}
	if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrFenced) && !loader.rests(err) {
		loader.planner.Ordered(order)
	}
	loader.config.Logger.Info(LineOrder,
		zap.String("operation", order.Operation.String()), zap.String("model", order.Model),
		zap.String("adapter", order.Adapter.Name), zap.Uint32("version", order.Adapter.Version),
		zap.Int64("sequence", order.Sequence), zap.Duration("took", time.Since(began)), telem.Error(err))
	return err == nil
}

// logArrival writes how an adapter came.
func (loader *Loader) logArrival(arrival stock.Arrival) {
	counters.Add("adapters-arrived", 1)
	if arrival.Quick {
		counters.Add("adapters-recalled", 1)
	}
	loader.config.Logger.Info(LineArrival, zap.String("adapter", arrival.Adapter.Name), zap.Uint32("version", arrival.Adapter.Version),
		zap.Duration("took", arrival.Took), zap.Int("depth", arrival.Depth), zap.Bool("quick", arrival.Quick))
}

// grant lets requests in when their turn comes.
func (loader *Loader) grant(ctx context.Context) {
	timer := time.NewTimer(idlePeriod)
	defer timer.Stop()
	var told int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-loader.turns:
		case <-timer.C:
		}
		granted, changed := loader.gate.Grant()
		if backlog, _ := loader.gate.Backlog(); len(changed) > 0 || backlog != told {
			told = backlog
			loader.tell(granted, false)
		}
		timer.Reset(cmp.Or(loader.gate.Next(), idlePeriod))
	}
}

func wake(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
