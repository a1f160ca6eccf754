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
	upstream    string
	newShard    func(ShardConfig) Shard
	defaults    ShardConfig
	version     uint64
	initialised bool
	hosted      map[shardKey]Shard
	sizes       map[shardKey]shardSize
}

func newShards(config Config) *shards {
	return &shards{
		upstream: config.UpstreamID, newShard: config.NewShard,
		defaults: ShardConfig{Lifetime: config.GrantLifetime, Margin: config.GrantMargin},
		hosted:   map[shardKey]Shard{}, sizes: map[shardKey]shardSize{},
	}
}

// update makes the hosted shards match a configuration.
func (shards *shards) update(config *conf.Config) {
	if shards.newShard == nil || shards.initialised && config.Version() == shards.version {
		return
	}
	shards.version, shards.initialised = config.Version(), true
	wanted := map[shardKey]bool{}
	for _, organisation := range config.Organisations() {
		shards.updateOrganisation(wanted, organisation.Name, organisation.Shards, organisation.Rate, organisation.Burst)
	}
	fleet := config.Fleet()
	shards.updateOrganisation(wanted, LoadPermitOrganisation, fleet.LoadShards, conf.Tokens(fleet.LoadRateMilli), conf.Tokens(fleet.LoadBurst)*PermitCost)
	for key := range shards.hosted {
		if !wanted[key] {
			delete(shards.hosted, key)
			delete(shards.sizes, key)
		}
	}
}

// shardPortion returns one shard's portion of a rate or burst. The portions of
// all shards add up to the whole.
func shardPortion(whole conf.Tokens, index, count int) conf.Tokens {
	portion := whole / conf.Tokens(count)
	if conf.Tokens(index) < whole%conf.Tokens(count) {
		portion++
	}
	return portion
}

// updateOrganisation creates or resizes those shards of an organisation that
// are hosted at this upstream, and adds their keys to wanted.
func (shards *shards) updateOrganisation(wanted map[shardKey]bool, organisation string, hosts []string, rate, burst conf.Tokens) {
	now := time.Now()
	for index, upstream := range hosts {
		if upstream != shards.upstream {
			continue
		}
		key := shardKey{organisation, uint32(index)}
		size := shardSize{shardPortion(rate, index, len(hosts)), shardPortion(burst, index, len(hosts))}
		wanted[key] = true
		if shard, ok := shards.hosted[key]; !ok {
			config := shards.defaults
			config.Rate, config.Burst, config.Start = size.rate, size.burst, now
			shards.hosted[key] = shards.newShard(config)
		} else if shards.sizes[key] != size {
			shard.Resize(now, size.rate, size.burst)
		}
		shards.sizes[key] = size
	}
}

func (shards *shards) errNotHosted(organisation string) error {
	return fault.New(fault.NoUpstream, fault.NotRun, "this side process hosts no such shard of %q; read the configuration anew", organisation)
}
