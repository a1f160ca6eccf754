package relay

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
)

// storeView holds the configuration, the adapter versions and the instance list
// as last read from the platform's store.
type storeView struct {
	table     atomic.Pointer[routes.Table]
	instances *fleet.List
	logger    *zap.Logger

	mutex    sync.Mutex
	versions map[adapterName]uint32
	// steadySince holds, by the names of routes, since when each has had its services.
	steadySince map[string]time.Time
}

type adapterName struct{ model, adapter string }

func newStoreView(list *fleet.List, logger *zap.Logger) *storeView {
	return &storeView{instances: list, logger: logger, versions: make(map[adapterName]uint32), steadySince: make(map[string]time.Time)}
}

// recordServices records which routes have other services in a new configuration.
func (storeView *storeView) recordServices(current, changed *routes.Table) {
	before := make(map[string][]string)
	if current != nil {
		for _, route := range current.Routes() {
			before[route.Name] = route.ServiceNames()
		}
	}
	storeView.mutex.Lock()
	defer storeView.mutex.Unlock()
	steadySince := make(map[string]time.Time)
	for _, route := range changed.Routes() {
		steadySince[route.Name] = time.Now()
		if since, ok := storeView.steadySince[route.Name]; ok && slices.Equal(before[route.Name], route.ServiceNames()) {
			steadySince[route.Name] = since
		}
	}
	storeView.steadySince = steadySince
}

// steadyFrom reports whether a route has had its services since a time.
func (storeView *storeView) steadyFrom(route *routes.Route, at time.Time) bool {
	storeView.mutex.Lock()
	defer storeView.mutex.Unlock()
	since, ok := storeView.steadySince[route.Name]
	return ok && !since.After(at)
}

// config returns the configuration in force, or nil if none is known.
func (storeView *storeView) config() *routes.Table { return storeView.table.Load() }

// adapterVersion returns the newest announced version of an adapter, or 0 if none
// is known.
func (storeView *storeView) adapterVersion(model, adapter string) uint32 {
	storeView.mutex.Lock()
	defer storeView.mutex.Unlock()
	return storeView.versions[adapterName{model, adapter}]
}

// apply stores new configurations and adapter versions. It ignores those that are
// not newer than the known ones.
func (storeView *storeView) apply(changes []ConfigChange) {
	for _, change := range changes {
		switch {
		case change.FailureDomain != "":
			continue
		case change.Table == nil:
			storeView.recordVersion(change)
			continue
		}
		current := storeView.config()
		if current != nil && current.Version() >= change.Table.Version() {
			continue
		}
		storeView.recordServices(current, change.Table)
		storeView.table.Store(change.Table)
		storeView.logger.Info("config: version in force", zap.Uint64("version", change.Table.Version()))
		if len(change.Ignored) > 0 {
			storeView.logger.Warn("config: values ignored", zap.Uint64("version", change.Table.Version()), zap.Strings("values", change.Ignored))
		}
	}
}

// logKept logs what stays in force although a snapshot holds an earlier version.
func (storeView *storeView) logKept(snapshot []ConfigChange) {
	current := storeView.config()
	if current == nil {
		return
	}
	for _, change := range snapshot {
		switch {
		case change.Table != nil && change.Table.Version() < current.Version():
			storeView.logger.Info("config: later version than the store's stays in force",
				zap.Uint64("version", current.Version()), zap.Uint64("stored", change.Table.Version()))
		case change.Table == nil && change.FailureDomain == "" && change.Adapter.Version < storeView.adapterVersion(change.Model, change.Adapter.Name):
			storeView.logger.Info("config: later adapter version than the store's stays in force",
				zap.String("adapter", change.Adapter.Name), zap.Uint32("stored", change.Adapter.Version))
		}
	}
}

// recordVersion records an adapter version if it is newer than the known one.
func (storeView *storeView) recordVersion(change ConfigChange) {
	storeView.mutex.Lock()
	defer storeView.mutex.Unlock()
	name := adapterName{change.Model, change.Adapter.Name}
	if storeView.versions[name] < change.Adapter.Version {
		storeView.versions[name] = change.Adapter.Version
		storeView.logger.Info("config: adapter has a new version",
			zap.String("adapter", change.Adapter.Name), zap.Uint32("version", change.Adapter.Version))
	}
}

// configConfirmed reports whether the configuration was confirmed as the newest
// within timing.configLifetime.
func (relay *Relay) configConfirmed() bool {
	at := relay.configWatcher.Position().ConfirmedAt
	return !at.IsZero() && elapsed(at) < relay.timing.Load().configLifetime && relay.configCaughtUp()
}

// configCaughtUp reports whether the first configuration that this instance read was
// followed by the latest one that others know. A store that was restored from an
// earlier copy may lack it, and with it the withdrawal of a key.
func (relay *Relay) configCaughtUp() bool {
	if relay.caughtUp.Load() {
		return true
	}
	config := relay.store.config()
	latest, complete := relay.peers.latestConfig()
	uptime := time.Since(relay.start)
	complete = complete && relay.peersKnown.Load() && uptime > peerDiscoveryTime
	if config == nil || config.Version() < latest || !complete && uptime < startupWait {
		return false
	}
	relay.caughtUp.Store(true)
	relay.config.Logger.Info("config: caught up with the other entry instances", zap.Uint64("version", config.Version()),
		zap.Uint64("latest", latest), zap.Duration("uptime", uptime))
	return true
}

// configAge returns the time since the configuration was last confirmed as the
// newest.
func (relay *Relay) configAge() time.Duration {
	return time.Since(relay.configWatcher.Position().ConfirmedAt)
}

// newConfigWatcher returns a watcher of the configuration and the adapter
// versions.
func (relay *Relay) newConfigWatcher() *watch.Watcher[ConfigChange] {
	return watch.New(watch.Config[ConfigChange]{
		Name: topicConfig, Source: relay.config.ConfigSource, Logger: relay.config.Logger, LongPoll: relay.timing.Load().configPoll,
		Apply: func(changes []ConfigChange, complete bool) []ConfigChange {
			if complete {
				relay.store.logKept(changes)
			}
			// No request may be served by a configuration before its evacuations are known.
			relay.applyEvacuations(changes, complete)
			relay.store.apply(changes)
			if len(changes) > 0 {
				relay.updateCold()
				relay.stateChanged.notify()
			}
			return changes
		},
		PeerUpdate: relay.configUpdate,
		OnConfirmed: func(at time.Time) {
			relay.confirmEvacuations(at)
			relay.storeConfirmed.notify()
		},
		OnChange:  relay.announceChange,
		OnOverdue: func() { relay.recordStoreState(topicConfig, true) },
		OnCall:    func(err error) { relay.recordStoreCall(topicConfig, err) },
	})
}

// newInstanceWatcher returns a watcher of the instance list.
func (relay *Relay) newInstanceWatcher() *watch.Watcher[Listing] {
	list := relay.store.instances
	return watch.New(watch.Config[Listing]{
		Name: topicInstances, Source: relay.config.InstanceSource, Logger: relay.config.Logger, Interval: relay.timing.Load().listInterval,
		Apply: func(listings []Listing, complete bool) []Listing {
			generation := list.Generation()
			changes := relay.applyListings(listings, complete)
			if list.Generation() != generation {
				relay.updateUpstreams()
			}
			return changes
		},
		PeerUpdate: relay.listUpdate,
		OnConfirmed: func(at time.Time) {
			relay.checkFirstList()
			list.MarkAvailable()
			relay.origins.history.Confirm(at)
			relay.storeConfirmed.notify()
		},
		OnChange:  relay.announceChange,
		OnFailure: list.MarkUnavailable,
		OnRestore: func() {
			list.MarkRestored()
			relay.origins.history.MarkIncomplete(fleet.DefaultGracePeriod)
		},
		OnOverdue: func() { relay.recordStoreState(topicInstances, true) },
		OnCall:    func(err error) { relay.recordStoreCall(topicInstances, err) },
	})
}

// checkFirstList records that the first list of an instance may be incomplete, as the store
// may just have been restored from an earlier copy: upstreams that it lost register again.
func (relay *Relay) checkFirstList() {
	if relay.listKnown.Swap(true) || relay.instanceWatcher.Position().Epoch == 0 {
		return
	}
	relay.origins.history.MarkIncomplete(fleet.DefaultGracePeriod)
}

// readInstancesSoon reads the instance list early, since an upstream does not
// match its entry. Early reads are at least minEarlyReadInterval apart.
func (relay *Relay) readInstancesSoon() {
	now := time.Since(relay.start)
	last := relay.earlyReadAt.Load()
	if now-time.Duration(last) >= minEarlyReadInterval && relay.earlyReadAt.CompareAndSwap(last, int64(now)) {
		relay.instanceWatcher.Wake()
	}
}

// applyListings applies entries and returns those that changed anything. They
// include entries that lapse around an outage of the list, or come back after
// one, although the upstreams in use do not change yet.
func (relay *Relay) applyListings(listings []Listing, complete bool) (changes []Listing) {
	list := relay.store.instances
	relay.logFaults(listings)
	for _, listing := range listings {
		if listing.Upstream != nil {
			relay.origins.history.Add(softwareOf(*listing.Upstream))
		}
	}
	if complete {
		relay.origins.history.Restart()
		present := make([]fleet.Upstream, 0, len(listings))
		for _, listing := range listings {
			if listing.Upstream != nil {
				present = append(present, *listing.Upstream)
			}
		}
		if ignored, lapsed := list.ReplaceAll(present); len(ignored)+len(lapsed) > 0 {
			relay.config.Logger.Info("fleet: complete list differs from what was known",
				zap.Strings("ignored", ignored), zap.Strings("kept", lapsed))
		}
		return listings
	}
	for _, listing := range listings {
		generation := list.Generation()
		changed := list.Lapsed(listing.ID) || listing.Upstream == nil && list.Contains(listing.ID)
		switch {
		case listing.Upstream == nil:
			if list.Remove(listing.ID) {
				relay.config.Logger.Info("fleet: upstream removed", zap.String("upstream", listing.ID))
			}
		case list.Set(*listing.Upstream):
			relay.config.Logger.Info("fleet: upstream changed", zap.String("upstream", listing.ID),
				zap.String("address", listing.Upstream.Address), zap.Bool("draining", listing.Upstream.Draining),
				zap.String("software-version", listing.Upstream.SoftwareVersion))
		}
		if changed || list.Generation() != generation {
			changes = append(changes, listing)
		}
	}
	return changes
}

// logFaults logs why entries name no upstream, and which values are ignored, each distinct
// fault of an entry once.
func (relay *Relay) logFaults(listings []Listing) {
	for _, listing := range listings {
		fault, message := listing.Fault, "fleet: entry names no upstream"
		if fault == "" {
			fault, message = listing.Ignored, "fleet: value of an entry ignored"
		}
		if fault == "" || relay.listingFaults[listing.ID] == fault {
			continue
		}
		if len(relay.listingFaults) >= maxListingFaults {
			clear(relay.listingFaults)
		}
		relay.listingFaults[listing.ID] = fault
		relay.config.Logger.Warn(message, zap.String("entry", listing.ID), zap.String("fault", fault))
	}
}

// updateUpstreams passes the listed upstreams on to the picker and the health
// tracker, and wakes the waiting requests.
func (relay *Relay) updateUpstreams() {
	upstreams := relay.store.instances.Upstreams()
	relay.updateCold()
	relay.picker.SetUpstreams(upstreams)
	relay.observeOrigins(upstreams)
	relay.incarnationAsks.keep(relay.store.instances.Contains)
	relay.engineAsks.keep(relay.store.instances.Contains)
	relay.fencingOffsets.keep(relay.store.instances.Contains)
	relay.health.setUpstreams(upstreams)
	relay.checkEvacuations()
	relay.stateChanged.notify()
	relay.reportSoon()
}
