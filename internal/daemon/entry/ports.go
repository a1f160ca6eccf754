// Package entry is the entry instance: the HTTP interface to callers, the
// choice of an upstream, relaying, retries and shutdown.
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
	// Isolated reports whether withdrawals may not reach this instance.
	Isolated() bool
	// ObserveVersion says that another process has shown this version.
	ObserveVersion(version uint64)
}

// Instance is the side process of an upstream as the instance list shows it.
type Instance struct {
	Address  string
	Draining bool
}

// InstanceSource provides the side processes.
type InstanceSource interface {
	// SideProcess returns the side process of an upstream.
	SideProcess(upstream string) (Instance, bool)
	// CountEntries returns the number of live entry instances.
	CountEntries() int
}

// Admission limits organisations at the entry instance.
type Admission interface {
	// Admit takes tokens or returns the time after which to come back. The
	// number of live entry instances divides the organisation's rate.
	Admit(now time.Time, entries int, organisation conf.OrganisationSpec, tokens conf.Tokens) (time.Duration, bool)
}

// Conn carries one call to a side process.
type Conn interface {
	drpc.Conn
	// Release gives the connection back.
	Release()
}

// SideDialer opens calls to side processes.
type SideDialer interface {
	Open(ctx context.Context, address string) (Conn, error)
}

// RetryBudget bounds the retries.
type RetryBudget interface {
	// RecordRequest counts a request.
	RecordRequest()
	// Allow takes a retry from the budget if one is left.
	Allow() bool
	// Backoff returns the jittered pause before the given retry, from 1.
	Backoff(retry int) time.Duration
}

// Health records the results of requests to the upstreams of one service.
type Health interface {
	policy.Health
	// SetUpstreams sets the upstreams of the service.
	SetUpstreams(upstreams []string)
	// RecordSuccess records an answer.
	RecordSuccess(upstream string)
	// RecordFailure records a lost or failed answer, and reports whether it ejects
	// the upstream.
	RecordFailure(upstream string) bool
}

// Counters counts events by kebab-case names. *expvar.Map implements it.
type Counters interface {
	Add(name string, delta int64)
}

// openAdmission leaves limits to the side processes.
type openAdmission struct{}

func (openAdmission) Admit(time.Time, int, conf.OrganisationSpec, conf.Tokens) (time.Duration, bool) {
	return 0, true
}

type freeBudget struct{}

func (freeBudget) RecordRequest()            {}
func (freeBudget) Allow() bool               { return true }
func (freeBudget) Backoff(int) time.Duration { return 10 * time.Millisecond }

type noHealth struct{ policy.NoEjection }

func (noHealth) SetUpstreams([]string)     {}
func (noHealth) RecordSuccess(string)      {}
func (noHealth) RecordFailure(string) bool { return false }

type noCounters struct{}

func (noCounters) Add(string, int64) {}
