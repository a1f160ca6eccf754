package relay

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/rank"
)

const (
	// initialFullReports is how many full usage reports are sent to an entry instance
	// that has just started.
	initialFullReports = 3
	// fullReportInterval is the time between two full usage reports, which make up for
	// lost datagrams.
	fullReportInterval = time.Second
	// readerTimeout is how long after its last usage report an entry instance may be
	// the store reader, or allocate permits.
	readerTimeout = time.Second
)

// peers tracks the other entry instances by their datagram addresses.
type peers struct {
	own    string
	domain string

	mutex     sync.Mutex
	byAddress map[string]*peer
	// failingTopics holds the topics for which this instance's calls to the store fail or
	// are overdue.
	failingTopics map[string]bool
}

// peer is what is known of another entry instance.
type peer struct {
	// lastSeen is when it last sent a usage report or was listed by a loader.
	lastSeen time.Time
	// lastHeard is when it last sent a usage report. The next fields are from that
	// report.
	lastHeard     time.Time
	start         int64
	domain        string
	configVersion uint64
	// storeFailing means that its calls to the store fail.
	storeFailing bool
	// fullReportsDue counts down the full usage reports that are to be sent in a row,
	// and fullReportAt is when the last one was sent.
	fullReportsDue int
	fullReportAt   time.Time
	// pastWanted means that it does not know what all have sent.
	pastWanted bool
}

func newPeers(own, domain string) *peers {
	return &peers{own: own, domain: domain, byAddress: make(map[string]*peer), failingTopics: make(map[string]bool)}
}

// recordReport records the sender of a usage report. It reports whether the sender has
// started since its last report, or was not live.
func (peers *peers) recordReport(address, domain string, start int64, configVersion uint64) (returned bool) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	sender := peers.markSeen(address)
	if sender == nil {
		return false
	}
	returned = sender.start != start || !sender.live()
	if sender.start != start {
		sender.start, sender.fullReportsDue = start, initialFullReports
	}
	sender.lastHeard, sender.domain, sender.configVersion = time.Now(), domain, configVersion
	return returned
}

// recordPastWanted records whether an entry instance wants to be told what all have sent.
func (peers *peers) recordPastWanted(address string, wanted bool) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if peer, ok := peers.byAddress[address]; ok {
		peer.pastWanted = wanted
	}
}

// recordListed records the entry instances that a loader lists.
func (peers *peers) recordListed(addresses []string) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for _, address := range addresses {
		peers.markSeen(address)
	}
}

// markSeen records that an entry instance is present. It returns nil for this
// instance's own address and for an invalid one.
func (peers *peers) markSeen(address string) *peer {
	if address == peers.own {
		return nil
	}
	found, ok := peers.byAddress[address]
	if !ok {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil
		}
		found = &peer{fullReportsDue: initialFullReports}
		peers.byAddress[address] = found
	}
	found.lastSeen = time.Now()
	return found
}

// expire returns the entry instances that are present, and removes and returns
// those that were not seen for peerTimeout. loadersHeard means that this instance
// hears most loaders. If not, none is removed, as this instance may be the one
// that is cut off.
func (peers *peers) expire(loadersHeard bool) (present, removed []string) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for address, peer := range peers.byAddress {
		if loadersHeard && time.Since(peer.lastSeen) > peerTimeout {
			delete(peers.byAddress, address)
			removed = append(removed, address)
		}
	}
	return slices.Sorted(maps.Keys(peers.byAddress)), removed
}

// reportKind is the extent of a usage report.
type reportKind uint8

const (
	// partialReport has what changed recently.
	partialReport reportKind = iota
	// fullReport has all that the sender did.
	fullReport
	// firstReport is a full one to an entry instance that has just started or was stopped,
	// which also tells what all have done before.
	firstReport
)

// takeReport returns the kind of the next usage report to an entry instance, and
// counts it as sent.
func (peers *peers) takeReport(address string) reportKind {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	peer, ok := peers.byAddress[address]
	if !ok || peer.fullReportsDue <= 0 && time.Since(peer.fullReportAt) < fullReportInterval {
		return partialReport
	}
	kind := fullReport
	if peer.fullReportsDue > 0 || peer.pastWanted {
		kind = firstReport
	}
	peer.fullReportsDue, peer.fullReportAt = max(peer.fullReportsDue-1, 0), time.Now()
	return kind
}

// count returns the number of entry instances, including this one.
func (peers *peers) count() int {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return 1 + len(peers.byAddress)
}

// live returns this instance and the other entry instances that were heard within
// readerTimeout.
func (peers *peers) live() []string {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return append([]string{peers.own}, peers.heard()...)
}

// hearsMajority reports whether more than half of the entry instances, this one included,
// were heard within readerTimeout. It is asked for each cold upstream in a choice.
func (peers *peers) hearsMajority() bool {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	heard, now := 1, time.Now()
	for _, peer := range peers.byAddress {
		if peer.liveAt(now) {
			heard++
		}
	}
	return 2*heard > 1+len(peers.byAddress)
}

// liveOthers is live without this instance.
func (peers *peers) liveOthers() []string {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return peers.heard()
}

// heard returns the other entry instances that were heard within readerTimeout. Its caller
// holds the mutex.
func (peers *peers) heard() []string {
	var heard []string
	for address, peer := range peers.byAddress {
		if peer.live() {
			heard = append(heard, address)
		}
	}
	return heard
}

// live reports whether the entry instance was heard within readerTimeout.
func (peer *peer) live() bool { return peer.liveAt(time.Now()) }

// liveAt is live at a time.
func (peer *peer) liveAt(now time.Time) bool {
	return !peer.lastHeard.IsZero() && now.Sub(peer.lastHeard) < readerTimeout
}

// latestConfig returns the latest configuration that another entry instance reported,
// and whether all known ones have reported.
func (peers *peers) latestConfig() (version uint64, complete bool) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	complete = true
	for _, peer := range peers.byAddress {
		version = max(version, peer.configVersion)
		complete = complete && !peer.lastHeard.IsZero()
	}
	return version, complete
}

// recordStoreState records whether another entry instance's calls to the store fail, and
// reports whether that changed.
func (peers *peers) recordStoreState(address string, failing bool) (changed bool) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	sender, ok := peers.byAddress[address]
	if !ok || sender.storeFailing == failing {
		return false
	}
	sender.storeFailing = failing
	return true
}

// recordOwnStoreState records whether this instance's calls for a topic fail, and reports
// whether that changed what ownStoreFails returns.
func (peers *peers) recordOwnStoreState(topic string, failing bool) (changed bool) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	before := len(peers.failingTopics) > 0
	if failing {
		peers.failingTopics[topic] = true
	} else {
		delete(peers.failingTopics, topic)
	}
	return before != (len(peers.failingTopics) > 0)
}

// ownStoreFails reports whether this instance's calls to the store fail for any topic.
func (peers *peers) ownStoreFails() bool {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return len(peers.failingTopics) > 0
}

// storeReader returns the entry instance that reads the store for this instance's
// failure domain, and the other live entry instances there. One whose calls to the store
// fail is elected only if those of all do.
func (peers *peers) storeReader() (reader string, others []string) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	var reaching []string
	if len(peers.failingTopics) == 0 {
		reaching = append(reaching, peers.own)
	}
	for address, peer := range peers.byAddress {
		if peer.domain != peers.domain || !peer.live() {
			continue
		}
		others = append(others, address)
		if !peer.storeFailing {
			reaching = append(reaching, address)
		}
	}
	if len(reaching) == 0 {
		reaching = append([]string{peers.own}, others...)
	}
	return rank.First("store", reaching), others
}
