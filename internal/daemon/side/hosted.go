package side

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

type shardKey struct {
	organisation string
	index        uint32
}

type shardSize struct{ rate, burst conf.Tokens }

// shards holds the quota shards that this process hosts.
type shards struct {
	upstream string
	make     func(ShardConfig) Shard
	base     ShardConfig
	version  uint64
	filled   bool
	hosted   map[shardKey]Shard
	sizes    map[shardKey]shardSize
}

func newShards(config Config) *shards {
	return &shards{
		upstream: config.UpstreamID, make: config.NewShard,
		base:   ShardConfig{Lifetime: config.GrantLifetime, Margin: config.GrantMargin},
		hosted: map[shardKey]Shard{}, sizes: map[shardKey]shardSize{},
	}
}

// refresh brings the hosted shards in line with a configuration.
func (shards *shards) refresh(config *conf.Config) {
	if shards.make == nil || shards.filled && config.Version() == shards.version {
		return
	}
	shards.version, shards.filled = config.Version(), true
	wanted := map[shardKey]bool{}
	for _, organisation := range config.Organisations() {
		shards.host(wanted, organisation.Name, organisation.Shards, organisation.Rate, organisation.Burst)
	}
	fleet := config.Fleet()
	shards.host(wanted, LoadPermitOrganisation, fleet.LoadShards, conf.Tokens(fleet.LoadRateMilli), conf.Tokens(fleet.LoadBurst)*PermitCost)
	for key := range shards.hosted {
		if !wanted[key] {
			delete(shards.hosted, key)
			delete(shards.sizes, key)
		}
	}
}

// part returns a shard's part of a rate or burst. The parts add up to the whole.
func part(whole conf.Tokens, index, count int) conf.Tokens {
	share := whole / conf.Tokens(count)
	if conf.Tokens(index) < whole%conf.Tokens(count) {
		share++
	}
	return share
}

// host creates or resizes the shards of an organisation that are on this
// upstream.
func (shards *shards) host(wanted map[shardKey]bool, organisation string, hosts []string, rate, burst conf.Tokens) {
	now := time.Now()
	for index, upstream := range hosts {
		if upstream != shards.upstream {
			continue
		}
		key := shardKey{organisation, uint32(index)}
		size := shardSize{part(rate, index, len(hosts)), part(burst, index, len(hosts))}
		wanted[key] = true
		if shard, ok := shards.hosted[key]; !ok {
			config := shards.base
			config.Rate, config.Burst, config.Start = size.rate, size.burst, now
			shards.hosted[key] = shards.make(config)
		} else if shards.sizes[key] != size {
			shard.Resize(now, size.rate, size.burst)
		}
		shards.sizes[key] = size
	}
}

func (shards *shards) missing(organisation string) error {
	return fault.New(fault.NoUpstream, fault.NotRun, "this side process hosts no such shard of %q; read the configuration anew", organisation)
}
