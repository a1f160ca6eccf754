// Package speed estimates how fast an engine works from what its streams show:
// how long the first event took, by the size of the prompt, and how far apart
// the next events came. Engines of another make or size need no settings.
package speed

import (
	"slices"
	"time"
)

const (
	// mostReadings and mostPauses bound what is remembered; the newest count.
	mostReadings = 40
	mostPauses   = 24
	// leastReadings and leastPauses are needed for an estimate.
	leastReadings = 12
	leastPauses   = 3
	// leastDifference is by how many prompt tokens two readings must differ to
	// say something of the rate.
	leastDifference = 100
	// slowestRate and fastestRate bound an estimate, in prompt tokens per
	// millisecond.
	slowestRate = 0.5
	fastestRate = 2000
)

// Estimator learns the pace of one engine. It is not safe for concurrent use.
type Estimator struct {
	readings []reading
	pauses   []time.Duration
	rate     float64
	bound    float64
}

type reading struct {
	prompt int64
	took   time.Duration
}

// RecordFirstEvent records how long it took from sending a prompt, with none before it, to
// the first event.
func (estimator *Estimator) RecordFirstEvent(prompt int64, took time.Duration) {
	if prompt <= 0 || took <= 0 {
		return
	}
	estimator.readings = KeepNewest(append(estimator.readings, reading{prompt, took}), mostReadings)
	estimator.rate, estimator.bound = estimator.estimate(), estimator.leastRate()
}

// RecordInterval records the usual pause between two events of one stream.
func (estimator *Estimator) RecordInterval(pause time.Duration) {
	if pause > 0 {
		estimator.pauses = KeepNewest(append(estimator.pauses, pause), mostPauses)
	}
}

// PrefillRate returns how many prompt tokens the engine reads in a millisecond, 0 if
// that is not known.
func (estimator *Estimator) PrefillRate() float64 { return estimator.rate }

// MinPrefillRate returns a rate that the engine reaches at the least, 0 if none is
// known. It needs one reading, but counts the way there and back as reading.
func (estimator *Estimator) MinPrefillRate() float64 { return estimator.bound }

// leastRate returns the median of the rates that the readings show.
func (estimator *Estimator) leastRate() float64 {
	rates := make([]float64, 0, len(estimator.readings))
	for _, reading := range estimator.readings {
		rates = append(rates, float64(reading.prompt)/(reading.took.Seconds()*1000))
	}
	return min(Median(rates), fastestRate)
}

// EventInterval returns the usual time between two events, 0 if it is not known.
func (estimator *Estimator) EventInterval() time.Duration {
	if len(estimator.pauses) < leastPauses {
		return 0
	}
	return Median(estimator.pauses)
}

// Reset forgets everything, as after a restart of the engine.
func (estimator *Estimator) Reset() { *estimator = Estimator{} }

// estimate returns the median of the rates between all pairs of readings (Theil
// 1950, Sen 1968). What all readings have in common, such as the way there and
// back, cancels out, and up to a quarter of them may be far off: prompts whose
// parts the engine had kept, or that waited for others.
func (estimator *Estimator) estimate() float64 {
	if len(estimator.readings) < leastReadings {
		return 0
	}
	var times []float64
	for i, a := range estimator.readings {
		for _, b := range estimator.readings[i+1:] {
			tokens := a.prompt - b.prompt
			if max(tokens, -tokens) < leastDifference {
				continue
			}
			milliseconds := (a.took - b.took).Seconds() * 1000
			times = append(times, milliseconds/float64(tokens))
		}
	}
	if len(times) < leastReadings {
		return 0
	}
	perToken := Median(times)
	if perToken <= 1.0/fastestRate || perToken >= 1/slowestRate {
		return 0
	}
	return 1 / perToken
}

// Median returns the middle one of the values, the larger of two, or 0 of none.
func Median[Value float64 | time.Duration](values []Value) Value { return Quantile(values, 0.5) }

// Quantile returns the smallest of the values that is larger than a part of
// them, or 0 of none. part is from 0 to 1.
func Quantile[Value float64 | time.Duration](values []Value, part float64) Value {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

// KeepNewest returns the last values, at most the given number.
func KeepNewest[Value any](values []Value, most int) []Value {
	return values[max(len(values)-most, 0):]
}
