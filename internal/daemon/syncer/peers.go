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
	// maxCalls bounds concurrent calls to peers, so that peers which hang do
	// not hold up calls to others.
	maxCalls = 8
	// hintInterval is the time between calls while a newer version is known to
	// exist, and hintTries how many calls one hint may cause.
	hintInterval = 100 * time.Millisecond
	hintTries    = 5
	// pushGap is the least time between calls on account of new versions, so
	// that a burst of patches costs no more than ten rounds of calls a second.
	pushGap = 100 * time.Millisecond
	// neighbourCount is how many peers are called in turn. Calls to ever other
	// peers of a large fleet would each open a connection, and a TLS handshake
	// each second in both roles exceeds the budget of 3 KB/s.
	neighbourCount = 16
)

// answers is what a peer did last.
type answers struct {
	called   time.Time
	answered time.Time
}

// peerList chooses peers and remembers which of them answered. It calls a random
// sample of the list in random order, each once before any a second time, and
// replaces one of the sample after each round.
type peerList struct {
	listed []string
	// neighbours is the sample, the one called the longest first.
	neighbours []string
	order      []string
	seen       map[string]answers
	wanted     uint64
	tries      int
}

// refresh takes over the instance list and forgets calls before a time.
func (peers *peerList) refresh(listed []string, since time.Time) {
	peers.listed = listed
	for address, entry := range peers.seen {
		if entry.called.Before(since) {
			delete(peers.seen, address)
		}
	}
}

// next returns the next peer.
func (peers *peerList) next(random *rand.Rand) (string, bool) {
	if len(peers.order) == 0 {
		peers.sample(random)
		peers.order = slices.Clone(peers.neighbours)
		random.Shuffle(len(peers.order), func(left, right int) {
			peers.order[left], peers.order[right] = peers.order[right], peers.order[left]
		})
	}
	if len(peers.order) == 0 {
		return "", false
	}
	address := peers.order[0]
	peers.order = peers.order[1:]
	return address, true
}

// sample drops peers that are not listed any more and one other, and fills up
// the sample from the list.
func (peers *peerList) sample(random *rand.Rand) {
	known := make(map[string]bool, len(peers.listed))
	for _, address := range peers.listed {
		known[address] = true
	}
	if len(known) <= neighbourCount {
		peers.neighbours = slices.Sorted(maps.Keys(known))
		return
	}
	peers.neighbours = slices.DeleteFunc(peers.neighbours, func(address string) bool { return !known[address] })
	if len(peers.neighbours) >= neighbourCount {
		peers.neighbours = slices.Delete(peers.neighbours, 0, len(peers.neighbours)-neighbourCount+1)
	}
	for len(peers.neighbours) < neighbourCount {
		address := peers.listed[random.IntN(len(peers.listed))]
		if !slices.Contains(peers.neighbours, address) {
			peers.neighbours = append(peers.neighbours, address)
		}
	}
}

func (peers *peerList) note(address string, change func(*answers)) {
	if peers.seen == nil {
		peers.seen = map[string]answers{}
	}
	entry := peers.seen[address]
	change(&entry)
	peers.seen[address] = entry
}

// answer reports whether at least half of the peers called since a time have
// answered. Calls are a random sample of the list, since a large list cannot be
// called completely within the isolation limit.
func (peers *peerList) answer(since time.Time) bool {
	if len(peers.listed) == 0 {
		return true
	}
	called, answered := 0, 0
	for _, entry := range peers.seen {
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

func (peers *peerList) want(version uint64) {
	peers.wanted = max(peers.wanted, version)
	peers.tries = hintTries
}

// followPeers calls one random peer each interval, and others when there is
// news, until the context ends.
func (syncer *Syncer) followPeers(ctx context.Context) error {
	if syncer.config.Dial == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	calls, callContext := errgroup.WithContext(ctx)
	calls.SetLimit(maxCalls)
	defer func() { _ = calls.Wait() }()
	call := func(address string) {
		// At the limit of concurrent calls this one is left out; the next
		// interval brings another.
		calls.TryGo(func() error {
			syncer.callPeer(callContext, address)
			return nil
		})
	}
	syncer.callNext(call, 1)
	next := time.Now().Add(syncer.interval())
	var pushed time.Time
	for {
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
			syncer.callNext(call, 1)
			next = time.Now().Add(syncer.interval())
		case address := <-syncer.kicks:
			timer.Stop()
			switch {
			case address != "":
				call(address)
			case time.Since(pushed) >= pushGap:
				pushed = time.Now()
				syncer.callNext(call, syncer.config.PushFanout)
			}
			next = earlier(next, time.Now().Add(syncer.interval()))
		}
	}
}

func earlier(left, right time.Time) time.Time {
	if right.Before(left) {
		return right
	}
	return left
}

// interval returns the time until the next call: jittered, and shorter while a
// newer version is known to exist.
func (syncer *Syncer) interval() time.Duration {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	interval := syncer.config.SyncInterval
	if syncer.peers.wanted > syncer.fold.Config().Version() && syncer.peers.tries > 0 {
		syncer.peers.tries--
		interval = min(interval, hintInterval)
	}
	return interval*9/10 + time.Duration(syncer.random.Int64N(int64(interval/5)+1))
}

// callNext calls the next peers in random order.
func (syncer *Syncer) callNext(call func(address string), count int) {
	listed := syncer.config.Peers()
	syncer.mutex.Lock()
	syncer.peers.refresh(listed, time.Now().Add(-syncer.config.IsolationLimit))
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

// callPeer synchronises with one peer.
func (syncer *Syncer) callPeer(ctx context.Context, address string) {
	syncer.noteCall(address, func(entry *answers) { entry.called = time.Now() })
	if err := syncer.syncWith(ctx, address); err != nil {
		syncer.metrics.Add("peer-errors", 1)
		syncer.config.Logger.Debug("config: could not sync with peer", zap.String("address", address), zap.Error(err))
	}
}

func (syncer *Syncer) noteCall(address string, change func(*answers)) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	syncer.peers.note(address, change)
}
