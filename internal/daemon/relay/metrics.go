package relay

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/metric"
	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
	"jacinthfront.dev/jacinthfront/internal/flow/bucket"
)

// metrics updates the metrics of the instance, in the expvar map "relay".
type metrics struct {
	running atomic.Int64
}

var (
	counters   = metric.Map("relay")
	firstEvent = metric.NewHistogram()
	answerTime = metric.NewHistogram()
	// timerDelay is how late a periodic task begins: how short of processor the instance is.
	timerDelay = metric.NewHistogram()
	// departureDelay is how long at most after a caller has left that is noticed.
	departureDelay = metric.NewHistogram()
)

func init() {
	counters.Set("first-event", firstEvent)
	counters.Set("answer-time", answerTime)
	counters.Set("timer-delay", timerDelay)
	counters.Set("departure-delay", departureDelay)
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
	switch {
	case errors.Is(err, watch.ErrRestored):
		result = "restored"
	case err != nil:
		result = "failed"
	}
	counters.Add("store-"+topic+"-"+result, 1)
}

func (*metrics) recordFirstEvent(took time.Duration) { firstEvent.Observe(took) }

// recordCharged adds what a request of a class was charged.
func (*metrics) recordCharged(class bucket.Class, cost float64) {
	if class != bucket.Unclassified {
		counters.AddFloat("rate-charged-class-"+time.Duration(class).String(), cost)
	}
}

// recordDenied counts a request of a class that its organisation's rate denied.
func (*metrics) recordDenied(class bucket.Class) {
	if class != bucket.Unclassified {
		counters.Add("rate-denied-class-"+time.Duration(class).String(), 1)
	}
}

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
	opened, reused := relay.config.Pool.Stats()
	metric.SetGauge("relay", "running", relay.metrics.running.Load())
	metric.SetGauge("relay", "entries-heard", int64(heard))
	metric.SetGauge("relay", "entries-silent", int64(silent))
	metric.SetGauge("relay", "reads-store", relay.readsStore())
	metric.SetGauge("relay", "connections-opened", int64(opened))
	metric.SetGauge("relay", "connections-reused", int64(reused))
	metric.SetGauge("relay", "config-age-ms", relay.configAge().Milliseconds())
	metric.SetGauge("relay", "upstreams", int64(len(relay.store.instances.Upstreams())))
	metric.SetGauge("relay", "evacuated-domains", int64(len(relay.evacuations.inForce.List())))
	metric.SetGauge("relay", "evacuated-running", int64(relay.picker.CountEvacuatedRunning()))
	metric.SetGauge("relay", "upstreams-limited", int64(relay.permits.limits.Count()))
	metric.SetGauge("relay", "upstreams-cold", int64(relay.permits.cold.Count()))
	metric.SetGauge("relay", "buffered-bytes", relay.buffers.Held())
	slowBytes, slow := relay.callerWrites.held()
	metric.SetGauge("relay", "slow-callers", int64(slow))
	metric.SetGauge("relay", "slow-callers-bytes", slowBytes)
	metric.SetGauge("relay", "poison-parts", int64(relay.poison.CountBlocked()))
	if config := relay.store.config(); config != nil {
		metric.SetGauge("relay", "config-version", int64(config.Version()))
	}
}
