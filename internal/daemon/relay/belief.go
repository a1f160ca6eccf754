package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
	"jacinthfront.dev/jacinthfront/internal/flow/health"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/table"
)

// belief is what the instance has read of the platform's store.
type belief struct {
	table  atomic.Pointer[table.Table]
	list   *fleet.List
	logger *zap.Logger

	mutex    sync.Mutex
	versions map[adapterName]uint32
}

type adapterName struct{ model, adapter string }

func newBelief(list *fleet.List, logger *zap.Logger) *belief {
	return &belief{list: list, logger: logger, versions: make(map[adapterName]uint32)}
}

// current returns the configuration in force, or nil if none is known.
func (belief *belief) current() *table.Table { return belief.table.Load() }

// version returns the newest announced version of an adapter, 0 if none was.
func (belief *belief) version(model, adapter string) uint32 {
	belief.mutex.Lock()
	defer belief.mutex.Unlock()
	return belief.versions[adapterName{model, adapter}]
}

// apply takes over changes; versions never go back.
func (belief *belief) apply(changes []ConfigChange) {
	for _, change := range changes {
		if change.Table == nil {
			belief.announce(change)
			continue
		}
		known := belief.current()
		if known != nil && known.Version() >= change.Table.Version() {
			continue
		}
		belief.table.Store(change.Table)
		belief.logger.Info("config: version in force", zap.Uint64("version", change.Table.Version()))
	}
}

func (belief *belief) announce(change ConfigChange) {
	belief.mutex.Lock()
	defer belief.mutex.Unlock()
	name := adapterName{change.Model, change.Adapter.Name}
	if belief.versions[name] < change.Adapter.Version {
		belief.versions[name] = change.Adapter.Version
		belief.logger.Info("config: adapter has a new version",
			zap.String("adapter", change.Adapter.Name), zap.Uint32("version", change.Adapter.Version))
	}
}

// confirmed reports whether the configuration was known to be the newest lately
// enough to be trusted.
func (relay *Relay) confirmed() bool {
	at := relay.changes.Position().ConfirmedAt
	return !at.IsZero() && elapsed(at) < relay.trust()
}

// configAge returns the time since the configuration was known to be the newest.
func (relay *Relay) configAge() time.Duration {
	return time.Since(relay.changes.Position().ConfirmedAt)
}

// newChanges returns the follower of what the operators write.
func (relay *Relay) newChanges() *watch.Watcher[ConfigChange] {
	return watch.New(watch.Config[ConfigChange]{
		Name: topicConfig, Source: relay.config.ConfigSource, Logger: relay.config.Logger, LongPoll: configWait,
		Apply: func(changes []ConfigChange, _ bool) []ConfigChange {
			relay.belief.apply(changes)
			if len(changes) > 0 {
				relay.changed.fire()
			}
			return changes
		},
		PeerUpdate: relay.configHint,
		OnChange:   relay.spread,
		OnCall:     func(err error) { relay.metrics.storeCalled(topicConfig, err) },
	})
}

// newListings returns the follower of the instance list.
func (relay *Relay) newListings() *watch.Watcher[Listing] {
	list := relay.belief.list
	return watch.New(watch.Config[Listing]{
		Name: topicInstances, Source: relay.config.InstanceSource, Logger: relay.config.Logger, Interval: listPause,
		Apply: func(listings []Listing, complete bool) []Listing {
			stamp := list.Stamp()
			changes := relay.applyListings(listings, complete)
			if list.Stamp() != stamp {
				relay.relist()
			}
			return changes
		},
		PeerUpdate:  relay.listHint,
		OnConfirmed: func(time.Time) { list.Up() },
		OnChange:    relay.spread,
		OnFailure:   list.Down,
		OnCall:      func(err error) { relay.metrics.storeCalled(topicInstances, err) },
	})
}

// readList reads the instance list soon, since an upstream is not as listed.
// Reads are not more frequent than wakePause allows.
func (relay *Relay) readList() {
	now := time.Now().UnixMilli()
	last := relay.wokenAt.Load()
	if now-last >= wakePause.Milliseconds() && relay.wokenAt.CompareAndSwap(last, now) {
		relay.listings.Wake()
	}
}

// applyListings takes over entries and returns those that changed anything. An
// entry that lapses around an outage, or comes back, is one of them, although it
// does not count yet.
func (relay *Relay) applyListings(listings []Listing, complete bool) (changes []Listing) {
	list := relay.belief.list
	if complete {
		present := make([]fleet.Upstream, 0, len(listings))
		for _, listing := range listings {
			if listing.Upstream != nil {
				present = append(present, *listing.Upstream)
			}
		}
		list.Replace(present)
		return listings
	}
	for _, listing := range listings {
		stamp := list.Stamp()
		changed := list.Lapsed(listing.ID) || listing.Upstream == nil && list.Has(listing.ID)
		switch {
		case listing.Upstream == nil:
			if list.Remove(listing.ID) {
				relay.config.Logger.Info("fleet: upstream is gone", zap.String("upstream", listing.ID))
			}
		case list.Set(*listing.Upstream):
			relay.config.Logger.Info("fleet: upstream changed", zap.String("upstream", listing.ID),
				zap.String("address", listing.Upstream.Address), zap.Bool("draining", listing.Upstream.Draining))
		}
		if changed || list.Stamp() != stamp {
			changes = append(changes, listing)
		}
	}
	return changes
}

// relist makes the list's upstreams those that requests go to.
func (relay *Relay) relist() {
	upstreams := relay.belief.list.Upstreams()
	relay.board.SetUpstreams(upstreams)
	relay.health.follow(upstreams)
	relay.changed.fire()
	relay.kick()
}

// healths follows the upstreams of all services by how they answer.
type healths struct {
	mutex    sync.Mutex
	services map[string]*health.Tracker
}

// Usable implements steer.Health.
func (healths *healths) Usable(service, id string) bool {
	known := healths.service(service)
	if known == nil {
		return true
	}
	return known.State(id) != health.Ejected
}

func (healths *healths) service(name string) *health.Tracker {
	healths.mutex.Lock()
	defer healths.mutex.Unlock()
	return healths.services[name]
}

func (healths *healths) follow(upstreams []fleet.Upstream) {
	ids := make(map[string][]string)
	for _, upstream := range upstreams {
		ids[upstream.Service] = append(ids[upstream.Service], upstream.ID)
	}
	healths.mutex.Lock()
	defer healths.mutex.Unlock()
	for service, members := range ids {
		known, ok := healths.services[service]
		if !ok {
			// The defaults are in range.
			known, _ = health.New(health.Config{})
			healths.services[service] = known
		}
		known.SetUpstreams(members)
	}
}

// answered records how an upstream answered.
func (healths *healths) answered(service, id string, well bool) (ejected bool) {
	known := healths.service(service)
	switch {
	case known == nil:
		return false
	case well:
		known.RecordSuccess(id)
		return false
	default:
		return known.RecordFailure(id)
	}
}
