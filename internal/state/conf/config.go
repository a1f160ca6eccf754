package conf

import (
	"iter"
	"maps"
	"slices"
	"strings"
)

// Config is one version of the configuration. It is safe for concurrent use.
type Config struct {
	version       uint64
	organisations map[string]OrganisationSpec
	keys          map[string]KeySpec
	routes        map[string]RouteSpec
	adapters      adapters
	upstreams     map[string]UpstreamSpec
	fleet         FleetSpec
}

// New returns the empty configuration with version 0.
func New() *Config {
	return &Config{
		organisations: map[string]OrganisationSpec{},
		keys:          map[string]KeySpec{},
		routes:        map[string]RouteSpec{},
		adapters:      newAdapters(),
		upstreams:     map[string]UpstreamSpec{},
	}
}

// Version returns the version number, which each accepted patch increments.
func (config *Config) Version() uint64 { return config.version }

// Organisation returns an organisation by name.
func (config *Config) Organisation(name string) (OrganisationSpec, bool) {
	organisation, ok := config.organisations[name]
	return organisation, ok
}

// Organisations returns all organisations, ordered by name.
func (config *Config) Organisations() []OrganisationSpec {
	return sortedByName(config.organisations)
}

// Key returns a key by its id.
func (config *Config) Key(id string) (KeySpec, bool) {
	key, ok := config.keys[id]
	return key, ok
}

// Keys returns all keys, ordered by id.
func (config *Config) Keys() []KeySpec { return sortedByName(config.keys) }

// Route returns a route by name.
func (config *Config) Route(name string) (RouteSpec, bool) {
	route, ok := config.routes[name]
	return route, ok
}

// Routes returns all routes, ordered by name.
func (config *Config) Routes() []RouteSpec { return sortedByName(config.routes) }

// PlainRoute returns the route of a plain service for a method and path. If
// several match, the route with the longest path prefix is taken, and the first
// by name among those with equal prefixes.
func (config *Config) PlainRoute(service, method, path string) (RouteSpec, bool) {
	var best RouteSpec
	found := false
	for _, route := range config.routes {
		if !route.Plain || route.Service != service || !strings.HasPrefix(path, route.PathPrefix) {
			continue
		}
		if len(route.Methods) > 0 && !slices.Contains(route.Methods, method) {
			continue
		}
		longer := len(route.PathPrefix) > len(best.PathPrefix)
		same := len(route.PathPrefix) == len(best.PathPrefix)
		if !found || longer || same && route.Name < best.Name {
			best, found = route, true
		}
	}
	return best, found
}

// Adapter returns an adapter by name. The caller must not change its Versions,
// which may be shared.
func (config *Config) Adapter(name string) (AdapterSpec, bool) { return config.adapters.get(name) }

// Adapters returns a copy of all adapters, ordered by name. AllAdapters avoids
// the copy.
func (config *Config) Adapters() []AdapterSpec {
	list := make([]AdapterSpec, 0, config.adapters.count)
	return slices.AppendSeq(list, config.adapters.all())
}

// AdapterCount returns the number of adapters.
func (config *Config) AdapterCount() int { return config.adapters.count }

// Upstream returns an upstream by id.
func (config *Config) Upstream(id string) (UpstreamSpec, bool) {
	upstream, ok := config.upstreams[id]
	return upstream, ok
}

// Upstreams returns all upstreams, ordered by id.
func (config *Config) Upstreams() []UpstreamSpec { return sortedByName(config.upstreams) }

// AllOrganisations iterates over all organisations in no particular order, without
// copying them.
func (config *Config) AllOrganisations() iter.Seq[OrganisationSpec] {
	return maps.Values(config.organisations)
}

// AllKeys iterates over all keys in no particular order, without copying them.
func (config *Config) AllKeys() iter.Seq[KeySpec] { return maps.Values(config.keys) }

// AllRoutes iterates over all routes in no particular order, without copying
// them.
func (config *Config) AllRoutes() iter.Seq[RouteSpec] { return maps.Values(config.routes) }

// AllAdapters iterates over all adapters in the order of their names, without
// copying them. The caller must not change their Versions.
func (config *Config) AllAdapters() iter.Seq[AdapterSpec] { return config.adapters.all() }

// AllUpstreams iterates over all upstreams in no particular order, without
// copying them.
func (config *Config) AllUpstreams() iter.Seq[UpstreamSpec] { return maps.Values(config.upstreams) }

// Fleet returns the settings of the whole fleet.
func (config *Config) Fleet() FleetSpec { return config.fleet }

func sortedByName[T any](items map[string]T) []T {
	names := slices.Sorted(maps.Keys(items))
	list := make([]T, 0, len(names))
	for _, name := range names {
		list = append(list, items[name])
	}
	return list
}
