// Package metric publishes counters, gauges and histograms with expvar.
package metric

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// publishMutex is held from the look-up of a map until it is published, since
// expvar ends the process if a name is published twice.
var publishMutex sync.Mutex

// Map returns the expvar map with the given name, such as "relay" or "loader",
// which groups the metrics of one component. It publishes the map on first use.
func Map(name string) *expvar.Map {
	publishMutex.Lock()
	defer publishMutex.Unlock()
	if found, ok := expvar.Get(name).(*expvar.Map); ok {
		return found
	}
	return expvar.NewMap(name)
}

const (
	histogramLowest  = int64(10 * time.Microsecond)
	histogramHighest = int64(10 * time.Minute)
	histogramDigits  = 2
)

// Histogram records durations from 10 µs to 10 min with two significant digits.
// It implements expvar.Var.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
}

// NewHistogram returns an empty Histogram.
func NewHistogram() *Histogram {
	return &Histogram{counts: hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)}
}

// Observe records a duration. A duration out of range is recorded as the nearest
// one in range.
func (histogram *Histogram) Observe(duration time.Duration) {
	value := min(max(int64(duration), histogramLowest), histogramHighest)
	histogram.mu.Lock()
	defer histogram.mu.Unlock()
	_ = histogram.counts.RecordValue(value)
}

// Quantile returns the duration below which the given percentage of the recorded
// durations lies, or 0 if there are none.
func (histogram *Histogram) Quantile(percent float64) time.Duration {
	histogram.mu.Lock()
	defer histogram.mu.Unlock()
	if histogram.counts.TotalCount() == 0 {
		return 0
	}
	return time.Duration(histogram.counts.ValueAtPercentile(percent))
}

// Count returns the number of recorded durations.
func (histogram *Histogram) Count() int64 {
	histogram.mu.Lock()
	defer histogram.mu.Unlock()
	return histogram.counts.TotalCount()
}

// String returns a JSON object with the count and quantiles in milliseconds.
func (histogram *Histogram) String() string {
	summary, err := json.Marshal(map[string]any{
		"count":  histogram.Count(),
		"p50-ms": milliseconds(histogram.Quantile(50)),
		"p95-ms": milliseconds(histogram.Quantile(95)),
		"p99-ms": milliseconds(histogram.Quantile(99)),
	})
	if err != nil {
		return "{}"
	}
	return string(summary)
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
