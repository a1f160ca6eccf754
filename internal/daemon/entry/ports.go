// Package entry implements the entry instance that reaches upstreams through
// their side processes: the HTTP interface to callers, the choice of an upstream,
// forwarding, retries and drain. The entry instance that reaches engines directly
// is in package relay.
package entry

import (
	"context"
	"time"

	"storj.io/drpc"

	"jacinthfront.dev/jacinthfront/internal/flow/policy"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	// Current returns the newest configuration, never nil.
	Current() *conf.Config
	// Isolated reports whether this instance may have missed withdrawals of keys.
	Isolated() bool
	// ObserveVersion records that another process has shown this configuration
	// version.
	ObserveVersion(version uint64)
}

// Instance is the side process of an upstream as the instance list shows it.
type Instance struct {
	Address  string
	Draining bool
}

// InstanceSource provides the instance list.
type InstanceSource interface {
	// SideProcess returns the side process of an upstream, and whether it is listed.
	SideProcess(upstream string) (Instance, bool)
	// CountEntries returns the number of live entry instances.
	CountEntries() int
}

// Admission limits the rates of organisations at the entry instance.
type Admission interface {
	// Admit takes tokens from the organisation's rate, or returns the time after
	// which to retry and false. The number of live entry instances divides the rate.
	Admit(now time.Time, entries int, organisation conf.OrganisationSpec, tokens conf.Tokens) (time.Duration, bool)
}

// Conn is a connection that carries one call to a side process.
type Conn interface {
	drpc.Conn
	// Release returns the connection for reuse.
	Release()
}

// SideDialer opens connections to side processes.
type SideDialer interface {
	Dial(ctx context.Context, address string) (Conn, error)
}

// RetryBudget bounds the number of retries and sets their backoff.
type RetryBudget interface {
	// RecordRequest counts a request, which adds to the budget.
	RecordRequest()
	// Allow takes a retry from the budget and reports whether one was left.
	Allow() bool
	// Backoff returns the jittered backoff before a retry, counted from 1.
	Backoff(retry int) time.Duration
}

// HealthTracker records the results of requests to the upstreams of one service.
type HealthTracker interface {
	policy.Health
	// SetUpstreams sets the upstreams of the service.
	SetUpstreams(upstreams []string)
	// RecordSuccess records a complete response.
	RecordSuccess(upstream string)
	// RecordFailure records a lost or failed response, and reports whether it ejects
	// the upstream.
	RecordFailure(upstream string) bool
}

// Counters counts events by kebab-case names. *expvar.Map implements it.
type Counters interface {
	Add(name string, delta int64)
}

// admitAll leaves the rate limits to the side processes.
type admitAll struct{}

func (admitAll) Admit(time.Time, int, conf.OrganisationSpec, conf.Tokens) (time.Duration, bool) {
	return 0, true
}

type unlimitedRetries struct{}

func (unlimitedRetries) RecordRequest()            {}
func (unlimitedRetries) Allow() bool               { return true }
func (unlimitedRetries) Backoff(int) time.Duration { return 10 * time.Millisecond }

type noHealth struct{ policy.NoEjection }

func (noHealth) SetUpstreams([]string)     {}
func (noHealth) RecordSuccess(string)      {}
func (noHealth) RecordFailure(string) bool { return false }

type noCounters struct{}

func (noCounters) Add(string, int64) {}
