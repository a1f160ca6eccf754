package syncer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// maxConcurrentCalls bounds concurrent calls to peers. There are several, so
	// that peers that do not respond do not delay the calls to others.
	maxConcurrentCalls = 8
	// catchUpInterval is the time between calls while a newer version is known to
	// exist, and maxCatchUpCalls how many such calls one observed version causes.
	catchUpInterval = 100 * time.Millisecond
	maxCatchUpCalls = 5
	// minPushInterval is the least time between two rounds of calls that new
	// versions cause, so that a burst of patches causes at most ten rounds a
	// second.
	minPushInterval = 100 * time.Millisecond
	// sampleSize is how many peers are called in turn. If every call went to
	// another peer of a large fleet, each would open a connection, and one TLS
	// handshake a second as client and as server exceeds the budget of 3 KB/s.
	sampleSize = 16
)

// peerTimes holds when a peer was last called and when it last answered.
type peerTimes struct {
	called   time.Time
	answered time.Time
}

// peerList chooses the peers to call and records which of them answered. The
// peers are called in rounds: each round calls every peer of a random sample of
// the instance list once, in random order. One peer of the sample is replaced
// after each round.
type peerList struct {
	// listed holds the addresses on the instance list.
	listed []string
	// sample is ordered by the time since when a peer belongs to it, the oldest
	// first.
	sample []string
	// callQueue holds the peers that are still to be called in this round.
	callQueue []string
	times     map[string]peerTimes
	// knownVersion is the newest version that another process has shown, and
	// catchUpCalls the number of calls left that it causes.
	knownVersion uint64
	catchUpCalls int
}

// setListed sets the listed addresses and drops the times of peers that were last
// called before a time.
func (peers *peerList) setListed(listed []string, since time.Time) {
	peers.listed = listed
	for address, entry := range peers.times {
		if entry.called.Before(since) {
			delete(peers.times, address)
		}
	}
}

// next returns the next peer to call. It reports false if no peer is listed.
func (peers *peerList) next(random *rand.Rand) (string, bool) {
	if len(peers.callQueue) == 0 {
		peers.refreshSample(random)
		peers.callQueue = slices.Clone(peers.sample)
		random.Shuffle(len(peers.callQueue), func(left, right int) {
			peers.callQueue[left], peers.callQueue[right] = peers.callQueue[right], peers.callQueue[left]
		})
	}
	if len(peers.callQueue) == 0 {
		return "", false
	}
	address := peers.callQueue[0]
	peers.callQueue = peers.callQueue[1:]
	return address, true
}

// refreshSample removes peers that are no longer listed from the sample, and its
// oldest peer if it is full. It then adds random listed peers until it is full.
func (peers *peerList) refreshSample(random *rand.Rand) {
	known := make(map[string]bool, len(peers.listed))
	for _, address := range peers.listed {
		known[address] = true
	}
	if len(known) <= sampleSize {
		peers.sample = slices.Sorted(maps.Keys(known))
		return
	}
	peers.sample = slices.DeleteFunc(peers.sample, func(address string) bool { return !known[address] })
	if len(peers.sample) >= sampleSize {
		peers.sample = slices.Delete(peers.sample, 0, len(peers.sample)-sampleSize+1)
	}
	for len(peers.sample) < sampleSize {
		address := peers.listed[random.IntN(len(peers.listed))]
		if !slices.Contains(peers.sample, address) {
			peers.sample = append(peers.sample, address)
		}
	}
}

// update changes the times of a peer.
func (peers *peerList) update(address string, change func(*peerTimes)) {
	if peers.times == nil {
		peers.times = map[string]peerTimes{}
	}
	entry := peers.times[address]
	change(&entry)
	peers.times[address] = entry
}

// mostAnswer reports whether at least half of the peers that were called since a
// time have answered since then. The peers called are a random sample, since not
// all peers of a long list can be called within the isolation limit. Without
// listed peers it reports true.
func (peers *peerList) mostAnswer(since time.Time) bool {
	if len(peers.listed) == 0 {
		return true
	}
	called, answered := 0, 0
	for _, entry := range peers.times {
		if entry.called.Before(since) {
			continue
		}
		called++
		if !entry.answered.Before(since) {
			answered++
		}
	}
	return called > 0 && 2*answered >= called
}

// observe records a version that another process has shown.
func (peers *peerList) observe(version uint64) {
	peers.knownVersion = max(peers.knownVersion, version)
	peers.catchUpCalls = maxCatchUpCalls
}

// pollPeers calls one random peer each interval, and further peers on request,
// until the context ends.
func (syncer *Syncer) pollPeers(ctx context.Context) error {
	if syncer.config.DialPeer == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	calls, callContext := errgroup.WithContext(ctx)
	calls.SetLimit(maxConcurrentCalls)
	defer func() { _ = calls.Wait() }()
	call := func(address string) {
		// At the limit of concurrent calls this call is skipped. The next interval
		// starts another one.
		calls.TryGo(func() error {
			syncer.callPeer(callContext, address)
			return nil
		})
	}
	syncer.callNextPeers(call, 1)
	next := time.Now().Add(syncer.callInterval())
	var lastPush time.Time
	for {
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
			syncer.callNextPeers(call, 1)
			next = time.Now().Add(syncer.callInterval())
		case address := <-syncer.syncRequests:
			timer.Stop()
			switch {
			case address != "":
				call(address)
			case time.Since(lastPush) >= minPushInterval:
				lastPush = time.Now()
				syncer.callNextPeers(call, syncer.config.PushFanout)
			}
			next = earlier(next, time.Now().Add(syncer.callInterval()))
		}
	}
}

func earlier(left, right time.Time) time.Time {
	if right.Before(left) {
		return right
	}
	return left
}

// callInterval returns the jittered time until the next regular call. It is
// shorter while a newer version is known to exist.
func (syncer *Syncer) callInterval() time.Duration {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	interval := syncer.config.SyncInterval
	if syncer.peers.knownVersion > syncer.replayer.Config().Version() && syncer.peers.catchUpCalls > 0 {
		syncer.peers.catchUpCalls--
		interval = min(interval, catchUpInterval)
	}
	return interval*9/10 + time.Duration(syncer.random.Int64N(int64(interval/5)+1))
}

// callNextPeers calls as many of the next peers as count says, or fewer if fewer
// are listed.
func (syncer *Syncer) callNextPeers(call func(address string), count int) {
	listed := syncer.config.PeerAddresses()
	syncer.mutex.Lock()
	syncer.peers.setListed(listed, time.Now().Add(-syncer.config.IsolationLimit))
	addresses := make([]string, 0, count)
	for range min(count, len(listed)) {
		if address, ok := syncer.peers.next(syncer.random); ok {
			addresses = append(addresses, address)
		}
	}
	syncer.mutex.Unlock()
	for _, address := range addresses {
		call(address)
	}
}

// callPeer synchronises with one peer. Errors are logged and counted.
func (syncer *Syncer) callPeer(ctx context.Context, address string) {
	syncer.updatePeer(address, func(entry *peerTimes) { entry.called = time.Now() })
	if err := syncer.syncWith(ctx, address); err != nil {
		syncer.metrics.Add("peer-errors", 1)
		syncer.config.Logger.Debug("config: could not sync with peer", zap.String("address", address), zap.Error(err))
	}
}

func (syncer *Syncer) updatePeer(address string, change func(*peerTimes)) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	syncer.peers.update(address, change)
}
