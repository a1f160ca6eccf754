// Package relay is an entry instance for upstreams that are reached directly:
// it takes callers' requests without looking into their bodies, chooses an
// upstream for each, and passes the answer on unchanged. Loaders beside the
// engines bring the adapters that it asks for.
package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/base/telem"
	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
	"jacinthfront.dev/jacinthfront/internal/flow/bucket"
	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/flow/health"
	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/link/gossip"
	"jacinthfront.dev/jacinthfront/internal/link/hop"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// Config configures a Relay.
type Config struct {
	FailureDomain string
	// CallerListener is where requests come in, Probes where readiness is asked, and
	// Metrics where metrics are read.
	CallerListener  net.Listener
	ProbeListener   net.Listener
	MetricsListener net.Listener
	// ReadyPath is the path of the readiness probe.
	ReadyPath string
	Protocol  Protocol
	// ConfigSource and Listings are followed on the platform's store.
	ConfigSource   watch.Source[ConfigChange]
	InstanceSource watch.Source[Listing]
	// Datagrams reaches the loaders and the other entry instances; Port is the
	// port of all of them.
	Datagrams *gossip.Conn
	// DatagramAddress is this instance's own datagram address.
	DatagramAddress string
	DatagramPort    uint16
	Pool            *hop.Pool
	Logger          *zap.Logger
	Bounds          Bounds
	// BoundsUpdates delivers bounds that were changed while the instance runs. It may
	// be nil.
	BoundsUpdates <-chan Bounds
}

// Bounds holds what the users promise their callers.
type Bounds = setup.RelayBounds

const (
	// confirmMargin is how long before Bounds.Revoke an instance stops trusting
	// its configuration.
	confirmMargin = 200 * time.Millisecond
	// configWait is how long a call for changes of the configuration waits.
	configWait = 1500 * time.Millisecond
	// listPause is the time between two readings of the instance list.
	listPause = 900 * time.Millisecond
	// wakePause is the least time between two readings out of turn.
	wakePause = 300 * time.Millisecond
	// headerTime is how long a caller may take for a request's headers.
	headerTime = 3 * time.Second
	// idleTime is how long a caller's connection may be unused. It is longer
	// than callers keep theirs.
	idleTime = 60 * time.Second
	// headerBytes is the size of the largest header.
	headerBytes = 32 << 10
	// expirePeriod is how often what is kept for a time is looked through.
	expirePeriod = 100 * time.Millisecond
	// probeTimeout is the time for a readiness probe's headers.
	probeTimeout = 2 * time.Second
	// acceptAfterStop is how long a stopping instance takes connections from
	// callers that do not know yet.
	acceptAfterStop = 2500 * time.Millisecond
	// stopMargin is how long before the end of Bounds.Grace a stop is done.
	stopMargin = 500 * time.Millisecond
)

// Relay is an entry instance. Its methods may be called concurrently.
type Relay struct {
	config Config
	belief *belief
	board  *picker.Picker
	health *healths
	ledger *bucket.Limiter
	budget *budget
	peers  *peers
	// spending is used by the loop that tells the others only.
	spending *spending
	// avoided holds what upstreams said of themselves in their answers.
	avoided *cordon.Set
	spans   *spans
	start   time.Time
	wake    chan struct{}
	changed *signal
	sends   *sends
	// listings follows the instance list; wokenAt is when it was last read out
	// of turn, in Unix milliseconds.
	listings *watch.Watcher[Listing]
	// changes follows what the operators write.
	changes *watch.Watcher[ConfigChange]
	words   words
	wokenAt atomic.Int64
	metrics metrics
	bounds  atomic.Pointer[Bounds]
	// asks numbers the requests that wait for their turn. It begins at random,
	// so that a loader does not take them for those of an earlier start.
	asks atomic.Uint64

	// named means that a loader has told which entry instances there are.
	named    atomic.Bool
	stopping atomic.Bool
	callers  *connections
	server   *http.Server
	probes   *http.Server
	reads    *http.Server
}

// New returns a Relay that does not serve yet.
func New(config Config) *Relay {
	relay := &Relay{
		config:   config,
		health:   &healths{services: make(map[string]*health.Tracker)},
		ledger:   bucket.New(bucket.Config{}),
		peers:    newPeers(config.DatagramAddress, config.FailureDomain),
		start:    time.Now(),
		wake:     make(chan struct{}, 1),
		changed:  newSignal(),
		spending: newSpending(),
		avoided:  cordon.New(cordon.Config{}),
		spans:    newSpans(),
		callers:  newConnections(),
		sends:    newSends(),
	}
	relay.asks.Store(rand.Uint64())
	relay.board = picker.New(picker.Config{FailureDomain: config.FailureDomain, Health: relay.health, Avoided: relay.avoided})
	relay.belief = newBelief(fleet.New(fleet.Config{}), config.Logger)
	relay.bounds.Store(&config.Bounds)
	relay.budget = newBudget(func() Bounds { return *relay.bounds.Load() }, relay.peers.count)
	relay.listings = relay.newListings()
	relay.changes = relay.newChanges()
	relay.server = &http.Server{
		Handler:           http.HandlerFunc(relay.serve),
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    headerBytes,
		ConnState:         relay.callers.follow,
		ErrorLog:          zap.NewStdLog(config.Logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	probes := http.NewServeMux()
	probes.HandleFunc(config.ReadyPath, relay.serveReady)
	relay.reads = telem.NewServer("relay", relay.setGauges)
	relay.probes = &http.Server{Handler: probes, ReadHeaderTimeout: probeTimeout}
	return relay
}

// Run serves until ctx ends, then drains and returns.
func (relay *Relay) Run(ctx context.Context) error {
	group, running := errgroup.WithContext(context.Background())
	running, cancel := context.WithCancel(running)
	defer cancel()
	group.Go(func() error { return ended(relay.server.Serve(relay.config.CallerListener)) })
	group.Go(func() error { return ended(relay.probes.Serve(relay.config.ProbeListener)) })
	group.Go(func() error { return ended(relay.reads.Serve(relay.config.MetricsListener)) })
	group.Go(func() error { return relay.config.Datagrams.Serve(running, relay.heard) })
	group.Go(func() error { relay.changes.Run(running); return nil })
	group.Go(func() error { relay.listings.Run(running); return nil })
	group.Go(func() error { relay.exchange(running); return nil })
	group.Go(func() error { relay.expire(running); return nil })
	group.Go(func() error { relay.reload(running); return nil })
	relay.config.Logger.Info("relay: started", zap.String("address", relay.config.DatagramAddress))
	select {
	case <-ctx.Done():
		relay.drain()
	case <-running.Done():
	}
	cancel()
	_ = relay.server.Close()
	_ = relay.probes.Close()
	_ = relay.reads.Close()
	err := group.Wait()
	relay.config.Pool.Close()
	relay.config.Logger.Info("relay: stopped", telem.Error(err))
	return err
}

func ended(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// drain tells the load balancer, serves callers that do not know yet, and waits
// for what runs. Connections end after their next answer: ending those that are
// unused at once would meet requests on their way.
func (relay *Relay) drain() {
	relay.stopping.Store(true)
	relay.config.Logger.Info("relay: stopping", zap.Int64("running", relay.metrics.running.Load()))
	deadline := time.Now().Add(relay.bounds.Load().Grace.Duration - stopMargin)
	time.Sleep(min(acceptAfterStop, relay.bounds.Load().Grace.Duration/3))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	relay.callers.endIdle(ctx)
	if err := relay.server.Shutdown(ctx); err != nil {
		relay.config.Logger.Warn("relay: requests were cut at the end of the grace period", zap.Int64("running", relay.metrics.running.Load()))
	}
}

// reload takes over changed bounds.
func (relay *Relay) reload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case bounds := <-relay.config.BoundsUpdates:
			before := relay.bounds.Swap(&bounds)
			relay.config.Logger.Info("settings: bounds in force", zap.Any("bounds", bounds), zap.Bool("changed", *before != bounds))
		}
	}
}

// Ready reports whether the instance should get new connections.
func (relay *Relay) Ready() bool {
	return !relay.stopping.Load() && relay.belief.current() != nil && relay.confirmed()
}

// trust returns how long a configuration counts after it was confirmed.
func (relay *Relay) trust() time.Duration { return relay.bounds.Load().Revoke.Duration - confirmMargin }

func (relay *Relay) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !relay.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// expire looks through what is kept for a time.
func (relay *Relay) expire(ctx context.Context) {
	ticker := time.NewTicker(expirePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			relay.config.Pool.Trim()
			if gone := relay.belief.list.Expire(); len(gone) > 0 {
				relay.config.Logger.Info("relay: upstreams did not come back", zap.Strings("upstreams", gone))
				relay.relist()
			}
		}
	}
}

// signal wakes all who wait for a change.
type signal struct {
	mutex   sync.Mutex
	channel chan struct{}
}

func newSignal() *signal { return &signal{channel: make(chan struct{})} }

// next returns a channel that is closed at the next change.
func (signal *signal) next() <-chan struct{} {
	signal.mutex.Lock()
	defer signal.mutex.Unlock()
	return signal.channel
}

func (signal *signal) fire() {
	signal.mutex.Lock()
	defer signal.mutex.Unlock()
	close(signal.channel)
	signal.channel = make(chan struct{})
}
