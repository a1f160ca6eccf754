// Package metric publishes counters, gauges and histograms with expvar.
package metric

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// publishing is held from the look-up of a map to its publication, since expvar
// ends the program when a name is published twice.
var publishing sync.Mutex

// Map returns the published expvar map of a part and publishes it at first use.
func Map(name string) *expvar.Map {
	publishing.Lock()
	defer publishing.Unlock()
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

// Histogram counts durations from 10 µs to 10 min with two significant digits.
// It implements expvar.Var.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
}

// NewHistogram returns an empty Histogram.
func NewHistogram() *Histogram {
	return &Histogram{counts: hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)}
}

// Observe counts one duration; values out of range count at the range's ends.
func (histogram *Histogram) Observe(duration time.Duration) {
	value := min(max(int64(duration), histogramLowest), histogramHighest)
	histogram.mu.Lock()
	defer histogram.mu.Unlock()
	_ = histogram.counts.RecordValue(value)
}

// Quantile returns the duration below which the given percentage lies.
func (histogram *Histogram) Quantile(percent float64) time.Duration {
	histogram.mu.Lock()
	defer histogram.mu.Unlock()
	if histogram.counts.TotalCount() == 0 {
		return 0
	}
	return time.Duration(histogram.counts.ValueAtPercentile(percent))
}

// Count returns the number of durations observed.
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
