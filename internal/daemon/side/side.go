// Package side is the side process of one upstream: the last gate before it.
// It queues requests fairly, loads adapters, debits tokens, and sends each
// request when all checks hold at that moment.
package side

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/dedup"
	"jacinthfront.dev/jacinthfront/internal/flow/fairq"
	"jacinthfront.dev/jacinthfront/internal/flow/slots"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// Config sets up a Server. Upstream, Configs and Engine are required.
type Config struct {
	// UpstreamID is the id of the upstream in the configuration.
	UpstreamID     string
	ConfigSource   ConfigSource
	UpstreamClient UpstreamClient
	Limiter        Limiter
	// Log keeps idempotency claims; without it, requests with an idempotency
	// key are refused.
	Log     Log
	Roster  Roster
	Permits Permits
	// NewShard makes the quota shards that this process hosts.
	NewShard func(ShardConfig) Shard
	Metrics  Metrics
	Logger   *zap.Logger

	// Incarnation is the start time in ms; it is the first fencing token too.
	Incarnation uint64
	Queue       fairq.Config
	Slots       slots.Config
	Attempts    dedup.AttemptsConfig
	// FirstComeFirstServed serves requests in the order of their arrival, whatever their
	// organisation and class. It is for comparison.
	FirstComeFirstServed bool
	// MaxRunning bounds the requests at the upstream.
	MaxRunning int
	// ClaimPartitions is the number of claim streams.
	ClaimPartitions int
	ClaimWindow     time.Duration
	// RequestTimeout is the longest a request may take.
	RequestTimeout time.Duration
	// DrainTimeout is the longest that a planned stop waits for running work.
	DrainTimeout time.Duration
	// GrantLifetime and GrantMargin apply to the hosted quota shards.
	GrantLifetime time.Duration
	GrantMargin   time.Duration
}

const (
	defaultMaxRunning   = 32
	defaultPartitions   = 64
	defaultRequestLimit = 5 * time.Minute
	defaultDrainLimit   = 6 * time.Minute
	defaultLifetime     = 500 * time.Millisecond
	defaultMargin       = 100 * time.Millisecond
	// freshWait bounds how long a request waits for a configuration version
	// that its entry instance has and this process does not. Versions are in
	// force everywhere within 2 s at p99.
	freshWait = 2 * time.Second
	// takeWait bounds how long a request that is about to be sent holds its
	// slot while its organisation's tokens are drawn: a few round trips within
	// a region.
	takeWait = 20 * time.Millisecond
	// statePoll is how often the engine is asked for its state. An engine that
	// restarted cold is noticed within that time.
	statePoll = 250 * time.Millisecond
	// stateTimeout bounds one question for it.
	stateTimeout = 500 * time.Millisecond
	// reportLag is how far an engine's report may lag behind.
	reportLag = time.Second
	// silence is how long the engine may fail to report its state before
	// requests go to other upstreams.
	silence = time.Second
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
	orDefault[Roster](&config.Roster, staying{})
	orDefault[Permits](&config.Permits, unbounded{})
	orDefault[Metrics](&config.Metrics, uncounted{})
	orDefault(&config.Logger, zap.NewNop())
	orDefault(&config.Incarnation, uint64(time.Now().UnixMilli()))
	orDefault(&config.MaxRunning, defaultMaxRunning)
	orDefault(&config.ClaimPartitions, defaultPartitions)
	orDefault(&config.RequestTimeout, defaultRequestLimit)
	orDefault(&config.DrainTimeout, defaultDrainLimit)
	orDefault(&config.GrantLifetime, defaultLifetime)
	orDefault(&config.GrantMargin, defaultMargin)
	config.Attempts.Incarnation = config.Incarnation
	return config
}

func (config Config) check() error {
	switch {
	case config.UpstreamID == "":
		return fault.New(fault.Invalid, fault.NotRun, "side: upstream is empty; set it to the id in the configuration")
	case config.ConfigSource == nil:
		return fault.New(fault.Invalid, fault.NotRun, "side: no source of configurations; set Configs")
	case config.UpstreamClient == nil:
		return fault.New(fault.Invalid, fault.NotRun, "side: no client of the upstream; set Engine")
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

	mu      sync.Mutex
	queue   *fairq.Queue[*ticket]
	table   *slots.Table
	permits permits
	records *dedup.Attempts
	flights map[flightKey]*flight
	engine  engineView
	lingers []linger
	// ends are the times at which requests ended lately.
	ends    []time.Time
	running map[*ticket]bool
	// taking counts the committed requests of each organisation whose tokens
	// are not debited yet.
	taking map[string]int
	// gathering holds the request of each organisation that waits for tokens.
	gathering map[string]*gathering
	live      int
	draining  bool
	empty     chan struct{}
	timer     *time.Timer
	fence     uint64
	// succeeded says that superseded is closed.
	succeeded  bool
	superseded chan struct{}
	guard      pauseGuard
	// wake asks for the engine's state at once.
	wake chan struct{}
	// background is the context of loads; it ends when Serve does.
	background context.Context
	stop       context.CancelFunc
	loads      sync.WaitGroup
}

// New returns a Server. Serve must run for it to start waiting requests, to load
// adapters and to follow the configuration. To stop, call Drain before Serve's
// context ends.
func New(config Config) (*Server, error) {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return nil, err
	}
	background, stop := context.WithCancel(context.Background())
	server := &Server{
		config:     config,
		claims:     newClaimer(config),
		shards:     newShards(config),
		queue:      fairq.New[*ticket](config.Queue),
		table:      slots.New(config.Slots),
		records:    dedup.NewAttempts(config.Attempts),
		flights:    map[flightKey]*flight{},
		running:    map[*ticket]bool{},
		taking:     map[string]int{},
		gathering:  map[string]*gathering{},
		empty:      make(chan struct{}, 1),
		wake:       make(chan struct{}, 1),
		superseded: make(chan struct{}),
		guard:      pauseGuard{beat: time.Now()},
		fence:      config.Incarnation,
		background: background,
		stop:       stop,
	}
	server.engine.answered = time.Now()
	server.timer = time.AfterFunc(time.Hour, server.tick)
	return server, nil
}

// FencingToken returns the token that orders to the engine carry.
func (server *Server) FencingToken() uint64 {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.fence
}

// Incarnation returns the start of this process as its callers see it.
func (server *Server) Incarnation() uint64 { return server.config.Incarnation }

func (server *Server) current() *conf.Config { return server.config.ConfigSource.Current() }

func (server *Server) count(name string) { server.config.Metrics.Add(name, 1) }
