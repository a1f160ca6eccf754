// Package loader is the process beside an engine that brings it the adapters
// which the entry instances need. It is the only one that gives orders to its
// engine, and it tells the entry instances how the engine fares.
package loader

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"jacinthfront.dev/jacinthfront/internal/base/telem"
	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/link/gossip"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

const (
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
)

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
	MessageOrder  = "loader: order given"
	MessageLoaded = "loader: adapter came"
)

var counters = telem.Map("loader")

// Loader keeps one engine's adapters.
type Loader struct {
	config  Config
	planner *lora.Planner
	gate    *admit.Controller
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

	// listedBorn is the latest start of the engine that the entry instances know.
	listedBorn int64
	// restUntil is until when the start restBorn of the engine wants no calls.
	restUntil time.Time
	restBorn  int64

	// fence is used by the loop that gives orders only.
	fence int64
}

// New returns a Loader that does not run yet.
func New(config Config) *Loader {
	now := time.Now()
	return &Loader{
		config:   config,
		planner:  lora.New(lora.Config{}),
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
	telem.Gauge("loader", "free-places", int64(loader.planner.FreeSlots()))
	telem.Gauge("loader", "reports-missed", int64(loader.misses))
	telem.Gauge("loader", "intake-tokens", int64(codec.EncodeRate(loader.gate.AdmissionRate())))
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
		timer.Reset(cmp.Or(loader.gate.NextTurn(), idlePeriod))
	}
}

func wake(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
