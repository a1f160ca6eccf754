package side

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// ConfigSource provides the current configuration.
type ConfigSource interface {
	// Current returns the newest configuration. It is never nil, and its
	// version never decreases.
	Current() *conf.Config
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
	// ObserveVersion tells the source that another process has this version.
	ObserveVersion(version uint64)
	// Isolated reports whether withdrawals of keys may not reach this process.
	Isolated() bool
	// ConfirmedAge returns the time since the configuration was last known to
	// be current.
	ConfirmedAge() time.Duration
}

// Reservation is the tokens of an organisation that are held for one request.
type Reservation interface {
	// Commit counts the request as dispatched now. It reports false when the
	// reservation has expired.
	Commit() bool
	// Settle returns the tokens that were not used.
	Settle(used conf.Tokens)
}

// Limiter limits the tokens of organisations.
type Limiter interface {
	// Reserve waits until it has tokens or ctx ends. On any other error, the
	// request is refused.
	Reserve(ctx context.Context, organisation string, tokens conf.Tokens) (Reservation, error)
}

// WaitEstimator is implemented by a Limiter that can estimate the wait for
// tokens.
type WaitEstimator interface {
	// EstimateWait returns how long a request that costs tokens would wait for
	// them.
	EstimateWait(organisation string, tokens conf.Tokens) time.Duration
}

// unlimited is the default Limiter.
type unlimited struct{}

func (unlimited) Reserve(context.Context, string, conf.Tokens) (Reservation, error) {
	return unlimited{}, nil
}
func (unlimited) Commit() bool       { return true }
func (unlimited) Settle(conf.Tokens) {}

// LogRecord is one record of a log stream.
type LogRecord struct {
	Offset uint64
	Time   time.Time
	Data   []byte
}

// LogPage is a sequence of consecutive records. FirstOffset is the oldest
// offset that the stream retains; NextOffset is the offset of the next read.
type LogPage struct {
	Records                 []LogRecord
	FirstOffset, NextOffset uint64
}

// Log is the platform's log service.
type Log interface {
	// Append adds a record to a stream and returns its offset.
	Append(ctx context.Context, stream string, record []byte) (uint64, error)
	// Read returns records from an offset on. If there are none yet, it waits
	// for them up to wait.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (LogPage, error)
}

// DrainStatus tells which instances are draining.
type DrainStatus interface {
	// Draining reports whether the instance of an upstream is draining.
	Draining(upstream string) bool
}

// neverDraining is the default DrainStatus.
type neverDraining struct{}

func (neverDraining) Draining(string) bool { return false }

// Permits limits the rate of adapter loads across the fleet.
type Permits interface {
	// Acquire waits for the permit of one load.
	Acquire(ctx context.Context) error
}

// unlimitedPermits is the default Permits.
type unlimitedPermits struct{}

func (unlimitedPermits) Acquire(context.Context) error { return nil }

// Metrics counts events; *expvar.Map is one.
type Metrics interface {
	Add(name string, delta int64)
}

// noMetrics is the default Metrics.
type noMetrics struct{}

func (noMetrics) Add(string, int64) {}
