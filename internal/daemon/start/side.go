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

// Side starts a side process.
func Side(settings setup.Side, environment Environment) (*Process, error) {
	parts, err := newParts(settings.Process, environment)
	if err != nil {
		return nil, err
	}
	limiter := newLimiter(parts, settings.Upstream.ID)
	var server *side.Server
	client := engine.New(engine.Config{
		URL:          settings.Upstream.URL,
		HTTP:         environment.HTTP,
		FencingToken: func() uint64 { return server.FencingToken() },
	})
	server, err = newSide(settings, parts, limiter, upstream{client})
	if err != nil {
		parts.close()
		return nil, err
	}
	limiter.own = server
	return runSide(parts, server, limiter), nil
}

func newSide(settings setup.Side, parts *parts, limiter *limiter, upstream side.UpstreamClient) (*side.Server, error) {
	config := side.Config{
		UpstreamID:      settings.Upstream.ID,
		ConfigSource:    parts.syncer,
		UpstreamClient:  upstream,
		Limiter:         limiter,
		Permits:         limiter,
		Log:             claimLog{parts.log},
		Roster:          leavingList{parts},
		NewShard:        newShard,
		Metrics:         metric.Map("side"),
		Logger:          parts.logger,
		Queue:           fairq.Config{MaxRequests: settings.Queue.Requests, MaxTokens: conf.Tokens(settings.Queue.Tokens)},
		Slots:           slots.Config{Seed: settings.Seed},
		MaxRunning:      settings.Upstream.Concurrency,
		ClaimPartitions: settings.Claims.Partitions,
		ClaimWindow:     settings.Claims.Window,
		RequestTimeout:  settings.RequestLimit,
		DrainTimeout:    settings.Shutdown.DrainLimit,
	}
	if settings.Policy == "naive" {
		useNaive(&config)
	}
	return side.New(config)
}

func runSide(parts *parts, server *side.Server, limiter *limiter) *Process {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	drain := func(ctx context.Context) error {
		err := server.Drain(ctx)
		limiter.close(ctx)
		return err
	}
	ready := func() bool { return parts.syncer.Current().Version() > 0 }
	process := &Process{
		parts: parts, serve: cancel, drain: drain, ready: ready, done: make(chan struct{}),
		status: func() (string, any) { return roster.RoleSide, server.Status() },
	}
	parts.run(ctx, group, func(mux drpc.Mux) error {
		if err := wirepb.DRPCRegisterSide(mux, server); err != nil {
			return err
		}
		return parts.registerPeer(mux, process.status)
	})
	group.Go(func() error { return ended(ctx, server.Serve(ctx)) })
	group.Go(func() error { return ended(ctx, parts.serveOperators(ctx, process)) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-server.Superseded():
			go func() { _ = process.Stop(context.Background()) }()
		}
		return nil
	})
	process.watch(group)
	return process
}

// hostedShard implements side.Shard.
type hostedShard struct{ *quota.Shard }

// Draw grants tokens.
func (hosted hostedShard) Draw(now time.Time, want, least conf.Tokens) (side.Grant, bool) {
	grant, ok := hosted.Shard.Draw(now, want, least)
	return side.Grant{ID: grant.ID, Tokens: grant.Tokens, Level: grant.Level, RetryAfter: grant.RetryAfter}, ok
}

func newShard(config side.ShardConfig) side.Shard {
	return hostedShard{quota.NewShard(quota.ShardConfig(config))}
}
