package relay

import (
	"errors"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
)

// recordStoreCall records a call to the store.
func (relay *Relay) recordStoreCall(topic string, err error) {
	relay.metrics.recordStoreCall(topic, err)
	answered := err == nil || errors.Is(err, watch.ErrTrimmed) || errors.Is(err, watch.ErrRestored)
	relay.recordStoreState(topic, !answered)
}

// recordStoreState records whether the calls for a topic fail. The other entry instances
// learn of a change at once, as they may have to elect another store reader.
func (relay *Relay) recordStoreState(topic string, failing bool) {
	if !relay.peers.recordOwnStoreState(topic, failing) {
		return
	}
	relay.config.Logger.Info("relay: calls to the store fail or succeed again", zap.String("topic", topic), zap.Bool("failing", failing))
	relay.usageUrgent.Store(true)
	relay.reportSoon()
	relay.queryReader()
}
