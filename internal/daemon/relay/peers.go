package relay

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// peers holds the datagram addresses of the other entry instances.
type peers struct {
	own       string
	lastSpent map[string]float64

	mutex sync.Mutex
	at    map[string]time.Time
}

func newPeers(own string) *peers { return &peers{own: own, at: make(map[string]time.Time)} }

// seen records that an entry instance was heard.
func (peers *peers) seen(address string) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	peers.note(address)
}

// named records the entry instances that a loader hears.
func (peers *peers) named(addresses []string) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for _, address := range addresses {
		peers.note(address)
	}
}

func (peers *peers) note(address string) {
	if _, err := netip.ParseAddrPort(address); err != nil || address == peers.own {
		return
	}
	peers.at[address] = time.Now()
}

// addresses returns the entry instances that are there, and those that are
// gone: neither heard nor named by a loader for long. reached tells that this
// instance hears most loaders; if not, it may be the one that is cut off.
func (peers *peers) addresses(reached bool) (present, gone []string) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for address, at := range peers.at {
		if reached && time.Since(at) > peerTime {
			delete(peers.at, address)
			gone = append(gone, address)
		}
	}
	return slices.Sorted(maps.Keys(peers.at)), gone
}

// count returns the number of entry instances, this one included.
func (peers *peers) count() int {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	return 1 + len(peers.at)
}
