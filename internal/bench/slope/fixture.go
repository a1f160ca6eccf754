package slope

import (
	"fmt"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/policy"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/creds"
	"jacinthfront.dev/jacinthfront/internal/state/replay"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

// The expected sizes of the deployment in two years, from section 3 of the
// design page. Costs are extrapolated to them.
const (
	targetEntries   = 420
	targetUpstreams = 7200
	targetInstances = targetEntries + targetUpstreams
	targetAdapters  = 170_000
	targetDomains   = 23
)

// serviceName is the only service of the synthetic configurations.
const serviceName = "advisor"

// configSize holds the numbers of entries of a synthetic configuration.
type configSize struct {
	organisations int
	upstreams     int
	adapters      int
}

func upstreamName(index int) string     { return fmt.Sprintf("%s-%04d", serviceName, index) }
func organisationName(index int) string { return fmt.Sprintf("organisation-%04d", index) }
func adapterName(index int) string {
	return fmt.Sprintf("organisation-%04d-letters-%06d", index%50, index)
}
func domainName(index int) string {
	return fmt.Sprintf("region-%d-domain-%02d", index%6, index%targetDomains)
}

// adapterSpec returns an adapter with two versions, as it is after one update.
func adapterSpec(index, organisations int) conf.AdapterSpec {
	return conf.AdapterSpec{
		Name: adapterName(index), Organisation: organisationName(index % max(1, organisations)), Service: serviceName,
		Versions: []uint32{1, 2}, DefaultVersion: 2,
	}
}

// state returns a configuration of this size as version 1.
func (configSize configSize) state() replay.State {
	editor := conf.New().Edit()
	for index := range configSize.organisations {
		var shards []string
		for shard := range min(8, configSize.upstreams) {
			shards = append(shards, upstreamName((index*8+shard)%configSize.upstreams))
		}
		editor.PutOrganisation(conf.OrganisationSpec{
			Name: organisationName(index), Rate: 100_000, Burst: 1_000_000, Shards: shards,
		})
		_, key := creds.Issue(organisationName(index))
		editor.PutKey(key)
	}
	editor.PutRoute(conf.RouteSpec{
		Name: "default", Service: serviceName, MaxWait: 30 * time.Second, Idempotent: true, DefaultMaxTokens: 256,
	})
	for index := range configSize.upstreams {
		editor.PutUpstream(conf.UpstreamSpec{ID: upstreamName(index), Service: serviceName, FailureDomain: domainName(index)})
	}
	for index := range configSize.adapters {
		editor.PutAdapter(adapterSpec(index, configSize.organisations))
	}
	return replay.State{Config: editor.Commit(1), RecentPatches: []string{"initial"}}
}

// encoded returns a configuration of this size in the encoding of snapshots.
func (configSize configSize) encoded() ([]byte, error) { return codec.EncodeState(configSize.state()) }

// routerMembers returns upstreams as members of a router.
func routerMembers(count int) []policy.Member {
	list := make([]policy.Member, 0, count)
	for index := range count {
		list = append(list, policy.Member{ID: upstreamName(index), FailureDomain: domainName(index)})
	}
	return list
}
