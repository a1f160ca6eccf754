package side

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// LoadPermitOrganisation stands in place of an organisation's name when the
	// fleet's load permits are drawn.
	LoadPermitOrganisation = "load-permits"
	// PermitCost is the number of tokens that one load costs, since the rate of
	// loads is configured per 1,000 s.
	PermitCost conf.Tokens = 1000
)

// ShardConfig configures a quota shard. Rate is in tokens per second.
type ShardConfig struct {
	Rate     conf.Tokens
	Burst    conf.Tokens
	Lifetime time.Duration
	Margin   time.Duration
	Start    time.Time
}

// Grant is the result of a draw from a Shard.
type Grant struct {
	ID         uint64
	Tokens     conf.Tokens
	Level      conf.Tokens
	RetryAfter time.Duration
}

// Shard is one shard of an organisation's quota.
type Shard interface {
	// Draw grants up to want tokens, or none if fewer than least are available,
	// and reports whether it granted any.
	Draw(now time.Time, want, least conf.Tokens) (Grant, bool)
	// Return refunds tokens of a grant and returns how many of them are
	// credited. tokens is the total refunded for the grant so far; settled says
	// that nothing of it will be spent any more.
	Return(now time.Time, id uint64, tokens conf.Tokens, settled bool) conf.Tokens
	// Resize changes rate and burst.
	Resize(now time.Time, rate, burst conf.Tokens)
}

// Draw implements wirepb.DRPCSideServer.
func (server *Server) Draw(ctx context.Context, request *wirepb.DrawRequest) (*wirepb.DrawResponse, error) {
	if err := server.awaitConfig(ctx, &wirepb.RunRequest{ConfigVersion: request.GetConfigVersion()}); err != nil {
		return nil, err
	}
	config := server.current()
	response := &wirepb.DrawResponse{ConfigVersion: config.Version(), Incarnation: server.config.Incarnation}
	server.mu.Lock()
	defer server.mu.Unlock()
	if refusal := server.checkSuperseded(); refusal != nil {
		return nil, refusal
	}
	server.shards.update(config)
	shard, ok := server.shards.hosted[shardKey{request.GetOrganisation(), request.GetShard()}]
	if !ok {
		return nil, server.shards.errNotHosted(request.GetOrganisation())
	}
	grant, _ := shard.Draw(time.Now(), conf.Tokens(request.GetTokens()), conf.Tokens(request.GetLeast()))
	response.GrantId, response.Tokens = grant.ID, int64(grant.Tokens)
	response.Level = int64(grant.Level)
	response.LifetimeUs = server.config.GrantLifetime.Microseconds()
	response.RetryAfterUs = grant.RetryAfter.Microseconds()
	return response, nil
}

// Return implements wirepb.DRPCSideServer. Tokens of grants of another
// incarnation are not credited.
func (server *Server) Return(_ context.Context, request *wirepb.ReturnRequest) (*wirepb.ReturnResponse, error) {
	if request.GetIncarnation() != server.config.Incarnation {
		return &wirepb.ReturnResponse{}, nil
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	shard, ok := server.shards.hosted[shardKey{request.GetOrganisation(), request.GetShard()}]
	if !ok {
		return &wirepb.ReturnResponse{}, nil
	}
	credited := shard.Return(time.Now(), request.GetGrantId(), conf.Tokens(request.GetTokens()), request.GetSettled())
	return &wirepb.ReturnResponse{Credited: int64(credited)}, nil
}
