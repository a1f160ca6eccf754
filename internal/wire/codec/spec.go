// Package codec converts the types of the configuration, and the values in
// datagrams between entry instances and loaders, to and from their forms on the
// wire. It also converts configuration patches to and from JSON.
package codec

import (
	"math"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

func organisationToWire(organisation conf.OrganisationSpec) *wirepb.Organisation {
	return &wirepb.Organisation{
		Name:   organisation.Name,
		Half:   string(organisation.Half),
		Rate:   int64(organisation.Rate),
		Burst:  int64(organisation.Burst),
		Shards: organisation.Shards,
	}
}

func organisationFromWire(organisation *wirepb.Organisation) conf.OrganisationSpec {
	return conf.OrganisationSpec{
		Name:   organisation.GetName(),
		Half:   conf.Half(organisation.GetHalf()),
		Rate:   conf.Tokens(organisation.GetRate()),
		Burst:  conf.Tokens(organisation.GetBurst()),
		Shards: organisation.GetShards(),
	}
}

func keyToWire(key conf.KeySpec) *wirepb.Key {
	return &wirepb.Key{Id: key.ID, Organisation: key.Organisation, Salt: key.Salt, Digest: key.Digest[:]}
}

// keyFromWire converts a key. A digest of the wrong length becomes an empty one,
// which patch.Validate rejects.
func keyFromWire(key *wirepb.Key) conf.KeySpec {
	spec := conf.KeySpec{ID: key.GetId(), Organisation: key.GetOrganisation(), Salt: key.GetSalt()}
	if len(key.GetDigest()) == conf.DigestSize {
		copy(spec.Digest[:], key.GetDigest())
	}
	return spec
}

func routeToWire(route conf.RouteSpec) *wirepb.Route {
	return &wirepb.Route{
		Name:             route.Name,
		Service:          route.Service,
		Plain:            route.Plain,
		PathPrefix:       route.PathPrefix,
		Methods:          route.Methods,
		Class:            wirepb.Class(route.Class),
		LongestWaitUs:    route.MaxWait.Microseconds(),
		Idempotent:       route.Idempotent,
		Open:             route.Open,
		DefaultMaxTokens: int64(route.DefaultMaxTokens),
		Cost:             int64(route.Cost),
	}
}

func routeFromWire(route *wirepb.Route) conf.RouteSpec {
	return conf.RouteSpec{
		Name:             route.GetName(),
		Service:          route.GetService(),
		Plain:            route.GetPlain(),
		PathPrefix:       route.GetPathPrefix(),
		Methods:          route.GetMethods(),
		Class:            classFromWire(route.GetClass()),
		MaxWait:          microseconds(route.GetLongestWaitUs()),
		Idempotent:       route.GetIdempotent(),
		Open:             route.GetOpen(),
		DefaultMaxTokens: conf.Tokens(route.GetDefaultMaxTokens()),
		Cost:             conf.Tokens(route.GetCost()),
	}
}

// classFromWire converts a class. A value that does not fit into conf.Class
// becomes an unknown class, which patch.Validate rejects.
func classFromWire(class wirepb.Class) conf.Class {
	if class < 0 || class > math.MaxUint8 {
		return math.MaxUint8
	}
	return conf.Class(class)
}

// microseconds converts a count of microseconds to a duration. A count that is
// negative or overflows becomes a negative duration, which patch.Validate
// rejects.
func microseconds(count int64) time.Duration {
	if count > math.MaxInt64/int64(time.Microsecond) || count < 0 {
		return -1
	}
	return time.Duration(count) * time.Microsecond
}

func adapterToWire(adapter conf.AdapterSpec) *wirepb.Adapter {
	wire := &wirepb.Adapter{}
	fillAdapter(wire, adapter)
	return wire
}

// fillAdapter sets all fields of wire.
func fillAdapter(wire *wirepb.Adapter, adapter conf.AdapterSpec) {
	wire.Name = adapter.Name
	wire.Organisation = adapter.Organisation
	wire.Service = adapter.Service
	wire.Versions = adapter.Versions
	wire.DefaultVersion = adapter.DefaultVersion
}

func adapterFromWire(adapter *wirepb.Adapter) conf.AdapterSpec {
	return conf.AdapterSpec{
		Name:           adapter.GetName(),
		Organisation:   adapter.GetOrganisation(),
		Service:        adapter.GetService(),
		Versions:       adapter.GetVersions(),
		DefaultVersion: adapter.GetDefaultVersion(),
	}
}

func upstreamToWire(upstream conf.UpstreamSpec) *wirepb.Upstream {
	return &wirepb.Upstream{
		Id:             upstream.ID,
		Service:        upstream.Service,
		Plain:          upstream.Plain,
		Half:           string(upstream.Half),
		FailureDomain:  upstream.FailureDomain,
		FencingChecked: upstream.FencingChecked,
	}
}

func upstreamFromWire(upstream *wirepb.Upstream) conf.UpstreamSpec {
	return conf.UpstreamSpec{
		ID:             upstream.GetId(),
		Service:        upstream.GetService(),
		Plain:          upstream.GetPlain(),
		Half:           conf.Half(upstream.GetHalf()),
		FailureDomain:  upstream.GetFailureDomain(),
		FencingChecked: upstream.GetFencingChecked(),
	}
}

func fleetToWire(fleet conf.FleetSpec) *wirepb.Fleet {
	return &wirepb.Fleet{LoadRateMilli: fleet.LoadRateMilli, LoadBurst: fleet.LoadBurst, LoadShards: fleet.LoadShards}
}

func fleetFromWire(fleet *wirepb.Fleet) conf.FleetSpec {
	return conf.FleetSpec{
		LoadRateMilli: fleet.GetLoadRateMilli(),
		LoadBurst:     fleet.GetLoadBurst(),
		LoadShards:    fleet.GetLoadShards(),
	}
}
