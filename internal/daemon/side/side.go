// Package side is the side process of one upstream, a sidecar through which all
// requests to the upstream pass. It queues requests fairly, loads adapters,
// reserves tokens, and sends each request only if all checks hold at that
// moment.
package side

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/dedup"
	"jacinthfront.dev/jacinthfront/internal/flow/fairq"
	"jacinthfront.dev/jacinthfront/internal/flow/slots"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// Config configures a Server. UpstreamID, ConfigSource and UpstreamClient are
// required.
type Config struct {
	// UpstreamID is the id of the upstream in the configuration.
	UpstreamID     string
	ConfigSource   ConfigSource
	UpstreamClient UpstreamClient
	Limiter        Limiter
	// Log stores idempotency claims. Without it, requests with an idempotency
	// key are refused.
	Log         Log
	DrainStatus DrainStatus
	Permits     Permits
	// NewShard creates the quota shards that this process hosts.
	NewShard func(ShardConfig) Shard
	Metrics  Metrics
	Logger   *zap.Logger

	// Incarnation tells this process from others; by default it is random. Two
	// processes with one incarnation would answer for each other's requests.
	Incarnation uint64
	// FencingToken is the first fencing token, by default the time of day in Unix
	// milliseconds. The engine's first report raises it above those of earlier
	// processes.
	FencingToken uint64
	Queue        fairq.Config
	Slots        slots.Config
	Attempts     dedup.AttemptsConfig
	// FirstComeFirstServed serves requests in the order of their arrival,
	// regardless of organisation and class. It serves as a baseline for
	// comparison.
	FirstComeFirstServed bool
	// MaxRunning bounds the requests that run at the upstream at a time.
	MaxRunning int
	// ClaimPartitions is the number of claim streams.
	ClaimPartitions int
	ClaimWindow     time.Duration
	// RequestTimeout is the longest that a request may take.
	RequestTimeout time.Duration
	// DrainTimeout is the longest that Drain waits for running requests.
	DrainTimeout time.Duration
	// GrantLifetime and GrantMargin apply to the hosted quota shards.
	GrantLifetime time.Duration
	GrantMargin   time.Duration
}

const (
	defaultMaxRunning      = 32
	defaultClaimPartitions = 64
	defaultRequestTimeout  = 5 * time.Minute
	defaultDrainTimeout    = 6 * time.Minute
	defaultGrantLifetime   = 500 * time.Millisecond
	defaultGrantMargin     = 100 * time.Millisecond
	// maxIncarnation keeps random incarnations exact in JSON.
	maxIncarnation = 1 << 52
	// maxConfigWait bounds how long a request waits for a configuration version
	// that its entry instance has and this process does not. A version is in
	// force everywhere within 2 s at p99.
	maxConfigWait = 2 * time.Second
	// maxReserveWait bounds how long a scheduled request holds its running slot
	// while tokens are reserved: a few round trips within a region.
	maxReserveWait = 20 * time.Millisecond
	// pollInterval is how often the engine is asked for its state. A restart
	// that lost the engine's adapters is noticed within that time.
	pollInterval = 250 * time.Millisecond
	// stateTimeout bounds one request for the engine's state.
	stateTimeout = 500 * time.Millisecond
	// maxReportLag is how far the state that an engine reports may lag behind.
	maxReportLag = time.Second
	// unresponsiveAfter is how long the engine may fail to report its state
	// before requests are refused, so that they go to other upstreams. A longer
	// time between two ticks of this process counts as a pause.
	unresponsiveAfter = time.Second
	// loadTimeout bounds one order to the engine.
	loadTimeout = 30 * time.Second
)

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (config Config) withDefaults() Config {
	orDefault[Limiter](&config.Limiter, unlimited{})
	orDefault[DrainStatus](&config.DrainStatus, neverDraining{})
	orDefault[Permits](&config.Permits, unlimitedPermits{})
	orDefault[Metrics](&config.Metrics, noMetrics{})
	orDefault(&config.Logger, zap.NewNop())
	orDefault(&config.Incarnation, 1+rand.Uint64N(maxIncarnation))
	orDefault(&config.FencingToken, uint64(time.Now().UnixMilli())) //nolint:forbidigo // The engine's first report corrects it.
	orDefault(&config.MaxRunning, defaultMaxRunning)
	orDefault(&config.ClaimPartitions, defaultClaimPartitions)
	orDefault(&config.RequestTimeout, defaultRequestTimeout)
	orDefault(&config.DrainTimeout, defaultDrainTimeout)
	orDefault(&config.GrantLifetime, defaultGrantLifetime)
	orDefault(&config.GrantMargin, defaultGrantMargin)
	config.Attempts.Incarnation = config.Incarnation
	return config
}

func (config Config) check() error {
	switch {
	case config.UpstreamID == "":
		return fault.New(fault.Invalid, fault.NotRun, "side: upstream is empty; set it to the id in the configuration")
	case config.ConfigSource == nil:
		return fault.New(fault.Invalid, fault.NotRun, "side: no source of configurations; set ConfigSource")
	case config.UpstreamClient == nil:
		return fault.New(fault.Invalid, fault.NotRun, "side: no client of the upstream; set UpstreamClient")
	case config.DrainTimeout <= config.RequestTimeout:
		return fault.New(fault.Invalid, fault.NotRun,
			"side: drain limit %v does not exceed request limit %v; raise it", config.DrainTimeout, config.RequestTimeout)
	}
	return nil
}

// Server implements wirepb.DRPCSideServer.
type Server struct {
	config Config
	claims *claimer
	shards *shards

	mu          sync.Mutex
	queue       *fairq.Queue[*task]
	table       *slots.Table
	permits     permitPool
	attempts    *dedup.Attempts
	sharedRuns  map[sharedRunKey]*sharedRun
	engine      engineView
	unconfirmed []unconfirmedEnd
	// recentEnds are the end times of requests that the engine's report may
	// still count.
	recentEnds []time.Time
	// running holds the scheduled and the dispatched requests.
	running map[*task]bool
	// reserving counts the scheduled requests of each organisation that are not
	// dispatched yet.
	reserving map[string]int
	// tokenWaits holds, for each organisation, the queued request that waits
	// for tokens.
	tokenWaits map[string]*tokenWait
	// inFlight is the number of requests in Run after their acceptance; idle is
	// signalled when it reaches 0.
	inFlight     int
	draining     bool
	idle         chan struct{}
	timer        *time.Timer
	fencingToken uint64
	// isSuperseded says that superseded is closed.
	isSuperseded  bool
	superseded    chan struct{}
	pauseDetector pauseDetector
	// pollNow makes pollEngine run at once.
	pollNow chan struct{}
	// background is the context of loads. It ends when Serve does.
	background       context.Context
	cancelBackground context.CancelFunc
	// workers counts the running loads and acquisitions of permits.
	workers sync.WaitGroup
}

// New returns a Server. Serve must run for the Server to start waiting
// requests, load adapters and follow the configuration. To stop, call Drain
// before Serve's context ends.
func New(config Config) (*Server, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return nil, err
	}
	background, cancel := context.WithCancel(context.Background())
	server := &Server{
		config:           config,
		claims:           newClaimer(config),
		shards:           newShards(config),
		queue:            fairq.New[*task](config.Queue),
		table:            slots.New(config.Slots),
		attempts:         dedup.NewAttempts(config.Attempts),
		sharedRuns:       map[sharedRunKey]*sharedRun{},
		running:          map[*task]bool{},
		reserving:        map[string]int{},
		tokenWaits:       map[string]*tokenWait{},
		idle:             make(chan struct{}, 1),
		pollNow:          make(chan struct{}, 1),
		superseded:       make(chan struct{}),
		pauseDetector:    pauseDetector{lastTick: time.Now()},
		fencingToken:     config.FencingToken,
		background:       background,
		cancelBackground: cancel,
	}
	server.engine.reportedAt = time.Now()
	server.timer = time.AfterFunc(time.Hour, server.tick)
	return server, nil
}

// FencingToken returns the fencing token that orders to the engine carry.
func (server *Server) FencingToken() uint64 {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.fencingToken
}

// Incarnation returns the incarnation that this process reports to its callers.
func (server *Server) Incarnation() uint64 { return server.config.Incarnation }

func (server *Server) current() *conf.Config { return server.config.ConfigSource.Current() }

func (server *Server) count(name string) { server.config.Metrics.Add(name, 1) }
