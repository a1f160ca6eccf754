// Package relay implements an entry instance for upstreams that are reached
// directly. It chooses an upstream for each caller's request without parsing the
// request body, and returns the response unchanged. Loaders, which run beside the
// engines, load the adapters that the entry instance requests.
package relay

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"jacinthfront.dev/jacinthfront/internal/base/logs"
	"jacinthfront.dev/jacinthfront/internal/base/metric"
	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
	"jacinthfront.dev/jacinthfront/internal/flow/bucket"
	"jacinthfront.dev/jacinthfront/internal/flow/buffer"
	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/flow/health"
	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/flow/poison"
	"jacinthfront.dev/jacinthfront/internal/flow/stall"
	"jacinthfront.dev/jacinthfront/internal/link/depart"
	"jacinthfront.dev/jacinthfront/internal/link/dgram"
	"jacinthfront.dev/jacinthfront/internal/link/http1"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// Config configures a Relay.
type Config struct {
	FailureDomain string
	// CallerListener accepts callers' requests, ProbeListener readiness probes, and
	// MetricsListener reads of the metrics.
	CallerListener  net.Listener
	ProbeListener   net.Listener
	MetricsListener net.Listener
	// ReadyPath is the path of the readiness probe.
	ReadyPath string
	Protocol  Protocol
	// ConfigSource and InstanceSource read the configuration and the instance list
	// from the platform's store.
	ConfigSource   watch.Source[ConfigChange]
	InstanceSource watch.Source[Listing]
	// InstanceHistory reads earlier records of the instance list. It may be nil.
	InstanceHistory InstanceHistory
	// Heartbeat is about how often an upstream writes its entry, 0 if that is not known.
	Heartbeat time.Duration
	// Datagrams is the connection to the loaders and the other entry instances, which
	// all use DatagramPort.
	Datagrams *dgram.Conn
	// DatagramAddress is this instance's own datagram address.
	DatagramAddress string
	DatagramPort    uint16
	Pool            *http1.Pool
	// Engines asks engines whose loaders are silent. It may be nil.
	Engines Engines
	Logger  *zap.Logger
	Bounds  Bounds
	// BoundsUpdates delivers bounds that change at run time. It may be nil.
	BoundsUpdates <-chan Bounds
	// BodyMemory bounds the memory for the bodies of requests and responses, in bytes. 0
	// means buffer.DefaultLimit.
	BodyMemory int64
}

// Bounds holds the limits that the service promises its callers: how soon a
// withdrawn key stops working, how long a shutdown takes, and the retry budget.
type Bounds = setup.RelayBounds

const (
	// minEarlyReadInterval is the least time between two early reads of the instance
	// list.
	minEarlyReadInterval = 300 * time.Millisecond
	// headerTimeout is the time allowed for reading the headers of a caller's request.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long a caller's connection may be idle. It exceeds the
	// callers' own idle timeouts.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes limits the size of a request's headers.
	maxHeaderBytes = 32 << 10
	// maxListingFaults bounds the faults of entries that are remembered.
	maxListingFaults = 64
	// expireInterval is the time between two checks for expired connections and
	// upstreams.
	expireInterval = 100 * time.Millisecond
	// slowCallersPart is the part of the memory for bodies, as a divisor, that may be held
	// for slow callers.
	slowCallersPart = 2
	// probeTimeout is the time allowed for reading the headers of a readiness probe.
	probeTimeout = 2 * time.Second
)

// Relay is an entry instance. Its methods may be called concurrently.
type Relay struct {
	config      Config
	store       *storeView
	picker      *picker.Picker
	health      *healthTracker
	limiter     *bucket.Limiter
	retryBudget *retryBudget
	peers       *peers
	// usageChanges is used only by sendReports, and memoryBusy too: it means that a token
	// bucket was below busyLevel at the last memory.
	usageChanges *usageChanges
	memoryBusy   bool
	// cordon holds the upstreams that are draining or asked for a backoff, and permits
	// keeps the sends to others within the rate limits that they name.
	cordon  *cordon.Set
	permits *permits
	// evacuations holds the failure domains that the operators have evacuated.
	evacuations *evacuations
	// poison tracks the parts of prompts that crash upstreams.
	poison          *poison.Tracker
	brokenResponses *brokenResponses
	// usageUrgent means that the other entry instances must be told at once of what this
	// one observed.
	usageUrgent atomic.Bool
	latencies   *latencies
	process
	wake         chan struct{}
	stateChanged *broadcast
	// storeConfirmed is notified when what was read of the store is confirmed as current.
	storeConfirmed *broadcast
	activeSends    *activeSends
	// callerWrites holds the writes to callers, to end those to callers that do not read.
	callerWrites *callerWrites
	// callers watches for callers that leave.
	callers *depart.Watch
	// origins holds which software began streams.
	origins         *origins
	incarnationAsks *incarnationAsks
	engineAsks      *engineAsks
	fencingOffsets  *fencingOffsets
	// buffers bounds the memory for bodies.
	buffers *buffer.Pool
	// instanceWatcher follows the instance list. earlyReadAt is when it was last
	// woken before its next read was due, in nanoseconds since the start.
	instanceWatcher *watch.Watcher[Listing]
	// listingFaults holds the fault that was last logged of each entry that names no
	// upstream. It is used only by instanceWatcher.
	listingFaults map[string]string
	// configWatcher follows the configuration and the adapter versions.
	configWatcher *watch.Watcher[ConfigChange]
	readerReport  readerReport
	earlyReadAt   atomic.Int64
	metrics       metrics
	bounds        atomic.Pointer[Bounds]
	timing        atomic.Pointer[timing]
	// requestNumbers numbers the requests that wait for admission. It starts at a
	// random value, so that a loader does not mistake them for those from before a
	// restart.
	requestNumbers atomic.Uint64

	// listKnown means that the instance list was read.
	listKnown atomic.Bool
	// peersKnown means that a loader has reported the entry instances it knows.
	peersKnown atomic.Bool
	// caughtUp means that the configuration is not older than the other entry
	// instances' at the start.
	caughtUp        atomic.Bool
	stop            *plannedStop
	idleConnections *idleConnections
	callerServer    *http.Server
	probeServer     *http.Server
	metricsServer   *http.Server
}

// New returns a Relay that does not serve yet.
func New(config Config) *Relay {
	relay := &Relay{
		config:          config,
		health:          &healthTracker{services: make(map[string]*health.Tracker)},
		limiter:         bucket.New(bucket.Config{}),
		peers:           newPeers(config.DatagramAddress, config.FailureDomain),
		process:         newProcess(),
		wake:            make(chan struct{}, 1),
		stateChanged:    newBroadcast(),
		storeConfirmed:  newBroadcast(),
		usageChanges:    newUsageChanges(),
		cordon:          cordon.New(cordon.Config{}),
		evacuations:     newEvacuations(),
		poison:          poison.New(poison.Config{}),
		brokenResponses: newBrokenResponses(),
		latencies:       newLatencies(),
		idleConnections: newIdleConnections(),
		activeSends:     newActiveSends(),
		callerWrites:    newCallerWrites(stall.Config{Limit: cmp.Or(config.BodyMemory, buffer.DefaultLimit) / slowCallersPart}),
		callers:         depart.New(),
		origins:         newOrigins(),
		incarnationAsks: &incarnationAsks{askedAt: make(map[string]time.Time)},
		engineAsks:      newEngineAsks(),
		fencingOffsets:  newFencingOffsets(),
		buffers:         buffer.New(buffer.Config{Limit: config.BodyMemory}),
		listingFaults:   make(map[string]string),
		stop:            newPlannedStop(),
	}
	relay.requestNumbers.Store(rand.Uint64())
	relay.earlyReadAt.Store(-int64(minEarlyReadInterval))
	relay.readerReport.queryNumber = rand.Uint64()
	relay.permits = newPermits(&relay.metrics, relay.hearsMajority)
	relay.picker = picker.New(picker.Config{
		FailureDomain: config.FailureDomain, Health: relay.health, Cordon: relay.cordon, Evacuation: &relay.evacuations.inForce,
		Limits: relay.permits, Cold: relay,
	})
	relay.store = newStoreView(fleet.New(fleet.Config{}), config.Logger)
	relay.bounds.Store(&config.Bounds)
	relay.timing.Store(newTiming(config.Bounds))
	relay.retryBudget = newRetryBudget(relay.retryLimits, relay.process, config.DatagramAddress)
	relay.instanceWatcher = relay.newInstanceWatcher()
	relay.configWatcher = relay.newConfigWatcher()
	relay.callerServer = &http.Server{
		Handler:           http.HandlerFunc(relay.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         relay.idleConnections.trackState,
		ConnContext:       withCallerConn,
		ErrorLog:          zap.NewStdLog(config.Logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	probes := http.NewServeMux()
	probes.HandleFunc(config.ReadyPath, relay.serveReady)
	relay.metricsServer = metric.NewServer("relay", relay.setGauges)
	relay.metricsServer.Handler = relay.withExplain(relay.metricsServer.Handler)
	relay.probeServer = &http.Server{Handler: probes, ReadHeaderTimeout: probeTimeout}
	return relay
}

// Run serves until ctx ends, then drains and returns. Its error is that of a
// server or of the datagram connection.
func (relay *Relay) Run(ctx context.Context) error {
	group, running := errgroup.WithContext(context.Background())
	running, cancel := context.WithCancel(running)
	defer cancel()
	group.Go(func() error { return ignoreClosed(relay.callerServer.Serve(relay.config.CallerListener)) })
	group.Go(func() error { return ignoreClosed(relay.probeServer.Serve(relay.config.ProbeListener)) })
	group.Go(func() error { return ignoreClosed(relay.metricsServer.Serve(relay.config.MetricsListener)) })
	group.Go(func() error { return relay.config.Datagrams.Serve(running, relay.handleDatagram) })
	group.Go(func() error { relay.configWatcher.Run(running); return nil })
	group.Go(func() error { relay.instanceWatcher.Run(running); return nil })
	group.Go(func() error { relay.sendReports(running); return nil })
	group.Go(func() error { relay.expire(running); return nil })
	group.Go(func() error { relay.updateBounds(running); return nil })
	relay.config.Logger.Info("relay: started", zap.String("address", relay.config.DatagramAddress))
	relay.logUnmetBounds()
	select {
	case <-ctx.Done():
		relay.drain()
	case <-running.Done():
	}
	cancel()
	_ = relay.callerServer.Close()
	_ = relay.probeServer.Close()
	_ = relay.metricsServer.Close()
	err := group.Wait()
	relay.config.Pool.Close()
	relay.config.Logger.Info("relay: stopped", logs.ErrorField(err))
	return err
}

// ignoreClosed returns nil for http.ErrServerClosed and err otherwise.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// updateBounds applies bounds that change at run time.
func (relay *Relay) updateBounds(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case bounds := <-relay.config.BoundsUpdates:
			before := relay.bounds.Swap(&bounds)
			relay.updateTiming(bounds)
			relay.updateCold()
			relay.config.Logger.Info("settings: bounds in force", zap.Any("bounds", bounds), zap.Bool("changed", *before != bounds))
		}
	}
}

// Ready reports whether the instance should receive new connections.
func (relay *Relay) Ready() bool {
	return !relay.stopping() && relay.store.config() != nil && relay.configConfirmed()
}

func (relay *Relay) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !relay.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// expire ends responses whose callers do not read, closes expired connections to upstreams,
// and removes the upstreams that were not listed again after an outage of the instance list.
func (relay *Relay) expire(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case due := <-ticker.C:
			timerDelay.Observe(time.Since(due))
			relay.callers.CheckDue()
			relay.endStalled()
			relay.config.Pool.CloseExpired()
			if removed := relay.store.instances.RemoveExpired(); len(removed) > 0 {
				relay.config.Logger.Info("relay: upstreams removed, not listed again after an outage", zap.Strings("upstreams", removed))
				relay.updateUpstreams()
			}
		}
	}
}
