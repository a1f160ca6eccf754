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

// Entry starts an entry instance. It returns an error if the settings are invalid
// or a listener can't be opened.
func Entry(settings setup.Entry, environment Environment) (*Process, error) {
	components, err := newComponents(settings.Process, environment)
	if err != nil {
		return nil, err
	}
	callers, err := components.bind("listen.callers", settings.Listen.Callers)
	if err != nil {
		components.close()
		return nil, err
	}
	instance, err := newEntry(settings, components)
	if err != nil {
		_ = callers.Close()
		components.close()
		return nil, err
	}
	return runEntry(components, instance, callers), nil
}

func newEntry(settings setup.Entry, components *components) (*entry.Entry, error) {
	limits := entry.DefaultLimits()
	limits.MaxBodyBytes = settings.Limits.BodyBytes
	limits.MaxHeaderBytes = settings.Limits.HeaderBytes
	limits.HeaderTimeout = settings.Limits.HeaderTime
	limits.BodyTimeout = settings.Limits.BodyTime
	limits.MaxInFlight = settings.Limits.InFlight
	limits.RequestTimeout = settings.Limits.RequestLimit
	limits.DrainTimeout = settings.Shutdown.DrainLimit
	budget, err := retry.New(retry.Config{Seed: routingSeed(settings)})
	if err != nil {
		return nil, err
	}
	return entry.New(entry.Config{
		ConfigSource:   components.syncer,
		InstanceSource: instanceSource{components},
		Authenticate: func(config *conf.Config, key string) (conf.KeySpec, error) {
			return creds.Authenticate(config, key)
		},
		SideDialer:  sideDialer{components},
		NewPolicy:   newPolicy(settings, components),
		NewHealth:   newHealth,
		RetryBudget: budget,
		Admission:   newAdmission(settings.Routing.Policy),
		Logger:      components.logger,
		Counters:    metric.Map("entry"),
		Limits:      limits,
	})
}

func runEntry(components *components, instance *entry.Entry, callers net.Listener) *Process {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	process := &Process{
		components: components, cancel: cancel, drain: instance.Drain, ready: instance.Ready, done: make(chan struct{}),
		status: func() (string, any) { return roster.RoleEntry, newEntryDetail(instance.Ready()) },
	}
	components.run(ctx, group, func(mux drpc.Mux) error {
		return components.registerPeer(mux, process.status)
	})
	group.Go(func() error { return ignoreCancel(ctx, instance.Serve(ctx, callers)) })
	group.Go(func() error { return ignoreCancel(ctx, components.serveOperators(ctx, process)) })
	process.closeWhenDone(group)
	return process
}

// newPolicy returns a function that creates the routing policy of a service as the
// settings say.
func newPolicy(settings setup.Entry, components *components) func(string, bool, policy.Health) policy.Policy {
	return func(service string, _ bool, health policy.Health) policy.Policy {
		if settings.Routing.Policy == "naive" {
			return policy.NewRoundRobin(health)
		}
		router, err := policy.New(policy.Config{
			Weights:       policy.Profiles[settings.Routing.Profile](),
			FailureDomain: settings.FailureDomain,
			Health:        health,
			Seed:          routingSeed(settings) + xxh3.HashString(service),
		})
		if err != nil {
			// This can't happen: the weights of all profiles are valid constants.
			components.logger.Error("route: invalid weights, falling back to round robin", zap.Error(err))
			return policy.NewRoundRobin(health)
		}
		return router
	}
}

// routingSeed returns the seed of the settings, or a random one if they have none.
func routingSeed(settings setup.Entry) uint64 {
	if settings.Routing.Seed != 0 {
		return settings.Routing.Seed
	}
	return rand.Uint64()
}

// entryDetail holds the details of an entry instance's status.
type entryDetail struct {
	Ready bool `json:"ready"`
	// Counters holds the metrics of the entry instance, including its refusals by
	// kind.
	Counters json.RawMessage `json:"counters"`
}

func newEntryDetail(ready bool) entryDetail {
	return entryDetail{Ready: ready, Counters: json.RawMessage(metric.Map("entry").String())}
}

// instanceSource implements entry.InstanceSource by the instance list.
type instanceSource struct{ components *components }

// SideProcess returns the side process of an upstream.
func (source instanceSource) SideProcess(upstream string) (entry.Instance, bool) {
	instance, ok := source.components.roster.SideProcess(upstream)
	return entry.Instance{Address: instance.Address, Draining: instance.Draining}, ok
}

// CountEntries returns the number of entry instances that aren't draining, and at
// least 1.
func (source instanceSource) CountEntries() int {
	count := 0
	for _, instance := range source.components.roster.Instances() {
		if instance.Role == roster.RoleEntry && !instance.Draining {
			count++
		}
	}
	return max(count, 1)
}

// sideDialer implements entry.SideDialer by the connection pool.
type sideDialer struct{ components *components }

// Dial returns a connection for calls to a side process.
func (dialer sideDialer) Dial(ctx context.Context, address string) (entry.Conn, error) {
	conn, err := dialer.components.pool.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	return conn, nil
}
