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
	// wholeUsages is how many times an entry instance that has just started is
	// told all that was spent.
	wholeUsages = 3
	// wholePeriod is how often the others are told all, so that what they missed
	// is made up for.
	wholePeriod = time.Second
	// livePeriod is how long after it was last heard an entry instance may be
	// the one that reads the store.
	livePeriod = time.Second
)

// peers holds the other entry instances by their datagram addresses.
type peers struct {
	own    string
	domain string

	mutex sync.Mutex
	known map[string]*peer
}

type peer struct {
	// noted is when it was last heard, or named by a loader.
	noted time.Time
	// heard is when it last spoke, and start and domain what it said.
	heard  time.Time
	start  int64
	domain string
	// wholes counts down the usages that must tell all, and wholeAt is when the
	// last one did.
	wholes  int
	wholeAt time.Time
}

func newPeers(own, domain string) *peers {
	return &peers{own: own, domain: domain, known: make(map[string]*peer)}
}

// spoke records what an entry instance said of itself.
func (peers *peers) spoke(address, domain string, start int64) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	known := peers.note(address)
	if known == nil {
		return
	}
	if known.start != start {
		known.start, known.wholes = start, wholeUsages
	}
	known.heard, known.domain = time.Now(), domain
}

// named records the entry instances that a loader hears.
func (peers *peers) named(addresses []string) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for _, address := range addresses {
		peers.note(address)
	}
}

// note returns an entry instance that is there, or nil if the address is none.
func (peers *peers) note(address string) *peer {
	if address == peers.own {
		return nil
	}
	known, ok := peers.known[address]
	if !ok {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil
		}
		known = &peer{wholes: wholeUsages}
		peers.known[address] = known
	}
	known.noted = time.Now()
	return known
}

// addresses returns the entry instances that are there, and those that are
// gone: neither heard nor named by a loader for long. reached tells that this
// instance hears most loaders; if not, it may be the one that is cut off.
func (peers *peers) addresses(reached bool) (present, gone []string) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for address, known := range peers.known {
		if reached && time.Since(known.noted) > peerTime {
			delete(peers.known, address)
			gone = append(gone, address)
		}
	}
	return slices.Sorted(maps.Keys(peers.known)), gone
}

// takeWhole reports whether an entry instance is to be told all that was spent,
// and counts it as told.
func (peers *peers) takeWhole(address string) bool {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	known, ok := peers.known[address]
	if !ok || known.wholes <= 0 && time.Since(known.wholeAt) < wholePeriod {
		return false
	}
	known.wholes, known.wholeAt = max(known.wholes-1, 0), time.Now()
	return true
}

// count returns the number of entry instances, this one included.
func (peers *peers) count() int {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return 1 + len(peers.known)
}

// reader returns the entry instance that reads the store for this one's failure
// domain, and the others there that live.
func (peers *peers) reader() (first string, others []string) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for address, known := range peers.known {
		if known.domain == peers.domain && !known.heard.IsZero() && time.Since(known.heard) < livePeriod {
			others = append(others, address)
		}
	}
	return rank.First("store", append([]string{peers.own}, others...)), others
}
