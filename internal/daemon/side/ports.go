package side

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// ConfigSource gives the current configuration.
type ConfigSource interface {
	// Current is never nil and never goes back.
	Current() *conf.Config
	// Changed is closed at the next change.
	Changed() <-chan struct{}
	// ObserveVersion says that somebody showed this version.
	ObserveVersion(version uint64)
	// Isolated says that withdrawals may not reach this process.
	Isolated() bool
	// ConfirmedAge is the time since the configuration was known to be current.
	ConfirmedAge() time.Duration
}

// Reservation is what a request took from its organisation's tokens.
type Reservation interface {
	// Commit counts the request as dispatched now. It reports false when the
	// tokens have lapsed since they were taken.
	Commit() bool
	// Settle returns the tokens that were not used.
	Settle(used conf.Tokens)
}

// Limiter debits the tokens of organisations.
type Limiter interface {
	// Reserve waits until it has tokens or ctx ends. Any other error refuses the
	// request.
	Reserve(ctx context.Context, organisation string, tokens conf.Tokens) (Reservation, error)
}

// Estimator is implemented by a Limiter that knows how long tokens take.
type Estimator interface {
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

// LogPage is a run of records. First is the oldest offset that the stream
// still has; Next is the offset to read from next.
type LogPage struct {
	Records                 []LogRecord
	FirstOffset, NextOffset uint64
}

// Log is the platform's log service.
type Log interface {
	Append(ctx context.Context, stream string, record []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (LogPage, error)
}

// Roster knows which instances are leaving.
type Roster interface {
	Draining(upstream string) bool
}

// staying is the default Roster.
type staying struct{}

func (staying) Draining(string) bool { return false }

// Permits bounds adapter loads across the fleet.
type Permits interface {
	Acquire(ctx context.Context) error
}

// unbounded is the default Permits.
type unbounded struct{}

func (unbounded) Acquire(context.Context) error { return nil }

// Metrics counts events; *expvar.Map is one.
type Metrics interface {
	Add(name string, delta int64)
}

// uncounted is the default Metrics.
type uncounted struct{}

func (uncounted) Add(string, int64) {}
