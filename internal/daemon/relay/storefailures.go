package relay

import (
	"errors"
	"sync"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
)

// storeFailures holds the topics for which this instance's calls to the store fail or are
// overdue. Its zero value holds none.
type storeFailures struct {
	mutex  sync.Mutex
	topics map[string]bool
}

// record records whether the calls for a topic fail, and reports whether that changed
// the result of any.
func (storeFailures *storeFailures) record(topic string, failing bool) (changed bool) {
	storeFailures.mutex.Lock()
	defer storeFailures.mutex.Unlock()
	before := len(storeFailures.topics) > 0
	switch {
	case !failing:
		delete(storeFailures.topics, topic)
	case storeFailures.topics == nil:
		storeFailures.topics = map[string]bool{topic: true}
	default:
		storeFailures.topics[topic] = true
	}
	return before != (len(storeFailures.topics) > 0)
}

// any reports whether the calls for any topic fail.
func (storeFailures *storeFailures) any() bool {
	storeFailures.mutex.Lock()
	defer storeFailures.mutex.Unlock()
	return len(storeFailures.topics) > 0
}

// recordStoreCall records a call to the store.
func (relay *Relay) recordStoreCall(topic string, err error) {
	relay.metrics.recordStoreCall(topic, err)
	answered := err == nil || errors.Is(err, watch.ErrTrimmed) || errors.Is(err, watch.ErrRestored)
	relay.recordStoreState(topic, !answered)
}

// recordStoreState records whether the calls for a topic fail. The other entry instances
// learn of a change at once, as they may have to elect another store reader.
func (relay *Relay) recordStoreState(topic string, failing bool) {
	if !relay.storeFailures.record(topic, failing) {
		return
	}
	relay.config.Logger.Info("relay: calls to the store fail or succeed again", zap.String("topic", topic), zap.Bool("failing", failing))
	relay.peers.recordStoreState(relay.config.DatagramAddress, failing)
	relay.usageUrgent.Store(true)
	relay.reportSoon()
	relay.queryReader()
}
