// Package syncer keeps the configuration of a process up to date. It applies
// the records of the platform's configuration log, exchanges versions with
// peers, writes snapshots to the log and publishes the patches of operators.
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

// ConfigStream is the name of the log stream that holds the configuration.
const ConfigStream = "config"

// LogRecord is one entry of a log stream.
type LogRecord struct {
	Offset uint64
	Time   time.Time
	Data   []byte
}

// LogPage holds consecutive records of a log stream.
type LogPage struct {
	Records []LogRecord
	// FirstOffset is the oldest offset that the log still holds.
	FirstOffset uint64
	// NextOffset is the offset that the next appended record will get.
	NextOffset uint64
}

// LogClient appends to and reads from the platform's log service.
type LogClient interface {
	// Append returns the offset of the record.
	Append(ctx context.Context, stream string, record []byte) (offset uint64, err error)
	// Read returns records from an offset on. It waits for the first one, and
	// returns a page without records if none is appended within wait.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (LogPage, error)
}

// PeerConn is a connection to a peer, used for one call.
type PeerConn interface {
	drpc.Conn
	// Release ends the use of the connection, which the pool may reuse.
	Release()
}

// Config configures a Syncer. Zero durations and sizes mean the defaults.
type Config struct {
	// Instance is the id of this process.
	Instance string
	// Address is the address at which this process serves Sync calls, or empty
	// if it serves none.
	Address string
	Log     LogClient
	// PeerAddresses returns the addresses of all other instances on the instance list.
	// Nil means that there are none.
	PeerAddresses func() []string
	// DialPeer connects to a peer. Nil means that no peer is called.
	DialPeer func(ctx context.Context, address string) (PeerConn, error)
	Logger   *zap.Logger
	// Seed makes the choice of peers and the jitter repeatable. Zero means a
	// random seed.
	Seed uint64

	// LongPoll is how long a read of the log waits for a new record.
	LongPoll time.Duration
	// LogTimeout bounds a call to the log, in addition to LongPoll for reads.
	LogTimeout time.Duration
	// MaxBackoff bounds the delay before the next read of a log that fails.
	MaxBackoff time.Duration
	// SyncInterval is the time between two regular calls, each to a random peer.
	SyncInterval time.Duration
	// SyncTimeout bounds one call to a peer.
	SyncTimeout time.Duration
	// PushFanout is how many peers are called at once after a new version.
	PushFanout int
	// IsolationLimit is the confirmed age above which a process counts as
	// isolated if fewer than half of the peers that it called answer.
	IsolationLimit time.Duration
	// LogRetention is how long the log keeps records.
	LogRetention time.Duration
	// MaxHistoryBytes bounds the accepted patches that are kept for peers.
	MaxHistoryBytes int
	// MaxLogLag is how many records the reading of the log may lag behind the
	// offset that was learnt from peers. Beyond it the records in between are
	// skipped, and the results of rejected patches among them stay unknown.
	MaxLogLag uint64
}

// withDefaults sets the defaults of unset fields. With the defaults of
// MaxBackoff and SyncInterval a change reaches processes with a connection to
// the log within 2 s, and all others within 4 s.
func (config Config) withDefaults() (Config, error) {
	if config.Instance == "" {
		return config, fault.New(fault.Invalid, fault.NotRun, "the syncer has no instance id; set instance")
	}
	if config.Log == nil {
		return config, fault.New(fault.Invalid, fault.NotRun, "the syncer has no log; set the address of the log service")
	}
	if config.PeerAddresses == nil {
		config.PeerAddresses = func() []string { return nil }
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	setDefault(&config.LongPoll, 5*time.Second)
	setDefault(&config.LogTimeout, 2*time.Second)
	setDefault(&config.MaxBackoff, time.Second)
	setDefault(&config.SyncInterval, time.Second)
	setDefault(&config.SyncTimeout, time.Second)
	setDefault(&config.PushFanout, 3)
	setDefault(&config.IsolationLimit, 30*time.Second)
	setDefault(&config.LogRetention, 24*time.Hour)
	setDefault(&config.MaxHistoryBytes, 1<<20)
	setDefault(&config.MaxLogLag, 1024)
	return config, nil
}

// setDefault sets a field that has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Syncer keeps the configuration of a process up to date. It is safe for
// concurrent use.
type Syncer struct {
	config  Config
	metrics *expvar.Map
	started time.Time

	current atomic.Pointer[conf.Config]

	// mutex guards the fields from here on, except for snapshotCache and
	// syncRequests.
	mutex sync.Mutex
	// changed is closed and replaced by each change that Changed reports.
	changed       chan struct{}
	random        *rand.Rand
	replayer      *replay.Replayer
	history       patchHistory
	log           logState
	freshness     freshness
	peers         peerList
	snapshotCache snapshotCache
	// syncRequests holds the addresses of peers to call. An empty one stands for
	// random peers.
	syncRequests chan string
}

// New returns a Syncer at version 0, which reads nothing until Run is called.
func New(config Config) (*Syncer, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	syncer := &Syncer{
		config:       config,
		metrics:      new(expvar.Map).Init(),
		started:      time.Now(),
		changed:      make(chan struct{}),
		random:       rand.New(rand.NewPCG(config.Seed, 0)),
		replayer:     replay.New(),
		history:      patchHistory{maxBytes: config.MaxHistoryBytes},
		syncRequests: make(chan string, 16),
	}
	syncer.current.Store(syncer.replayer.Config())
	return syncer, nil
}

// Run reads the log, calls peers and writes snapshots until the context ends.
// It returns the context's error.
func (syncer *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return syncer.readLog(ctx) })
	group.Go(func() error { return syncer.pollPeers(ctx) })
	group.Go(func() error { return syncer.renewSnapshots(ctx) })
	return group.Wait()
}

// Current returns the newest known configuration. Its version never decreases.
func (syncer *Syncer) Current() *conf.Config { return syncer.current.Load() }

// Changed returns a channel that is closed when Current changes or a patch gets
// a result. Call Changed again after each change.
func (syncer *Syncer) Changed() <-chan struct{} {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	return syncer.changed
}

// Metrics returns the syncer's counters.
func (syncer *Syncer) Metrics() *expvar.Map { return syncer.metrics }

// notify makes the replayer's version the current one and wakes those that wait
// on Changed. After a new version it calls peers. The mutex is held.
func (syncer *Syncer) notify() {
	before := syncer.current.Swap(syncer.replayer.Config())
	if before.Version() != syncer.replayer.Config().Version() {
		syncer.metrics.Add("version-changes", 1)
		syncer.requestSync("")
	}
	close(syncer.changed)
	syncer.changed = make(chan struct{})
}

// sleepJittered waits for a random time between half of the delay and the whole
// delay. It reports false if the context ends first.
func (syncer *Syncer) sleepJittered(ctx context.Context, delay time.Duration) bool {
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
