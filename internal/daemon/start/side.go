package start

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"jacinthfront.dev/jacinthfront/internal/base/metric"
	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/daemon/side"
	"jacinthfront.dev/jacinthfront/internal/flow/fairq"
	"jacinthfront.dev/jacinthfront/internal/flow/quota"
	"jacinthfront.dev/jacinthfront/internal/flow/slots"
	"jacinthfront.dev/jacinthfront/internal/link/engine"
	"jacinthfront.dev/jacinthfront/internal/link/roster"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// Side starts a side process. It returns an error if the settings are invalid or a
// listener can't be opened.
func Side(settings setup.Side, environment Environment) (*Process, error) {
	components, err := newComponents(settings.Process, environment)
	if err != nil {
		return nil, err
	}
	limiter := newLimiter(components, settings.Upstream.ID)
	var server *side.Server
	client := engine.New(engine.Config{
		URL:          settings.Upstream.URL,
		HTTP:         environment.HTTP,
		FencingToken: func() uint64 { return server.FencingToken() },
	})
	server, err = newSide(settings, components, limiter, upstreamClient{client})
	if err != nil {
		components.close()
		return nil, err
	}
	limiter.server = server
	return runSide(components, server, limiter), nil
}

func newSide(settings setup.Side, components *components, limiter *limiter, upstream side.UpstreamClient) (*side.Server, error) {
	config := side.Config{
		UpstreamID:      settings.Upstream.ID,
		ConfigSource:    components.syncer,
		UpstreamClient:  upstream,
		Limiter:         limiter,
		Permits:         limiter,
		Log:             claimLog{components.log},
		DrainStatus:     drainStatus{components},
		NewShard:        newShard,
		Metrics:         metric.Map("side"),
		Logger:          components.logger,
		Queue:           fairq.Config{MaxRequests: settings.Queue.Requests, MaxTokens: conf.Tokens(settings.Queue.Tokens)},
		Slots:           slots.Config{Seed: settings.Seed},
		MaxRunning:      settings.Upstream.Concurrency,
		ClaimPartitions: settings.Claims.Partitions,
		ClaimWindow:     settings.Claims.Window,
		RequestTimeout:  settings.RequestLimit,
		DrainTimeout:    settings.Shutdown.DrainLimit,
	}
	if settings.Policy == "naive" {
		useNaivePolicy(&config)
	}
	return side.New(config)
}

func runSide(components *components, server *side.Server, limiter *limiter) *Process {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	drain := func(ctx context.Context) error {
		err := server.Drain(ctx)
		limiter.close(ctx)
		return err
	}
	ready := func() bool { return components.syncer.Current().Version() > 0 }
	process := &Process{
		components: components, cancel: cancel, drain: drain, ready: ready, done: make(chan struct{}),
		status: func() (string, any) { return roster.RoleSide, server.Status() },
	}
	components.run(ctx, group, func(mux drpc.Mux) error {
		if err := wirepb.DRPCRegisterSide(mux, server); err != nil {
			return err
		}
		return components.registerPeer(mux, process.status)
	})
	group.Go(func() error { return ignoreCancel(ctx, server.Serve(ctx)) })
	group.Go(func() error { return ignoreCancel(ctx, components.serveOperators(ctx, process)) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-server.Superseded():
			go func() { _ = process.Stop(context.Background()) }()
		}
		return nil
	})
	process.closeWhenDone(group)
	return process
}

// hostedShard implements side.Shard by a quota.Shard.
type hostedShard struct{ *quota.Shard }

// Draw grants tokens from the shard.
func (hosted hostedShard) Draw(now time.Time, want, least conf.Tokens) (side.Grant, bool) {
	grant, ok := hosted.Shard.Draw(now, want, least)
	return side.Grant{ID: grant.ID, Tokens: grant.Tokens, Level: grant.Level, RetryAfter: grant.RetryAfter}, ok
}

func newShard(config side.ShardConfig) side.Shard {
	return hostedShard{quota.NewShard(quota.ShardConfig(config))}
}
