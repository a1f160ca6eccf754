package patch

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

func upstream(id, half string) PutUpstream {
	return PutUpstream{conf.UpstreamSpec{ID: id, Service: "advisor", Half: conf.Half(half), FailureDomain: "one"}}
}

func organisation(name, half string) PutOrganisation {
	return PutOrganisation{conf.OrganisationSpec{Name: name, Half: conf.Half(half), Rate: 100, Burst: 200}}
}

func route(name, service string) PutRoute {
	return PutRoute{conf.RouteSpec{Name: name, Service: service, MaxWait: time.Second, DefaultMaxTokens: 64}}
}

func adapter(name string, change func(*conf.AdapterSpec)) PutAdapter {
	spec := conf.AdapterSpec{Name: name, Organisation: "looms", Service: "advisor", Versions: []uint32{1, 3}, DefaultVersion: 3}
	if change != nil {
		change(&spec)
	}
	return PutAdapter{spec}
}

func key(id, organisation string) PutKey {
	return PutKey{conf.KeySpec{ID: id, Organisation: organisation, Salt: bytes.Repeat([]byte{1}, 16), Digest: [32]byte{1}}}
}

const keyID = "0123456789abcdef"

// baseConfig returns a configuration with two halves, each with an upstream and
// an organisation.
func baseConfig(t *testing.T) *conf.Config {
	config, result := Apply(conf.New(), Patch{ID: "base", Ops: []Op{
		organisation("looms", "east"), organisation("kilns", "west"), route("letters", "advisor"),
		upstream("up-1", "east"), upstream("up-2", "west"), adapter("felt", nil), key(keyID, "looms"),
	}})
	if result.Kind != Accepted {
		t.Fatal(result)
	}
	return config
}

// Guards against patches that are accepted although they break a reference or
// exceed a bound, and against results that name the wrong field.
func TestApply(t *testing.T) {
	longName := string(bytes.Repeat([]byte("x"), 129))
	tests := []struct {
		name  string
		ops   []Op
		force bool
		base  uint64
		kind  ResultKind
		field string
	}{
		{name: "adapter", ops: []Op{adapter("new", nil)}, kind: Accepted},
		{name: "references in any order", ops: []Op{key("aaaaaaaaaaaaaaaa", "new"), organisation("new", "")}, kind: Accepted},
		{name: "old base", base: 7, ops: []Op{adapter("new", nil)}, kind: Conflict},
		{name: "future base", base: 9, ops: []Op{adapter("new", nil)}, kind: Invalid, field: "base"},
		{name: "no operations", kind: Invalid, field: "ops"},
		{name: "unknown operation", ops: []Op{nil}, kind: Invalid, field: "ops[0]"},
		{name: "same object twice", ops: []Op{adapter("a", nil), RemoveAdapter{"a"}}, kind: Invalid, field: "ops[1].remove-adapter"},
		{name: "name with @", ops: []Op{adapter("a@1", nil)}, kind: Invalid, field: "ops[0].put-adapter.name"},
		{name: "long name", ops: []Op{adapter(longName, nil)}, kind: Invalid, field: "ops[0].put-adapter.name"},
		{name: "burst below rate", ops: []Op{PutOrganisation{conf.OrganisationSpec{Name: "new", Rate: 100, Burst: 99}}}, kind: Invalid, field: "ops[0].put-organisation.burst"},
		{name: "burst equal to rate", ops: []Op{PutOrganisation{conf.OrganisationSpec{Name: "new", Rate: 100, Burst: 100}}}, kind: Accepted},
		{name: "no rate", ops: []Op{PutOrganisation{conf.OrganisationSpec{Name: "new", Burst: 99}}}, kind: Invalid, field: "ops[0].put-organisation.rate"},
		{name: "shards given", ops: []Op{PutOrganisation{conf.OrganisationSpec{Name: "new", Rate: 1, Burst: 1, Shards: []string{"up-1"}}}}, kind: Invalid, field: "ops[0].put-organisation.shards"},
		{name: "key of unknown organisation", ops: []Op{key("aaaaaaaaaaaaaaaa", "none")}, kind: Invalid, field: "ops[0].put-key.organisation"},
		{name: "key id used twice", ops: []Op{key(keyID, "kilns")}, kind: Invalid, field: "ops[0].put-key.id"},
		{name: "key without digest", ops: []Op{PutKey{conf.KeySpec{ID: keyID, Salt: make([]byte, 16)}}}, kind: Invalid, field: "ops[0].put-key.digest"},
		{name: "key with short salt", ops: []Op{PutKey{conf.KeySpec{ID: keyID, Salt: make([]byte, 15), Digest: [32]byte{1}}}}, kind: Invalid, field: "ops[0].put-key.salt"},
		{name: "unknown key withdrawn", ops: []Op{WithdrawKey{"aaaaaaaaaaaaaaaa"}}, kind: Invalid, field: "ops[0].withdraw-key"},
		{name: "key withdrawn", ops: []Op{WithdrawKey{keyID}}, kind: Accepted},
		{name: "organisation with key", ops: []Op{RemoveAdapter{"felt"}, RemoveOrganisation{"looms"}}, kind: Invalid, field: "ops[1].remove-organisation"},
		{name: "organisation with adapter", ops: []Op{WithdrawKey{keyID}, RemoveOrganisation{"looms"}}, kind: Invalid, field: "ops[1].remove-organisation"},
		{name: "organisation with nothing", ops: []Op{RemoveOrganisation{"looms"}, WithdrawKey{keyID}, RemoveAdapter{"felt"}}, kind: Accepted},
		{name: "adapter of unknown organisation", ops: []Op{adapter("a", func(spec *conf.AdapterSpec) { spec.Organisation = "none" })}, kind: Invalid, field: "ops[0].put-adapter.organisation"},
		{name: "adapter of unknown service", ops: []Op{adapter("a", func(spec *conf.AdapterSpec) { spec.Service = "none" })}, kind: Invalid, field: "ops[0].put-adapter.service"},
		{name: "adapter with equal versions", ops: []Op{adapter("a", func(spec *conf.AdapterSpec) { spec.Versions = []uint32{1, 1} })}, kind: Invalid, field: "ops[0].put-adapter.versions"},
		{name: "adapter with unknown default", ops: []Op{adapter("a", func(spec *conf.AdapterSpec) { spec.DefaultVersion = 2 })}, kind: Invalid, field: "ops[0].put-adapter.default-version"},
		{name: "route without wait", ops: []Op{PutRoute{conf.RouteSpec{Name: "r", Service: "advisor", DefaultMaxTokens: 1}}}, kind: Invalid, field: "ops[0].put-route.longest-wait"},
		{name: "route with unknown class", ops: []Op{PutRoute{conf.RouteSpec{Name: "r", Service: "advisor", Class: 9}}}, kind: Invalid, field: "ops[0].put-route.class"},
		{name: "plain route to model service", ops: []Op{PutRoute{conf.RouteSpec{Name: "r", Service: "advisor", Plain: true, PathPrefix: "/", MaxWait: time.Second}}}, kind: Invalid, field: "ops[0].put-route.plain"},
		{name: "plain route without prefix", ops: []Op{PutRoute{conf.RouteSpec{Name: "r", Service: "counter", Plain: true, MaxWait: time.Second}}}, kind: Invalid, field: "ops[0].put-route.path-prefix"},
		{name: "route to unserved service", ops: []Op{route("r", "none")}, kind: Invalid, field: "ops"},
		{name: "last upstream of a half", ops: []Op{RemoveUpstream{ID: "up-1"}}, kind: Invalid, field: "ops"},
		{name: "last upstream of a half, forced", ops: []Op{RemoveUpstream{ID: "up-1"}}, force: true, kind: Accepted},
		{name: "last upstream moves to the other half", ops: []Op{upstream("up-1", "west")}, kind: Invalid, field: "ops"},
		{name: "upstream of both halves", ops: []Op{upstream("up-3", ""), RemoveUpstream{ID: "up-1"}}, kind: Accepted},
		{name: "organisation in a half without upstream", ops: []Op{organisation("looms", "south")}, kind: Invalid, field: "ops"},
		{name: "unknown upstream removed", ops: []Op{RemoveUpstream{ID: "none", Ended: true}}, kind: Invalid, field: "ops[0].remove-upstream.id"},
		{name: "load burst below rate", ops: []Op{PutFleet{conf.FleetSpec{LoadRateMilli: 3000, LoadBurst: 2}}}, kind: Invalid, field: "ops[0].put-fleet.load-burst"},
		{name: "fleet", ops: []Op{PutFleet{conf.FleetSpec{LoadRateMilli: 3000, LoadBurst: 8}}}, kind: Accepted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			editor := baseConfig(t).Edit()
			config := editor.Commit(8)
			if test.base == 0 {
				test.base = 8
			}
			next, result := Apply(config, Patch{ID: "patch", BaseVersion: test.base, Force: test.force, Ops: test.ops})
			if diff := cmp.Diff([]string{test.kind.String(), test.field}, []string{result.Kind.String(), result.Field}); diff != "" {
				t.Fatalf("%v (-want +got):\n%s", result, diff)
			}
			if accepted := test.kind == Accepted; accepted != (next.Version() == 9) || !accepted && next != config {
				t.Errorf("got version %d after %v", next.Version(), result)
			}
		})
	}
}

// Guards against a changed number of shards, against shards that stay with an
// ended upstream, and against shards that move before the operator confirms that
// the upstream's side process has ended: two processes would grant tokens from
// one shard.
func TestShards(t *testing.T) {
	config := conf.New()
	applyOps := func(force bool, ops ...Op) Result {
		t.Helper()
		next, result := Apply(config, Patch{ID: "patch", BaseVersion: config.Version(), Force: force, Ops: ops})
		config = next
		return result
	}
	shards := func() []string {
		organisation, _ := config.Organisation("looms")
		return organisation.Shards
	}
	if result := applyOps(false, organisation("looms", "")); result.Field != "ops[0].put-organisation.shards" {
		t.Errorf("an organisation without any upstream got %v", result)
	}
	var ops []Op
	for index := range 12 {
		ops = append(ops, upstream(fmt.Sprintf("up-%d", index), ""))
	}
	applyOps(false, append(ops, organisation("looms", ""))...)
	first := slices.Clone(shards())
	if compact := slices.Compact(slices.Sorted(slices.Values(first))); len(first) != MaxShards || len(compact) != MaxShards {
		t.Fatalf("got shards %v, want %d different hosts", first, MaxShards)
	}
	applyOps(false, upstream("up-99", ""), organisation("looms", ""))
	if diff := cmp.Diff(first, shards()); diff != "" {
		t.Errorf("a later change moved shards (-want +got):\n%s", diff)
	}
	applyOps(false, RemoveUpstream{ID: first[2]})
	if diff := cmp.Diff(first, shards()); diff != "" {
		t.Errorf("removal without ended moved shards (-want +got):\n%s", diff)
	}
	if result := applyOps(false, upstream(first[2], "")); result.Field != "ops[0].put-upstream.id" {
		t.Errorf("the id of a removed host of shards was accepted again: %v", result)
	}
	applyOps(false, RemoveUpstream{ID: first[2], Ended: true})
	moved := shards()
	if moved[2] == first[2] || slices.Contains(first, moved[2]) || len(moved) != MaxShards {
		t.Errorf("got shards %v after %v, want the third on another host", moved, first)
	}
	moved = slices.Clone(moved)
	moved[2] = first[2]
	if diff := cmp.Diff(first, moved); diff != "" {
		t.Errorf("other shards moved too (-want +got):\n%s", diff)
	}
	for upstream := range config.AllUpstreams() {
		result := applyOps(false, RemoveUpstream{ID: upstream.ID, Ended: true})
		if left := len(config.Upstreams()); left == 1 && result.Kind == Accepted {
			continue
		} else if result.Kind != Accepted && left > 1 {
			t.Fatal(result)
		}
	}
	if got := slices.Compact(slices.Clone(shards())); len(shards()) != MaxShards || len(got) != 1 {
		t.Errorf("got shards %v, want all on the last upstream", shards())
	}
}
