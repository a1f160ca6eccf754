package metric

import (
	"expvar"
	"fmt"
	"net/http"
	"runtime"
	"time"
)

// serverTimeout is the time for a request's headers.
const serverTimeout = 2 * time.Second

// SetGauge sets a value of a part's map.
func SetGauge(part, name string, value int64) {
	set := new(expvar.Int)
	set.Set(value)
	Map(part).Set(name, set)
}

// NewServer returns a server that writes the metrics of a part as text, one a
// line, as PART.NAME VALUE. refresh is called first, for values that change
// without an event.
func NewServer(part string, refresh func()) *http.Server {
	handler := func(writer http.ResponseWriter, _ *http.Request) {
		refresh()
		writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
		Map(part).Do(func(entry expvar.KeyValue) {
			_, _ = fmt.Fprintf(writer, "%s.%s %s\n", part, entry.Key, entry.Value)
		})
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		_, _ = fmt.Fprintf(writer, "process.goroutines %d\nprocess.heap-bytes %d\n", runtime.NumGoroutine(), memory.HeapAlloc)
	}
	return &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: serverTimeout}
}
