package patch

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// MaxShards bounds the quota shards of one organisation.
const MaxShards = 8

// loadPermits names the quota shard set of the fleet's adapter loads.
const loadPermits = "load-permits"

func compareServed(left, right served) int {
	return cmp.Or(cmp.Compare(left.half, right.half), cmp.Compare(left.service, right.service))
}

// hosts reports whether any quota shard is assigned to the upstream.
func (draft *draft) hosts(upstream string) bool {
	if slices.Contains(draft.now().Fleet().LoadShards, upstream) {
		return true
	}
	for organisation := range draft.now().AllOrganisations() {
		if slices.Contains(organisation.Shards, upstream) {
			return true
		}
	}
	return false
}

// assignShards gives shards to new organisations and moves the shards of ended
// upstreams. The number of an organisation's shards never changes.
func (draft *draft) assignShards() {
	if len(draft.ended) > 0 {
		draft.moveShards()
	}
	for _, name := range draft.created {
		organisation, ok := draft.now().Organisation(name)
		if !ok {
			continue
		}
		organisation.Shards = firstHosts(draft.now(), name)
		draft.editor.PutOrganisation(organisation)
	}
	fleet := draft.now().Fleet()
	if fleet.LoadRateMilli > 0 && len(fleet.LoadShards) == 0 {
		fleet.LoadShards = firstHosts(draft.now(), loadPermits)
		draft.editor.PutFleet(fleet)
	}
}

func (draft *draft) moveShards() {
	for _, organisation := range draft.now().Organisations() {
		if shards, moved := draft.rehost(organisation.Name, organisation.Shards); moved {
			organisation.Shards = shards
			draft.editor.PutOrganisation(organisation)
		}
	}
	fleet := draft.now().Fleet()
	if shards, moved := draft.rehost(loadPermits, fleet.LoadShards); moved {
		fleet.LoadShards = shards
		draft.editor.PutFleet(fleet)
	}
}

// rehost replaces ended hosts by the upstreams with the fewest shards of the
// set, in rendezvous order.
func (draft *draft) rehost(set string, shards []string) ([]string, bool) {
	if !slices.ContainsFunc(shards, func(host string) bool { return slices.Contains(draft.ended, host) }) {
		return shards, false
	}
	ranked := rank(draft.now(), set)
	if len(ranked) == 0 {
		return shards, false
	}
	moved := slices.Clone(shards)
	for index, host := range moved {
		if slices.Contains(draft.ended, host) {
			moved[index] = leastUsed(ranked, moved)
		}
	}
	return moved, true
}

func leastUsed(ranked, shards []string) string {
	counts := make(map[string]int, len(shards))
	for _, host := range shards {
		counts[host]++
	}
	return slices.MinFunc(ranked, func(left, right string) int {
		return cmp.Compare(counts[left], counts[right])
	})
}

func firstHosts(config *conf.Config, set string) []string {
	ranked := rank(config, set)
	return slices.Clone(ranked[:min(MaxShards, len(ranked))])
}

// rank orders the upstreams by rendezvous hash for a shard set.
func rank(config *conf.Config, set string) []string {
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
