package start

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/daemon/side"
	"jacinthfront.dev/jacinthfront/internal/flow/quota"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// limiter implements side.Limiter and side.Permits with one wallet for each
// organisation. The wallets draw from the shards at all side processes.
type limiter struct {
	parts    *parts
	upstream string
	// own is the side process that the limiter belongs to.
	own *side.Server

	mu      sync.Mutex
	wallets map[string]*walletEntry
}

// walletEntry is a wallet with the limits that it was given last.
type walletEntry struct {
	wallet *quota.Client
	limits limits
}

// limits is the configured quota of an organisation or of the load permits.
type limits struct {
	rate  conf.Tokens
	burst conf.Tokens
	hosts []string
}

func newLimiter(parts *parts, upstream string) *limiter {
	return &limiter{parts: parts, upstream: upstream, wallets: map[string]*walletEntry{}}
}

// Reserve waits for tokens of an organisation.
func (limiter *limiter) Reserve(ctx context.Context, organisation string, tokens conf.Tokens) (side.Reservation, error) {
	wallet, err := limiter.wallet(organisation)
	if err != nil {
		return nil, err
	}
	taken, err := wallet.Reserve(ctx, tokens)
	if err != nil {
		return nil, err
	}
	return debit{wallet: wallet, taken: taken}, nil
}

// Acquire takes the permit for one adapter load.
func (limiter *limiter) Acquire(ctx context.Context) error {
	if len(limiter.parts.syncer.Current().Fleet().LoadShards) == 0 {
		return nil
	}
	for {
		permit, err := limiter.Reserve(ctx, side.LoadPermitOrganisation, side.PermitCost)
		if err != nil {
			return err
		}
		started := permit.Commit()
		if started {
			permit.Settle(side.PermitCost)
			return nil
		}
		permit.Settle(0)
	}
}

// EstimateWait returns how long a request of this cost would wait for tokens.
func (limiter *limiter) EstimateWait(organisation string, tokens conf.Tokens) time.Duration {
	wallet, err := limiter.wallet(organisation)
	if err != nil {
		return 0
	}
	return wallet.EstimateWait(tokens)
}

func (limiter *limiter) close(ctx context.Context) {
	limiter.mu.Lock()
	entries := limiter.wallets
	limiter.wallets = map[string]*walletEntry{}
	limiter.mu.Unlock()
	var closing sync.WaitGroup
	for _, entry := range entries {
		closing.Go(func() { entry.wallet.Close(ctx) })
	}
	closing.Wait()
}

func (limiter *limiter) wallet(organisation string) (*quota.Client, error) {
	limits, ok := limiter.limits(organisation)
	if !ok {
		return nil, fault.New(fault.Unauthenticated, fault.NotRun, "organisation %q is not configured; use a valid key", organisation)
	}
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	found, ok := limiter.wallets[organisation]
	if !ok || len(found.limits.hosts) != len(limits.hosts) {
		found = &walletEntry{limits: limits, wallet: limiter.newWallet(organisation, limits)}
		limiter.wallets[organisation] = found
		return found.wallet, nil
	}
	if found.limits.rate != limits.rate || found.limits.burst != limits.burst {
		found.wallet.Resize(limits.rate, limits.burst)
	}
	found.limits = limits
	return found.wallet, nil
}

func (limiter *limiter) newWallet(organisation string, limits limits) *quota.Client {
	var own []int
	for index, host := range limits.hosts {
		if host == limiter.upstream {
			own = append(own, index)
		}
	}
	return quota.NewClient(quota.ClientConfig{
		Transport:   shardSource{limiter: limiter, organisation: organisation},
		ShardCount:  len(limits.hosts),
		LocalShards: own,
		Rate:        limits.rate,
		Burst:       limits.burst,
		Seed:        xxh3.HashString(limiter.parts.settings.Instance + organisation),
	})
}

func (limiter *limiter) limits(organisation string) (limits, bool) {
	config := limiter.parts.syncer.Current()
	if organisation == side.LoadPermitOrganisation {
		fleet := config.Fleet()
		return limits{
			rate: conf.Tokens(fleet.LoadRateMilli), burst: conf.Tokens(fleet.LoadBurst) * side.PermitCost, hosts: fleet.LoadShards,
		}, true
	}
	spec, ok := config.Organisation(organisation)
	return limits{rate: spec.Rate, burst: spec.Burst, hosts: spec.Shards}, ok
}

// debit implements side.Debit.
type debit struct {
	wallet *quota.Client
	taken  quota.Reservation
}

// Commit counts the request as dispatched now.
func (debit debit) Commit() bool { return debit.wallet.Commit(debit.taken) }

// Settle returns the tokens that were not used.
func (debit debit) Settle(used conf.Tokens) { debit.wallet.Settle(debit.taken, used) }

// shardSource implements quota.Source for one organisation.
type shardSource struct {
	limiter      *limiter
	organisation string
}

// Draw asks a shard for tokens.
func (source shardSource) Draw(ctx context.Context, shard int, want, least conf.Tokens) (quota.Grant, error) {
	request := &wirepb.DrawRequest{
		Organisation:  source.organisation,
		Shard:         uint32(shard),
		Tokens:        int64(want),
		Least:         int64(least),
		ConfigVersion: source.limiter.parts.syncer.Current().Version(),
	}
	response, err := call(ctx, source, shard, request, (*side.Server).Draw, wirepb.DRPCSideClient.Draw)
	if err != nil {
		return quota.Grant{}, err
	}
	source.limiter.parts.syncer.ObserveVersion(response.GetConfigVersion())
	return quota.Grant{
		ID:          response.GetGrantId(),
		Incarnation: response.GetIncarnation(),
		Tokens:      conf.Tokens(response.GetTokens()),
		Level:       conf.Tokens(response.GetLevel()),
		Lifetime:    time.Duration(response.GetLifetimeUs()) * time.Microsecond,
		RetryAfter:  time.Duration(response.GetRetryAfterUs()) * time.Microsecond,
	}, nil
}

// Return gives tokens of a grant back.
func (source shardSource) Return(ctx context.Context, shard int, refund quota.Refund) error {
	request := &wirepb.ReturnRequest{
		Organisation: source.organisation,
		Shard:        uint32(shard),
		GrantId:      refund.ID,
		Incarnation:  refund.Incarnation,
		Tokens:       int64(refund.Tokens),
		Settled:      refund.Settled,
	}
	_, err := call(ctx, source, shard, request, (*side.Server).Return, wirepb.DRPCSideClient.Return)
	return err
}

// call reaches the host of a shard, which may be this process.
func call[Request, Response any](
	ctx context.Context, source shardSource, shard int, request Request,
	local func(*side.Server, context.Context, Request) (Response, error),
	remote func(wirepb.DRPCSideClient, context.Context, Request) (Response, error),
) (Response, error) {
	var none Response
	limits, ok := source.limiter.limits(source.organisation)
	if !ok || shard >= len(limits.hosts) || limits.hosts[shard] == "" {
		return none, fault.New(fault.NoUpstream, fault.NotRun,
			"shard %d of %q has no host; attest with ended = true that its former side process has ended", shard, source.organisation)
	}
	host := limits.hosts[shard]
	if host == source.limiter.upstream {
		return local(source.limiter.own, ctx, request)
	}
	parts := source.limiter.parts
	instance, ok := parts.roster.SideProcess(host)
	if !ok {
		return none, fault.New(fault.NoUpstream, fault.NotRun, "the instance list has no side process for upstream %s; start it", host)
	}
	conn, err := parts.pool.Get(ctx, instance.Address)
	if err != nil {
		return none, err
	}
	defer conn.Release()
	return remote(wirepb.NewDRPCSideClient(conn), ctx, request)
}
