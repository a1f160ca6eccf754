// Package speed estimates how fast an engine works from its streams: from the
// time to the first event by prompt length, and from the time between later
// events. Engines of a different make or size therefore need no settings.
package speed

import (
	"slices"
	"time"
)

const (
	// maxSamples and maxIntervals bound the measurements that are kept; the
	// newest ones count.
	maxSamples   = 40
	maxIntervals = 24
	// minSamples and minIntervals are the numbers of measurements needed for an
	// estimate.
	minSamples   = 12
	minIntervals = 3
	// minTokenDifference is the smallest difference in prompt tokens between
	// two samples that are compared.
	minTokenDifference = 100
	// minRate and maxRate bound an estimate, in prompt tokens per millisecond.
	minRate = 0.5
	maxRate = 2000
)

// Estimator estimates the speed of one engine. It is not safe for concurrent
// use.
type Estimator struct {
	samples        []sample
	intervals      []time.Duration
	prefillRate    float64
	minPrefillRate float64
}

// sample is the time to the first event of one request.
type sample struct {
	promptTokens int64
	took         time.Duration
}

// RecordFirstEvent records the time from sending a prompt, with no other ahead
// of it, to its first event.
func (estimator *Estimator) RecordFirstEvent(promptTokens int64, took time.Duration) {
	if promptTokens <= 0 || took <= 0 {
		return
	}
	estimator.samples = KeepNewest(append(estimator.samples, sample{promptTokens, took}), maxSamples)
	estimator.prefillRate, estimator.minPrefillRate = estimator.theilSenRate(), estimator.medianRate()
}

// RecordInterval records the usual time between two events of one stream.
func (estimator *Estimator) RecordInterval(interval time.Duration) {
	if interval > 0 {
		estimator.intervals = KeepNewest(append(estimator.intervals, interval), maxIntervals)
	}
}

// PrefillRate returns how many prompt tokens the engine prefills per
// millisecond, or 0 if unknown.
func (estimator *Estimator) PrefillRate() float64 { return estimator.prefillRate }

// MinPrefillRate returns an estimated lower bound of the prefill rate, in
// prompt tokens per millisecond, or 0 without samples. One sample is enough,
// but the network round trip counts as prefill.
func (estimator *Estimator) MinPrefillRate() float64 { return estimator.minPrefillRate }

// medianRate returns the median of prompt tokens per millisecond over all
// samples.
func (estimator *Estimator) medianRate() float64 {
	rates := make([]float64, 0, len(estimator.samples))
	for _, sample := range estimator.samples {
		rates = append(rates, float64(sample.promptTokens)/(sample.took.Seconds()*1000))
	}
	return min(Median(rates), maxRate)
}

// EventInterval returns the median time between two events, or 0 if unknown.
func (estimator *Estimator) EventInterval() time.Duration {
	if len(estimator.intervals) < minIntervals {
		return 0
	}
	return Median(estimator.intervals)
}

// Reset forgets all measurements, for use after a restart of the engine.
func (estimator *Estimator) Reset() { *estimator = Estimator{} }

// theilSenRate returns the prefill rate from the median slope between all pairs
// of samples (Theil 1950, Sen 1968). A constant part of all samples, such as
// the network round trip, cancels out. Up to a quarter of the samples may be
// far off, as those of prompts that were partly cached or waited for others.
func (estimator *Estimator) theilSenRate() float64 {
	if len(estimator.samples) < minSamples {
		return 0
	}
	var slopes []float64
	for i, a := range estimator.samples {
		for _, b := range estimator.samples[i+1:] {
			tokens := a.promptTokens - b.promptTokens
			if max(tokens, -tokens) < minTokenDifference {
				continue
			}
			milliseconds := (a.took - b.took).Seconds() * 1000
			slopes = append(slopes, milliseconds/float64(tokens))
		}
	}
	if len(slopes) < minSamples {
		return 0
	}
	perToken := Median(slopes)
	if perToken <= 1.0/maxRate || perToken >= 1/minRate {
		return 0
	}
	return 1 / perToken
}

// Median returns the median of the values, the larger one of two in the middle,
// or 0 of none.
func Median[Value float64 | time.Duration](values []Value) Value { return Quantile(values, 0.5) }

// Quantile returns the smallest value that is larger than the given part, from
// 0 to 1, of the values, or 0 of none.
func Quantile[Value float64 | time.Duration](values []Value, part float64) Value {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

// KeepNewest returns the last values of a slice, at most the given number.
func KeepNewest[Value any](values []Value, limit int) []Value {
	return values[max(len(values)-limit, 0):]
}
