package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/policy"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// service holds the routing policy, health and upstreams of one service.
type service struct {
	name   string
	policy policy.Policy
	health HealthTracker
	specs  []conf.UpstreamSpec
	ids    []string
	// hadUpstream means that the instance list has shown an upstream that is not
	// draining.
	hadUpstream bool
}

// serviceTable updates the members of the services' routing policies from the
// configuration and the instance list.
type serviceTable struct {
	config *Config

	mutex   sync.RWMutex
	current *conf.Config
	byName  map[string]*service
}

func newServiceTable(config *Config) *serviceTable {
	serviceTable := &serviceTable{config: config, byName: map[string]*service{}}
	return serviceTable
}

// run updates the members until ctx ends.
func (serviceTable *serviceTable) run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			serviceTable.update()
		}
	}
}

func (serviceTable *serviceTable) service(name string) (*service, bool) {
	serviceTable.mutex.RLock()
	defer serviceTable.mutex.RUnlock()
	service, ok := serviceTable.byName[name]
	return service, ok
}

// allHadUpstream reports whether every configured service has had a usable
// upstream since the start. An instance that has just started and lacks the
// instance list would refuse requests with no-upstream.
func (serviceTable *serviceTable) allHadUpstream() bool {
	serviceTable.mutex.RLock()
	defer serviceTable.mutex.RUnlock()
	if len(serviceTable.byName) == 0 {
		return false
	}
	for _, service := range serviceTable.byName {
		if !service.hadUpstream {
			return false
		}
	}
	return true
}

func (serviceTable *serviceTable) update() {
	current := serviceTable.config.ConfigSource.Current()
	serviceTable.mutex.Lock()
	if current != serviceTable.current {
		serviceTable.current = current
		serviceTable.groupByService(current)
	}
	services := make([]*service, 0, len(serviceTable.byName))
	for _, service := range serviceTable.byName {
		services = append(services, service)
	}
	serviceTable.mutex.Unlock()
	for _, service := range services {
		members := serviceTable.members(service)
		service.policy.SetMembers(members, serviceTable.config.InstanceSource.CountEntries())
		serviceTable.recordUsable(service, members)
	}
}

// recordUsable records that a service has had a usable upstream.
func (serviceTable *serviceTable) recordUsable(service *service, members []policy.Member) {
	if !slices.ContainsFunc(members, func(member policy.Member) bool { return !member.Draining }) {
		return
	}
	serviceTable.mutex.Lock()
	defer serviceTable.mutex.Unlock()
	service.hadUpstream = true
}

// groupByService groups the configured upstreams by service. Services that
// existed before keep their policy and health.
func (serviceTable *serviceTable) groupByService(current *conf.Config) {
	groups := map[string][]conf.UpstreamSpec{}
	for _, upstream := range current.Upstreams() {
		groups[upstream.Service] = append(groups[upstream.Service], upstream)
	}
	next := map[string]*service{}
	for name, specs := range groups {
		group := &service{name: name, specs: specs}
		if old, ok := serviceTable.byName[name]; ok {
			group.policy, group.health, group.hadUpstream = old.policy, old.health, old.hadUpstream
		} else {
			group.health = serviceTable.config.NewHealth(name)
			group.policy = serviceTable.config.NewPolicy(name, specs[0].Plain, group.health)
		}
		for _, spec := range specs {
			group.ids = append(group.ids, spec.ID)
		}
		group.health.SetUpstreams(group.ids)
		next[name] = group
	}
	serviceTable.byName = next
}

func (serviceTable *serviceTable) members(service *service) []policy.Member {
	members := make([]policy.Member, 0, len(service.specs))
	for _, spec := range service.specs {
		instance, listed := serviceTable.config.InstanceSource.SideProcess(spec.ID)
		members = append(members, policy.Member{
			ID:            spec.ID,
			FailureDomain: spec.FailureDomain,
			Half:          spec.Half,
			Draining:      !listed || instance.Draining,
		})
	}
	return members
}
