package metric

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime"
	"time"
)

// serverTimeout is the longest time in which a client must send the headers.
const serverTimeout = 2 * time.Second

// SetGauge sets a value in the map of a component.
func SetGauge(component, name string, value int64) {
	set := new(expvar.Int)
	set.Set(value)
	Map(component).Set(name, set)
}

// NewServer returns a server that responds with the metrics of a component as
// text, with a line COMPONENT.NAME VALUE for each. It calls refresh before each
// response, to update metrics that are not updated by events.
func NewServer(component string, refresh func()) *http.Server {
	handler := func(writer http.ResponseWriter, _ *http.Request) {
		refresh()
		writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
		Map(component).Do(func(entry expvar.KeyValue) {
			_, _ = fmt.Fprintf(writer, "%s.%s %s\n", component, entry.Key, entry.Value)
		})
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		_, _ = fmt.Fprintf(writer, "process.goroutines %d\nprocess.heap-bytes %d\n", runtime.NumGoroutine(), memory.HeapAlloc)
	}
	return &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: serverTimeout}
}
