// Package syncer keeps a process's configuration current from the platform's
// log and from peers, writes snapshots and publishes patches.
package syncer

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/replay"
)

// Stream is the log stream of the configuration.
const Stream = "config"

// Record is one entry of a log stream.
type Record struct {
	Offset uint64
	Time   time.Time
	Data   []byte
}

// Page is a part of a log stream. First is the oldest offset that the log still
// holds, Next the offset that the next record will get.
type Page struct {
	Records     []Record
	FirstOffset uint64
	NextOffset  uint64
}

// LogClient is the platform's log service.
type LogClient interface {
	Append(ctx context.Context, stream string, record []byte) (offset uint64, err error)
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error)
}

// PeerConn is a connection to a peer for one call.
type PeerConn interface {
	drpc.Conn
	Release()
}

// Config configures a Syncer. Zero durations and sizes stand for the defaults.
type Config struct {
	// Instance is the id of this process.
	Instance string
	// Address is where this process serves Sync; empty when it serves none.
	Address string
	Log     LogClient
	// Peers returns the addresses of the listed instances without this one.
	Peers  func() []string
	Dial   func(ctx context.Context, address string) (PeerConn, error)
	Logger *zap.Logger
	// Seed makes the choice of peers and jitter repeatable; 0 takes a random one.
	Seed uint64

	// PollWait is how long the log may hold a read.
	PollWait time.Duration
	// LogTimeout bounds a call to the log beyond PollWait.
	LogTimeout time.Duration
	// RetryMax bounds the delay between calls to a log that fails.
	RetryMax time.Duration
	// SyncInterval is the time between calls to a random peer.
	SyncInterval time.Duration
	// SyncTimeout bounds one call to a peer.
	SyncTimeout time.Duration
	// PushFanout is how many peers are told of a new version at once.
	PushFanout int
	// IsolationLimit is the age without confirmation after which a process that
	// too few peers answer counts as isolated.
	IsolationLimit time.Duration
	// Retention is how long the log keeps records.
	Retention time.Duration
	// TailBytes bounds the accepted patches that are kept for peers.
	TailBytes int
	// MaxBehind is how many records the reader of the log may lie behind what
	// peers made known. Results of void patches among skipped records are lost.
	MaxBehind uint64
}

// withDefaults fills unset fields. RetryMax and SyncInterval keep a change
// within 2 s for processes that reach the log and 4 s for those that do not.
func (config Config) withDefaults() (Config, error) {
	if config.Instance == "" {
		return config, fault.New(fault.Invalid, fault.NotRun, "the syncer has no instance id; set instance")
	}
	if config.Log == nil {
		return config, fault.New(fault.Invalid, fault.NotRun, "the syncer has no log; set the address of the log service")
	}
	if config.Peers == nil {
		config.Peers = func() []string { return nil }
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	fill(&config.PollWait, 5*time.Second)
	fill(&config.LogTimeout, 2*time.Second)
	fill(&config.RetryMax, time.Second)
	fill(&config.SyncInterval, time.Second)
	fill(&config.SyncTimeout, time.Second)
	fill(&config.PushFanout, 3)
	fill(&config.IsolationLimit, 30*time.Second)
	fill(&config.Retention, 24*time.Hour)
	fill(&config.TailBytes, 1<<20)
	fill(&config.MaxBehind, 1024)
	return config, nil
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Syncer keeps the configuration current.
type Syncer struct {
	config  Config
	metrics *expvar.Map
	started time.Time

	current atomic.Pointer[conf.Config]

	mutex   sync.Mutex
	changed chan struct{}
	random  *rand.Rand
	fold    *replay.Replayer
	tail    tail
	log     logState
	fresh   freshness
	peers   peerList
	serving serving
	kicks   chan string
}

// New returns a Syncer that has not read anything yet.
func New(config Config) (*Syncer, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	syncer := &Syncer{
		config:  config,
		metrics: new(expvar.Map).Init(),
		started: time.Now(),
		changed: make(chan struct{}),
		random:  rand.New(rand.NewPCG(config.Seed, 0)),
		fold:    replay.New(),
		tail:    tail{limit: config.TailBytes},
		kicks:   make(chan string, 16),
	}
	syncer.current.Store(syncer.fold.Config())
	return syncer, nil
}

// Run keeps the configuration current until the context ends.
func (syncer *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return syncer.followLog(ctx) })
	group.Go(func() error { return syncer.followPeers(ctx) })
	group.Go(func() error { return syncer.keepSnapshots(ctx) })
	return group.Wait()
}

// Current returns the newest configuration. It never goes back.
func (syncer *Syncer) Current() *conf.Config { return syncer.current.Load() }

// Changed returns a channel that is closed at the next change of Current or of
// a patch's result. Ask for a new one after each change.
func (syncer *Syncer) Changed() <-chan struct{} {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.changed
}

// Metrics returns the syncer's counters.
func (syncer *Syncer) Metrics() *expvar.Map { return syncer.metrics }

// notify publishes the fold's version and wakes the waiters. The mutex is held.
func (syncer *Syncer) notify() {
	before := syncer.current.Swap(syncer.fold.Config())
	if before.Version() != syncer.fold.Config().Version() {
		syncer.metrics.Add("version-changes", 1)
		syncer.kick("")
	}
	close(syncer.changed)
	syncer.changed = make(chan struct{})
}

// pause waits for a jittered delay and reports false when the context ends.
func (syncer *Syncer) pause(ctx context.Context, delay time.Duration) bool {
	syncer.mutex.Lock()
	delay = delay/2 + time.Duration(syncer.random.Int64N(int64(delay/2)+1))
	syncer.mutex.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
