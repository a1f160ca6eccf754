package side

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// LoadPermitOrganisation is the name under which the fleet's load permits are drawn. One
// load costs PermitCost tokens, since its rate is configured per 1,000 s.
const (
	LoadPermitOrganisation             = "load-permits"
	PermitCost             conf.Tokens = 1000
)

// ShardConfig sets up a quota shard. Rate is in tokens per second.
type ShardConfig struct {
	Rate     conf.Tokens
	Burst    conf.Tokens
	Lifetime time.Duration
	Margin   time.Duration
	Start    time.Time
}

// Grant is the answer of a Shard to a draw.
type Grant struct {
	ID         uint64
	Tokens     conf.Tokens
	Level      conf.Tokens
	RetryAfter time.Duration
}

// Shard is one shard of an organisation's quota.
type Shard interface {
	Draw(now time.Time, want, least conf.Tokens) (Grant, bool)
	Return(now time.Time, id uint64, tokens conf.Tokens, settled bool) conf.Tokens
	Resize(now time.Time, rate, burst conf.Tokens)
}

// Draw implements wirepb.DRPCSideServer.
func (server *Server) Draw(ctx context.Context, request *wirepb.DrawRequest) (*wirepb.DrawResponse, error) {
	if err := server.freshen(ctx, &wirepb.RunRequest{ConfigVersion: request.GetConfigVersion()}); err != nil {
		return nil, err
	}
	config := server.current()
	response := &wirepb.DrawResponse{ConfigVersion: config.Version(), Incarnation: server.config.Incarnation}
	server.mu.Lock()
	defer server.mu.Unlock()
	if refusal := server.gateSuccession(); refusal != nil {
		return nil, refusal
	}
	server.shards.refresh(config)
	shard, ok := server.shards.hosted[shardKey{request.GetOrganisation(), request.GetShard()}]
	if !ok {
		return nil, server.shards.missing(request.GetOrganisation())
	}
	grant, _ := shard.Draw(time.Now(), conf.Tokens(request.GetTokens()), conf.Tokens(request.GetLeast()))
	response.GrantId, response.Tokens = grant.ID, int64(grant.Tokens)
	response.Level = int64(grant.Level)
	response.LifetimeUs = server.config.GrantLifetime.Microseconds()
	response.RetryAfterUs = grant.RetryAfter.Microseconds()
	return response, nil
}

// Return implements wirepb.DRPCSideServer. Grants of another incarnation are
// not credited.
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
