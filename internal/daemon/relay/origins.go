package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/origin"
	"jacinthfront.dev/jacinthfront/internal/flow/rank"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// Which software began a stream must outlive the instance that forwards it. All processes of
// one kind may end at once, so that processes of both kinds keep it, besides that instance.
//
// Loaders keep it, as all entry instances may end at once. A record is of use only while
// upstreams of its version serve, so the loaders beside these keep it: those that rank first
// for the stream among the engines of its version. Those of the other versions keep it too,
// for instances that do not know its version yet. They are told before the first event is
// forwarded.
//
// Other entry instances keep a copy, as all loaders may end at once together with the
// instance that forwards the stream: those that rank first for the stream. They are told with
// the next usage report.

const (
	// originHolders is the number of loaders of a version that keep the origin of a stream,
	// and maxOtherVersions bounds the versions besides its own whose loaders do.
	originHolders    = 2
	maxOtherVersions = 3
	// askedHolders is the number of loaders of each version that are asked for it. It
	// exceeds originHolders, as engines that were listed since may rank before the holders.
	// As many draining engines are asked as may hold it.
	askedHolders = 4
	// maxOriginsPerDatagram bounds the records of one datagram, to about 1 KiB.
	maxOriginsPerDatagram = 32
	// originCopies is the number of other entry instances that keep a copy of the origin of a
	// stream. An instance that asks for it asks at least one more, as it counts the one that
	// forwarded the stream among the others.
	originCopies = maxAskedPeers - 1
	// keepMargin is how much longer than the time of its request the origin of a stream is
	// kept.
	keepMargin = 5 * time.Second
)

// origins holds what this instance knows of the software that began streams.
type origins struct {
	ledger  *origin.Ledger
	history *origin.History
	recall  recallState

	mutex sync.Mutex
	// groups holds the loaders beside the listed upstreams. It is replaced as a whole.
	groups map[origin.Origin]*loaderGroup
	// loaderStarts holds the last known start of each loader, by its address.
	loaderStarts map[string]int64
	// lookups holds the running lookups of each stream.
	lookups map[origin.Key][]*originLookup
	// untold holds the records that the next usage report brings to other entry instances, by
	// their addresses.
	untold map[string][]origin.Record
	// returned holds the addresses of loaders and entry instances that have started again, and
	// of instances that were not heard for a time, which tellReturned tells.
	returned map[string]bool
}

func newOrigins() *origins {
	return &origins{ledger: origin.New(origin.Config{}), history: origin.NewHistory(), loaderStarts: make(map[string]int64), lookups: make(map[origin.Key][]*originLookup), untold: make(map[string][]origin.Record), returned: make(map[string]bool)}
}

// setGroups replaces the loaders beside the listed upstreams.
func (origins *origins) setGroups(groups map[origin.Origin]*loaderGroup) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	origins.groups = groups
}

// recordStart records the start of a loader, and reports whether an earlier incarnation of
// it is known.
func (origins *origins) recordStart(loader string, start int64) (restarted bool) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	before, known := origins.loaderStarts[loader]
	origins.loaderStarts[loader] = start
	return known && before != start
}

// keepLoaderStarts forgets the starts of loaders that are not listed.
func (origins *origins) keepLoaderStarts(listed map[string]bool) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	maps.DeleteFunc(origins.loaderStarts, func(loader string, _ int64) bool { return !listed[loader] })
}

// loaderGroups returns the loaders beside the listed upstreams, by their software. The
// result is shared and must not be changed.
func (origins *origins) loaderGroups() map[origin.Origin]*loaderGroup {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	return origins.groups
}

// keepOrigin keeps the origin of a stream and tells the loaders that hold it, and other entry
// instances with the next usage report.
func (relay *Relay) keepOrigin(record origin.Record) {
	if record.Key == 0 || !record.Origin.Known() {
		return
	}
	holders := relay.originHolders(record)
	relay.origins.ledger.Record(record, holders)
	relay.sendOrigins([]origin.Record{record}, holders...)
	relay.origins.addUntold(record, copyHolders(record.Key, relay.peers.liveOthers()))
}

// addUntold has the next usage reports to entry instances bring a record.
func (origins *origins) addUntold(record origin.Record, instances []string) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	for _, address := range instances {
		origins.untold[address] = append(origins.untold[address], record)
	}
}

// hasUntold reports whether a usage report has records to bring.
func (origins *origins) hasUntold() bool {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	return len(origins.untold) > 0
}

// takeUntold returns the records that a usage report brings, by the addresses of their
// receivers, and counts them as told.
func (origins *origins) takeUntold() map[string][]origin.Record {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	untold := origins.untold
	origins.untold = make(map[string][]origin.Record)
	return untold
}

// copyHolders returns those of the other entry instances that keep a copy of the origin of a
// stream.
func copyHolders(key origin.Key, others []string) []string {
	return rank.Top(key.String(), others, originCopies)
}

// keepCopies keeps copies of the origins of streams that other entry instances forward.
func (relay *Relay) keepCopies(streams []*wirepb.StreamOrigin) {
	for _, record := range codec.DecodeOrigins(streams) {
		record.Lifetime = min(record.Lifetime, origin.HistoryRetention)
		relay.origins.ledger.Record(record, nil)
	}
}

// addReturned has a loader or an entry instance told of the streams that it holds.
func (origins *origins) addReturned(address string) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	origins.returned[address] = true
}

// takeReturned returns the loaders and entry instances to tell, and counts them as told.
func (origins *origins) takeReturned() map[string]bool {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	if len(origins.returned) == 0 {
		return nil
	}
	returned := origins.returned
	origins.returned = make(map[string]bool)
	return returned
}

// tellReturned tells loaders and entry instances that have returned of the streams that they
// hold: loaders also of those of which this instance keeps copies, as the instances that
// forward them may have ended. It is called at intervals, as many may return at once and the
// holders of each stream are chosen once for all of them.
func (relay *Relay) tellReturned() {
	returned := relay.origins.takeReturned()
	if returned == nil {
		return
	}
	records := make(map[string][]origin.Record)
	tell := func(record origin.Record, holders []string) {
		for _, holder := range holders {
			if returned[holder] {
				records[holder] = append(records[holder], record)
			}
		}
	}
	for address := range returned {
		records[address] = relay.origins.ledger.HeldBy(address)
	}
	others := relay.peers.liveOthers()
	for _, record := range relay.origins.ledger.Told() {
		tell(record, copyHolders(record.Key, others))
	}
	for _, record := range relay.origins.ledger.Copies() {
		tell(record, relay.originHolders(record))
	}
	for address, held := range records {
		relay.sendOrigins(held, address)
	}
}

// sendOrigins sends records to loaders.
func (relay *Relay) sendOrigins(records []origin.Record, holders ...string) {
	list := relay.listPosition()
	for part := range slices.Chunk(records, maxOriginsPerDatagram) {
		relay.sendDatagram(&wirepb.Datagram{Body: &wirepb.Datagram_StreamOrigins{
			StreamOrigins: &wirepb.StreamOrigins{Streams: codec.EncodeOrigins(part), List: list},
		}}, holders...)
	}
}

// announceList tells the loaders that would hold the origin of a stream, if it were known, how
// far this instance has read the instance list.
func (relay *Relay) announceList(record origin.Record) {
	relay.sendDatagram(&wirepb.Datagram{Body: &wirepb.Datagram_StreamOrigins{
		StreamOrigins: &wirepb.StreamOrigins{List: relay.listPosition()},
	}}, relay.originHolders(record)...)
}

// listPosition returns how far this instance has read the instance list.
func (relay *Relay) listPosition() *wirepb.ListPosition {
	position := relay.instanceWatcher.Position()
	return &wirepb.ListPosition{Epoch: position.Epoch, Next: position.Next}
}

// handleOriginAsk tells another entry instance which software began the streams that it asks
// for, as far as this one forwards them, and how far this one has read the instance list.
func (relay *Relay) handleOriginAsk(ask *wirepb.OriginAsk) {
	relay.sendDatagram(codec.AnswerOrigins(ask, relay.origins.ledger, relay.listPosition()), ask.GetEntry())
}

// loaderGroup holds the addresses of the loaders beside the engines of one software version.
type loaderGroup struct {
	// serving are those of upstreams that are not draining.
	serving, draining []string
}

// groupLoaders returns the loaders beside the upstreams of each software version.
func (relay *Relay) groupLoaders(upstreams []fleet.Upstream) map[origin.Origin]*loaderGroup {
	groups := make(map[origin.Origin]*loaderGroup)
	for _, upstream := range upstreams {
		software := softwareOf(upstream)
		group, ok := groups[software]
		if !ok {
			group = new(loaderGroup)
			groups[software] = group
		}
		if upstream.Draining {
			group.draining = append(group.draining, relay.loaderAddress(upstream))
		} else {
			group.serving = append(group.serving, relay.loaderAddress(upstream))
		}
	}
	return groups
}

// observeOrigins records the software of the listed upstreams, and tells further loaders of
// the streams whose holders are gone.
func (relay *Relay) observeOrigins(upstreams []fleet.Upstream) {
	groups := relay.groupLoaders(upstreams)
	relay.origins.setGroups(groups)
	listed, present := make(map[origin.Origin]bool), make(map[string]bool, len(upstreams))
	for software, group := range groups {
		listed[software] = true
		for _, address := range group.serving {
			present[address] = true
		}
	}
	relay.origins.history.Observe(listed)
	relay.origins.keepLoaderStarts(present)
	moved := make(map[string][]origin.Record)
	for _, record := range relay.origins.ledger.Orphans(present) {
		holders := relay.originHolders(record)
		relay.origins.ledger.Record(record, holders)
		for _, holder := range holders {
			moved[holder] = append(moved[holder], record)
		}
	}
	for holder, records := range moved {
		relay.sendOrigins(records, holder)
	}
}

// recordLoaderStart has a loader that has started again told of the streams that it held.
func (relay *Relay) recordLoaderStart(loader string, start int64) {
	if start != 0 && relay.origins.recordStart(loader, start) {
		relay.origins.addReturned(loader)
	}
}

// originHolders returns the addresses of the loaders that hold the origin of a stream: those
// of its version, and those of other versions of its service, as an instance that does not
// know its version yet asks these.
func (relay *Relay) originHolders(record origin.Record) []string {
	loaders := relay.loadersOf(record.Origin)
	if loaders == nil {
		// The service has no engines, or none of the version is left.
		loaders = relay.allLoaders()
	}
	holders := loaders.holders(record.Key)
	others := 0
	for software := range relay.origins.loaderGroups() {
		if software.Service != record.Origin.Service || software == record.Origin || others == maxOtherVersions {
			continue
		}
		if loaders := relay.loadersOf(software); loaders != nil && len(loaders.serving) > 0 {
			holders = append(holders, loaders.holders(record.Key)...)
			others++
		}
	}
	slices.Sort(holders)
	return slices.Compact(holders)
}

// holders returns the loaders of a group that hold the origin of a stream.
func (loaders *loaderGroup) holders(key origin.Key) []string {
	if len(loaders.serving) == 0 {
		return rank.Top(key.String(), loaders.draining, originHolders)
	}
	return rank.Top(key.String(), loaders.serving, originHolders)
}

// askedLoaders returns the addresses of the loaders that may hold the origin of a stream
// of some services.
func (relay *Relay) askedLoaders(key origin.Key, services []string) []string {
	var asked []string
	ask := func(loaders *loaderGroup) {
		asked = append(asked, rank.Top(key.String(), loaders.serving, askedHolders)...)
		asked = append(asked, rank.Top(key.String(), loaders.draining, originHolders)...)
	}
	for software := range relay.origins.loaderGroups() {
		if loaders := relay.loadersOf(software); loaders != nil && slices.Contains(services, software.Service) {
			ask(loaders)
		}
	}
	if len(asked) == 0 {
		ask(relay.allLoaders())
	}
	slices.Sort(asked)
	return slices.Compact(asked)
}

// loadersOf returns the loaders beside the engines of a software version, or nil if there are
// none. The result is shared and must not be changed.
func (relay *Relay) loadersOf(software origin.Origin) *loaderGroup {
	config := relay.store.config()
	if config == nil {
		return nil
	}
	service, ok := config.Service(software.Service)
	if !ok || service.Engine == nil {
		return nil
	}
	return relay.origins.loaderGroups()[software]
}

// allLoaders returns the loaders beside all engines.
func (relay *Relay) allLoaders() *loaderGroup {
	all := new(loaderGroup)
	for software := range relay.origins.loaderGroups() {
		if loaders := relay.loadersOf(software); loaders != nil {
			all.serving = append(all.serving, loaders.serving...)
			all.draining = append(all.draining, loaders.draining...)
		}
	}
	return all
}

// originOf returns the software of an upstream. It is not known if the upstream names no
// version while others of its service do.
func (relay *Relay) originOf(upstream fleet.Upstream) origin.Origin {
	if upstream.SoftwareVersion == "" && relay.namesVersions(upstream.Service) {
		return origin.Origin{}
	}
	return softwareOf(upstream)
}

// softwareOf returns the software that an upstream's entry names.
func softwareOf(upstream fleet.Upstream) origin.Origin {
	return origin.Origin{Service: upstream.Service, Version: upstream.SoftwareVersion}
}

// namesVersions reports whether an upstream of the service names its version.
func (relay *Relay) namesVersions(service string) bool {
	for software := range relay.origins.loaderGroups() {
		if software.Service == service && software.Version != "" {
			return true
		}
	}
	return false
}
