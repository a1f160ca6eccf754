package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/logs"
	"jacinthfront.dev/jacinthfront/internal/flow/origin"
)

// When all instances and loaders have ended at once, nothing but the store knows which
// software versions were listed before. The records that it retains tell.

const (
	// recallTimeout bounds the time for reading the history of the instance list, and
	// recallInterval is the least time between two attempts.
	recallTimeout  = 250 * time.Millisecond
	recallInterval = time.Second
	// coveringShare selects the address whose records tell how far the history reaches: one of
	// this part of the addresses has more of them. Single upstreams may write more often.
	coveringShare = 4
)

// recallState tells when the history was last read.
type recallState struct {
	mutex  sync.Mutex
	readAt time.Time
}

// recallSoftware adds what the store retains of the instance list to the history of software
// versions.
func (relay *Relay) recallSoftware(ctx context.Context) {
	recall := &relay.origins.recall
	recall.mutex.Lock()
	defer recall.mutex.Unlock()
	if relay.config.InstanceHistory == nil || !recall.readAt.IsZero() && time.Since(recall.readAt) < recallInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	began := time.Now()
	read, err := relay.config.InstanceHistory.History(ctx, relay.instanceWatcher.Position().Next)
	recall.readAt = time.Now()
	covered := read.covered(relay.config.Heartbeat)
	if err == nil {
		relay.origins.history.Recall(began.Add(-covered), read.software())
	}
	relay.config.Logger.Info("fleet: history of the instance list read", zap.Int("records", len(read.Listings)),
		zap.Duration("covered", covered), zap.Duration("took", time.Since(began)), logs.ErrorField(err))
}

// covered returns how far back the records reach. The upstreams at an address write one at
// each heartbeat, the first of them at once.
func (history ListingHistory) covered(heartbeat time.Duration) time.Duration {
	if history.Complete {
		return origin.HistoryRetention
	}
	counts := make(map[string]int)
	for _, listing := range history.Listings {
		if listing.Upstream != nil {
			counts[listing.Upstream.Address]++
		}
	}
	sorted := slices.Sorted(maps.Values(counts))
	if len(sorted) == 0 {
		return 0
	}
	slices.Reverse(sorted)
	return time.Duration(sorted[len(sorted)/coveringShare]-1) * heartbeat
}

// software returns the software that the records name.
func (history ListingHistory) software() map[origin.Origin]bool {
	named := make(map[origin.Origin]bool)
	for _, listing := range history.Listings {
		if listing.Upstream != nil {
			named[softwareOf(*listing.Upstream)] = true
		}
	}
	return named
}
