package patch

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// MaxShards is the largest number of quota shards of one organisation.
const MaxShards = 8

// loadShardSet names the set of quota shards for the fleet's adapter loads. It
// is hashed in place of an organisation's name.
const loadShardSet = "load-permits"

func compareHalfServices(left, right halfService) int {
	return cmp.Or(cmp.Compare(left.half, right.half), cmp.Compare(left.service, right.service))
}

// hostsShards reports whether any quota shard is assigned to the upstream.
func (draft *draft) hostsShards(upstream string) bool {
	if slices.Contains(draft.current().Fleet().LoadShards, upstream) {
		return true
	}
	for organisation := range draft.current().AllOrganisations() {
		if slices.Contains(organisation.Shards, upstream) {
			return true
		}
	}
	return false
}

// assignShards assigns shards to new organisations and moves the shards of ended
// upstreams. It never changes the number of an organisation's shards.
func (draft *draft) assignShards() {
	if len(draft.endedUpstreams) > 0 {
		draft.moveShards()
	}
	for _, name := range draft.createdOrganisations {
		organisation, ok := draft.current().Organisation(name)
		if !ok {
			continue
		}
		organisation.Shards = initialHosts(draft.current(), name)
		draft.editor.PutOrganisation(organisation)
	}
	fleet := draft.current().Fleet()
	if fleet.LoadRateMilli > 0 && len(fleet.LoadShards) == 0 {
		fleet.LoadShards = initialHosts(draft.current(), loadShardSet)
		draft.editor.PutFleet(fleet)
	}
}

func (draft *draft) moveShards() {
	for _, organisation := range draft.current().Organisations() {
		if shards, moved := draft.replaceEnded(organisation.Name, organisation.Shards); moved {
			organisation.Shards = shards
			draft.editor.PutOrganisation(organisation)
		}
	}
	fleet := draft.current().Fleet()
	if shards, moved := draft.replaceEnded(loadShardSet, fleet.LoadShards); moved {
		fleet.LoadShards = shards
		draft.editor.PutFleet(fleet)
	}
}

// replaceEnded replaces each ended upstream in a shard set with the upstream that
// hosts the fewest shards of the set, the first by rendezvous hashing if several
// do. It reports whether it changed anything.
func (draft *draft) replaceEnded(set string, shards []string) ([]string, bool) {
	if !slices.ContainsFunc(shards, func(host string) bool { return slices.Contains(draft.endedUpstreams, host) }) {
		return shards, false
	}
	ranked := rankUpstreams(draft.current(), set)
	if len(ranked) == 0 {
		return shards, false
	}
	moved := slices.Clone(shards)
	for index, host := range moved {
		if slices.Contains(draft.endedUpstreams, host) {
			moved[index] = leastUsed(ranked, moved)
		}
	}
	return moved, true
}

// leastUsed returns the first of the ranked upstreams that hosts the fewest
// shards.
func leastUsed(ranked, shards []string) string {
	counts := make(map[string]int, len(shards))
	for _, host := range shards {
		counts[host]++
	}
	return slices.MinFunc(ranked, func(left, right string) int {
		return cmp.Compare(counts[left], counts[right])
	})
}

// initialHosts returns the upstreams that host the shards of a new set: the
// first MaxShards by rendezvous hashing, or all if there are fewer.
func initialHosts(config *conf.Config, set string) []string {
	ranked := rankUpstreams(config, set)
	return slices.Clone(ranked[:min(MaxShards, len(ranked))])
}

// rankUpstreams returns the upstreams in the order of their rendezvous hashes
// for a shard set.
func rankUpstreams(config *conf.Config, set string) []string {
	type scored struct {
		id    string
		score uint64
	}
	var list []scored
	for upstream := range config.AllUpstreams() {
		list = append(list, scored{upstream.ID, xxh3.HashString(set + "\x00" + upstream.ID)})
	}
	slices.SortFunc(list, func(left, right scored) int {
		return cmp.Or(cmp.Compare(right.score, left.score), cmp.Compare(left.id, right.id))
	})
	ranked := make([]string, len(list))
	for index, entry := range list {
		ranked[index] = entry.id
	}
	return ranked
}
