package relay

import (
	"expvar"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/telem"
)

// metrics counts what the instance does, in the expvar map relay.
type metrics struct {
	running atomic.Int64
}

var (
	counters   = telem.Map("relay")
	firstEvent = telem.NewHistogram()
	wholeTime  = telem.NewHistogram()
)

func init() {
	counters.Set("first-event", firstEvent)
	counters.Set("answer-time", wholeTime)
}

func (*metrics) count(name string) { counters.Add(name, 1) }

func (*metrics) answered(route string, status int, took time.Duration) {
	counters.Add(fmt.Sprintf("answered-%d", status), 1)
	counters.Add("answered-route-"+route, 1)
	wholeTime.Observe(took)
}

func (*metrics) firstEvent(took time.Duration) { firstEvent.Observe(took) }

// serveMetrics writes all metrics as text, one a line.
func (relay *Relay) serveMetrics(writer http.ResponseWriter, _ *http.Request) {
	counters.Do(func(entry expvar.KeyValue) {
		_, _ = fmt.Fprintf(writer, "relay.%s %s\n", entry.Key, entry.Value)
	})
	_, _ = fmt.Fprintf(writer, "relay.running %d\n", relay.metrics.running.Load())
}
