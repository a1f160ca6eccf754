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

// limiter implements side.Limiter, side.WaitEstimator and side.Permits with one
// quota client for each organisation. The clients draw tokens from the shards,
// which the side processes host.
type limiter struct {
	components *components
	upstreamID string
	// server is the side process that the limiter belongs to.
	server *side.Server

	mu      sync.Mutex
	clients map[string]*clientEntry
}

// clientEntry is a quota client with the limits that were last set on it.
type clientEntry struct {
	client *quota.Client
	limits quotaLimits
}

// quotaLimits is the configured quota of an organisation or of the load permits.
type quotaLimits struct {
	rate  conf.Tokens // tokens per second
	burst conf.Tokens
	hosts []string // id of the upstream whose side process hosts each shard; empty if none does
}

func newLimiter(components *components, upstreamID string) *limiter {
	return &limiter{components: components, upstreamID: upstreamID, clients: map[string]*clientEntry{}}
}

// Reserve waits until it can reserve tokens of an organisation or ctx ends.
func (limiter *limiter) Reserve(ctx context.Context, organisation string, tokens conf.Tokens) (side.Reservation, error) {
	client, err := limiter.client(organisation)
	if err != nil {
		return nil, err
	}
	reserved, err := client.Reserve(ctx, tokens)
	if err != nil {
		return nil, err
	}
	return reservation{client: client, reserved: reserved}, nil
}

// Acquire waits for the permit for one adapter load. Without shards for load
// permits, loads are not limited.
func (limiter *limiter) Acquire(ctx context.Context) error {
	if len(limiter.components.syncer.Current().Fleet().LoadShards) == 0 {
		return nil
	}
	for {
		permit, err := limiter.Reserve(ctx, side.LoadPermitOrganisation, side.PermitCost)
		if err != nil {
			return err
		}
		committed := permit.Commit()
		if committed {
			permit.Settle(side.PermitCost)
			return nil
		}
		permit.Settle(0)
	}
}

// EstimateWait estimates how long a request that costs this many tokens would wait
// for them.
func (limiter *limiter) EstimateWait(organisation string, tokens conf.Tokens) time.Duration {
	client, err := limiter.client(organisation)
	if err != nil {
		return 0
	}
	return client.EstimateWait(tokens)
}

// close closes all quota clients, which returns their unused tokens.
func (limiter *limiter) close(ctx context.Context) {
	limiter.mu.Lock()
	entries := limiter.clients
	limiter.clients = map[string]*clientEntry{}
	limiter.mu.Unlock()
	var closing sync.WaitGroup
	for _, entry := range entries {
		closing.Go(func() { entry.client.Close(ctx) })
	}
	closing.Wait()
}

// client returns the quota client of an organisation with the current limits. It
// replaces the client if the number of shards has changed.
func (limiter *limiter) client(organisation string) (*quota.Client, error) {
	limits, ok := limiter.limits(organisation)
	if !ok {
		return nil, fault.New(fault.Unauthenticated, fault.NotRun, "organisation %q is not configured; use a valid key", organisation)
	}
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	entry, ok := limiter.clients[organisation]
	if !ok || len(entry.limits.hosts) != len(limits.hosts) {
		entry = &clientEntry{limits: limits, client: limiter.newClient(organisation, limits)}
		limiter.clients[organisation] = entry
		return entry.client, nil
	}
	if entry.limits.rate != limits.rate || entry.limits.burst != limits.burst {
		entry.client.Resize(limits.rate, limits.burst)
	}
	entry.limits = limits
	return entry.client, nil
}

func (limiter *limiter) newClient(organisation string, limits quotaLimits) *quota.Client {
	var localShards []int
	for index, host := range limits.hosts {
		if host == limiter.upstreamID {
			localShards = append(localShards, index)
		}
	}
	return quota.NewClient(quota.ClientConfig{
		Transport:   shardTransport{limiter: limiter, organisation: organisation},
		ShardCount:  len(limits.hosts),
		LocalShards: localShards,
		Rate:        limits.rate,
		Burst:       limits.burst,
		Seed:        xxh3.HashString(limiter.components.settings.Instance + organisation),
	})
}

// limits returns the current limits of an organisation, or of the load permits for
// side.LoadPermitOrganisation.
func (limiter *limiter) limits(organisation string) (quotaLimits, bool) {
	config := limiter.components.syncer.Current()
	if organisation == side.LoadPermitOrganisation {
		fleet := config.Fleet()
		return quotaLimits{
			rate: conf.Tokens(fleet.LoadRateMilli), burst: conf.Tokens(fleet.LoadBurst) * side.PermitCost, hosts: fleet.LoadShards,
		}, true
	}
	spec, ok := config.Organisation(organisation)
	return quotaLimits{rate: spec.Rate, burst: spec.Burst, hosts: spec.Shards}, ok
}

// reservation implements side.Reservation.
type reservation struct {
	client   *quota.Client
	reserved quota.Reservation
}

// Commit counts the request as dispatched now. It reports false if the reserved
// tokens have expired.
func (reservation reservation) Commit() bool { return reservation.client.Commit(reservation.reserved) }

// Settle returns the tokens that were not used.
func (reservation reservation) Settle(used conf.Tokens) {
	reservation.client.Settle(reservation.reserved, used)
}

// shardTransport implements quota.Transport for one organisation.
type shardTransport struct {
	limiter      *limiter
	organisation string
}

// Draw requests a grant of tokens from a shard.
func (transport shardTransport) Draw(ctx context.Context, shard int, want, least conf.Tokens) (quota.Grant, error) {
	request := &wirepb.DrawRequest{
		Organisation:  transport.organisation,
		Shard:         uint32(shard),
		Tokens:        int64(want),
		Least:         int64(least),
		ConfigVersion: transport.limiter.components.syncer.Current().Version(),
	}
	response, err := callShard(ctx, transport, shard, request, (*side.Server).Draw, wirepb.DRPCSideClient.Draw)
	if err != nil {
		return quota.Grant{}, err
	}
	transport.limiter.components.syncer.ObserveVersion(response.GetConfigVersion())
	return quota.Grant{
		ID:          response.GetGrantId(),
		Incarnation: response.GetIncarnation(),
		Tokens:      conf.Tokens(response.GetTokens()),
		Level:       conf.Tokens(response.GetLevel()),
		Lifetime:    time.Duration(response.GetLifetimeUs()) * time.Microsecond,
		RetryAfter:  time.Duration(response.GetRetryAfterUs()) * time.Microsecond,
	}, nil
}

// Return returns unused tokens of a grant to their shard.
func (transport shardTransport) Return(ctx context.Context, shard int, refund quota.Refund) error {
	request := &wirepb.ReturnRequest{
		Organisation: transport.organisation,
		Shard:        uint32(shard),
		GrantId:      refund.ID,
		Incarnation:  refund.Incarnation,
		Tokens:       int64(refund.Tokens),
		Settled:      refund.Settled,
	}
	_, err := callShard(ctx, transport, shard, request, (*side.Server).Return, wirepb.DRPCSideClient.Return)
	return err
}

// callShard calls the side process that hosts a shard, which may be this process.
func callShard[Request, Response any](
	ctx context.Context, transport shardTransport, shard int, request Request,
	local func(*side.Server, context.Context, Request) (Response, error),
	remote func(wirepb.DRPCSideClient, context.Context, Request) (Response, error),
) (Response, error) {
	var zero Response
	limits, ok := transport.limiter.limits(transport.organisation)
	if !ok || shard >= len(limits.hosts) || limits.hosts[shard] == "" {
		return zero, fault.New(fault.NoUpstream, fault.NotRun,
			"shard %d of %q has no host; attest with ended = true that its former side process has ended", shard, transport.organisation)
	}
	host := limits.hosts[shard]
	if host == transport.limiter.upstreamID {
		return local(transport.limiter.server, ctx, request)
	}
	components := transport.limiter.components
	instance, ok := components.roster.SideProcess(host)
	if !ok {
		return zero, fault.New(fault.NoUpstream, fault.NotRun, "the instance list has no side process for upstream %s; start it", host)
	}
	conn, err := components.pool.Get(ctx, instance.Address)
	if err != nil {
		return zero, err
	}
	defer conn.Release()
	return remote(wirepb.NewDRPCSideClient(conn), ctx, request)
}
