package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/policy"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// service is the view of one service's upstreams.
type service struct {
	name   string
	policy policy.Policy
	health Health
	specs  []conf.UpstreamSpec
	ids    []string
	// seen says that the instance list has shown a usable upstream.
	seen bool
}

// fleet keeps the policies' members in step with the configuration and the
// instance list.
type fleet struct {
	config *Config

	mutex    sync.RWMutex
	current  *conf.Config
	services map[string]*service
}

func newFleet(config *Config) *fleet {
	fleet := &fleet{config: config, services: map[string]*service{}}
	return fleet
}

// run updates the members until ctx ends.
func (fleet *fleet) run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fleet.update()
		}
	}
}

func (fleet *fleet) service(name string) (*service, bool) {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	service, ok := fleet.services[name]
	return service, ok
}

// populated reports whether the instance list has shown an upstream of every
// configured service since the start. A fresh instance without the list would
// refuse requests for want of an upstream.
func (fleet *fleet) populated() bool {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	if len(fleet.services) == 0 {
		return false
	}
	for _, service := range fleet.services {
		if !service.seen {
			return false
		}
	}
	return true
}

func (fleet *fleet) update() {
	current := fleet.config.ConfigSource.Current()
	fleet.mutex.Lock()
	if current != fleet.current {
		fleet.current = current
		fleet.regroup(current)
	}
	services := make([]*service, 0, len(fleet.services))
	for _, service := range fleet.services {
		services = append(services, service)
	}
	fleet.mutex.Unlock()
	for _, service := range services {
		members := fleet.members(service)
		service.policy.SetMembers(members, fleet.config.InstanceSource.CountEntries())
		fleet.note(service, members)
	}
}

// note remembers that a service has had a usable upstream.
func (fleet *fleet) note(service *service, members []policy.Member) {
	if !slices.ContainsFunc(members, func(member policy.Member) bool { return !member.Draining }) {
		return
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	service.seen = true
}

// regroup sorts the configured upstreams by service.
func (fleet *fleet) regroup(current *conf.Config) {
	groups := map[string][]conf.UpstreamSpec{}
	for _, upstream := range current.Upstreams() {
		groups[upstream.Service] = append(groups[upstream.Service], upstream)
	}
	next := map[string]*service{}
	for name, specs := range groups {
		group := &service{name: name, specs: specs}
		if old, ok := fleet.services[name]; ok {
			group.policy, group.health, group.seen = old.policy, old.health, old.seen
		} else {
			group.health = fleet.config.NewHealth(name)
			group.policy = fleet.config.NewPolicy(name, specs[0].Plain, group.health)
		}
		for _, spec := range specs {
			group.ids = append(group.ids, spec.ID)
		}
		group.health.SetUpstreams(group.ids)
		next[name] = group
	}
	fleet.services = next
}

func (fleet *fleet) members(service *service) []policy.Member {
	members := make([]policy.Member, 0, len(service.specs))
	for _, spec := range service.specs {
		instance, listed := fleet.config.InstanceSource.SideProcess(spec.ID)
		members = append(members, policy.Member{
			ID:            spec.ID,
			FailureDomain: spec.FailureDomain,
			Half:          spec.Half,
			Draining:      !listed || instance.Draining,
		})
	}
	return members
}
