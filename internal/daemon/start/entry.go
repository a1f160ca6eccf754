package start

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"

	"github.com/zeebo/xxh3"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"jacinthfront.dev/jacinthfront/internal/base/metric"
	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/daemon/entry"
	"jacinthfront.dev/jacinthfront/internal/flow/policy"
	"jacinthfront.dev/jacinthfront/internal/flow/retry"
	"jacinthfront.dev/jacinthfront/internal/link/roster"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/creds"
)

// Entry starts an entry instance.
func Entry(settings setup.Entry, environment Environment) (*Process, error) {
	parts, err := newParts(settings.Process, environment)
	if err != nil {
		return nil, err
	}
	callers, err := parts.bind("listen.callers", settings.Listen.Callers)
	if err != nil {
		parts.close()
		return nil, err
	}
	built, err := newEntry(settings, parts)
	if err != nil {
		_ = callers.Close()
		parts.close()
		return nil, err
	}
	return runEntry(parts, built, callers), nil
}

func newEntry(settings setup.Entry, parts *parts) (*entry.Entry, error) {
	limits := entry.DefaultLimits()
	limits.MaxBodyBytes = settings.Limits.BodyBytes
	limits.MaxHeaderBytes = settings.Limits.HeaderBytes
	limits.HeaderTimeout = settings.Limits.HeaderTime
	limits.BodyTimeout = settings.Limits.BodyTime
	limits.MaxInFlight = settings.Limits.InFlight
	limits.RequestTimeout = settings.Limits.RequestLimit
	limits.DrainTimeout = settings.Shutdown.DrainLimit
	budget, err := retry.New(retry.Config{Seed: routeSeed(settings)})
	if err != nil {
		return nil, err
	}
	return entry.New(entry.Config{
		ConfigSource:   parts.syncer,
		InstanceSource: entryRoster{parts},
		Authenticate: func(config *conf.Config, key string) (conf.KeySpec, error) {
			return creds.Authenticate(config, key)
		},
		SideDialer:  sides{parts},
		NewPolicy:   newPolicy(settings, parts),
		NewHealth:   newHealth,
		RetryBudget: budget,
		Admission:   newAdmission(settings.Routing.Policy),
		Logger:      parts.logger,
		Counters:    metric.Map("entry"),
		Limits:      limits,
	})
}

func runEntry(parts *parts, built *entry.Entry, callers net.Listener) *Process {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	process := &Process{
		parts: parts, serve: cancel, drain: built.Drain, ready: built.Ready, done: make(chan struct{}),
		status: func() (string, any) { return roster.RoleEntry, entryStatus(built.Ready()) },
	}
	parts.run(ctx, group, func(mux drpc.Mux) error {
		return parts.registerPeer(mux, process.status)
	})
	group.Go(func() error { return ended(ctx, built.Serve(ctx, callers)) })
	group.Go(func() error { return ended(ctx, parts.serveOperators(ctx, process)) })
	process.watch(group)
	return process
}

// newPolicy returns the policy of each service by the settings.
func newPolicy(settings setup.Entry, parts *parts) func(string, bool, policy.Health) policy.Policy {
	return func(service string, _ bool, health policy.Health) policy.Policy {
		if settings.Routing.Policy == "naive" {
			return policy.NewRoundRobin(health)
		}
		router, err := policy.New(policy.Config{
			Weights:       policy.Profiles[settings.Routing.Profile](),
			FailureDomain: settings.FailureDomain,
			Health:        health,
			Seed:          routeSeed(settings) + xxh3.HashString(service),
		})
		if err != nil {
			// The profiles' weights are constants that pass every check.
			parts.logger.Error("route: weights refused, routing in rotation", zap.Error(err))
			return policy.NewRoundRobin(health)
		}
		return router
	}
}

func routeSeed(settings setup.Entry) uint64 {
	if settings.Routing.Seed != 0 {
		return settings.Routing.Seed
	}
	return rand.Uint64()
}

// entryDetail is the detail of an entry instance's status.
type entryDetail struct {
	Ready bool `json:"ready"`
	// Counters holds the entry instance's metrics, refusals by kind among them.
	Counters json.RawMessage `json:"counters"`
}

func entryStatus(ready bool) entryDetail {
	return entryDetail{Ready: ready, Counters: json.RawMessage(metric.Map("entry").String())}
}

// entryRoster implements entry.Roster.
type entryRoster struct{ parts *parts }

// SideProcess returns the side process of an upstream.
func (list entryRoster) SideProcess(upstream string) (entry.Instance, bool) {
	instance, ok := list.parts.roster.SideProcess(upstream)
	return entry.Instance{Address: instance.Address, Draining: instance.Draining}, ok
}

// CountEntries returns the number of live entry instances.
func (list entryRoster) CountEntries() int {
	count := 0
	for _, instance := range list.parts.roster.Instances() {
		if instance.Role == roster.RoleEntry && !instance.Draining {
			count++
		}
	}
	return max(count, 1)
}

// sides implements entry.Sides.
type sides struct{ parts *parts }

// Open returns a connection for calls to a side process.
func (sides sides) Open(ctx context.Context, address string) (entry.Conn, error) {
	conn, err := sides.parts.pool.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	return conn, nil
}
