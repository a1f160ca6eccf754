package relay

import (
	"fmt"
	"sync/atomic"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/telem"
)

// metrics updates the metrics of the instance, in the expvar map "relay".
type metrics struct {
	running atomic.Int64
}

var (
	counters   = telem.Map("relay")
	firstEvent = telem.NewHistogram()
	answerTime = telem.NewHistogram()
)

func init() {
	counters.Set("first-event", firstEvent)
	counters.Set("answer-time", answerTime)
}

func (*metrics) increment(name string) { counters.Add(name, 1) }

// recordAnswered counts a response that was forwarded, and records its time.
func (*metrics) recordAnswered(route string, status int, took time.Duration) {
	counters.Add(fmt.Sprintf("answered-%d", status), 1)
	counters.Add("answered-route-"+route, 1)
	answerTime.Observe(took)
}

// recordStoreCall counts a call to the platform's store by topic and result.
func (*metrics) recordStoreCall(topic string, err error) {
	result := "read"
	if err != nil {
		result = "failed"
	}
	counters.Add("store-"+topic+"-"+result, 1)
}

func (*metrics) recordFirstEvent(took time.Duration) { firstEvent.Observe(took) }

// readsStore returns 1 if this instance reads the store for its failure domain,
// else 0.
func (relay *Relay) readsStore() int64 {
	if reader, _ := relay.peers.storeReader(); reader == relay.config.DatagramAddress {
		return 1
	}
	return 0
}

// setGauges sets the gauges, whose values change without an event.
func (relay *Relay) setGauges() {
	heard, silent := relay.limiter.CountPeers()
	opened, reused := relay.config.Pool.Opened()
	telem.Gauge("relay", "running", relay.metrics.running.Load())
	telem.Gauge("relay", "entries-heard", int64(heard))
	telem.Gauge("relay", "entries-silent", int64(silent))
	telem.Gauge("relay", "reads-store", relay.readsStore())
	telem.Gauge("relay", "connections-opened", int64(opened))
	telem.Gauge("relay", "connections-reused", int64(reused))
	telem.Gauge("relay", "config-age-ms", relay.configAge().Milliseconds())
	telem.Gauge("relay", "upstreams", int64(len(relay.store.instances.Upstreams())))
	if config := relay.store.config(); config != nil {
		telem.Gauge("relay", "config-version", int64(config.Version()))
	}
}
