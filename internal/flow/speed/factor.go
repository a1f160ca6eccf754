package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// minFactor and maxFactor bound the work factors that are believed.
	minFactor = 0.05
	maxFactor = 50
	// momentTime is the time in which the difference between a stated and the lasting
	// factor falls to 1/e, and momentTTL the age from which on a stated one no longer
	// counts.
	momentTime = 500 * time.Millisecond
	momentTTL  = 1500 * time.Millisecond
	// sampleSpacing is the least time between two samples, so that a burst of responses
	// counts as one. sampleTTL is the age up to which samples count.
	sampleSpacing = 100 * time.Millisecond
	sampleTTL     = time.Minute
	// maxFactorSamples bounds the samples that are kept, and lastingSamples those of which
	// the lasting factor is the median.
	maxFactorSamples = 128
	lastingSamples   = 48
	// minFactorSamples is the number of samples from which on the lasting factor is known.
	// Up to medianSamples it is the least one, since a slow moment may hold most of them.
	minFactorSamples = 2
	medianSamples    = 8
	// momentRatio is how much larger than the lasting factor the present one is in a
	// slow moment.
	momentRatio = 1.25
)

// ValidFactor reports whether a work factor is a number in the range that is believed.
func ValidFactor(factor float64) bool { return factor >= minFactor && factor <= maxFactor }

// Differs reports whether two work factors differ by more than momentRatio.
func Differs(a, b float64) bool { return max(a, b) > momentRatio*min(a, b) }

// Statement is a work factor that an upstream stated: how long work takes there, 1 for
// the usual time. A zero value means none.
type Statement struct {
	Factor float64
	At     time.Time
}

// Fresher returns the later of two statements.
func Fresher(a, b Statement) Statement {
	if b.Factor > 0 && (a.Factor == 0 || b.At.After(a.At)) {
		return b
	}
	return a
}

// Work is what is known of an upstream's work factor.
type Work struct {
	// Stated is the last factor that the upstream stated.
	Stated Statement
	// Lasting is the factor without slow moments, 0 if unknown.
	Lasting float64
}

// Present returns the factor that is expected now, or 0 if unknown. A stated one gives
// way to the lasting one with its age.
func (work Work) Present(now time.Time) float64 {
	age := max(now.Sub(work.Stated.At), 0)
	switch {
	case work.Stated.Factor == 0 || age >= momentTTL:
		return work.Lasting
	case work.Lasting == 0:
		return work.Stated.Factor
	}
	return work.Lasting + (work.Stated.Factor-work.Lasting)*math.Exp(-age.Seconds()/momentTime.Seconds())
}

// Slowdown returns how many times as long as in the lasting case work takes now, 1 if
// unknown.
func (work Work) Slowdown(now time.Time) float64 {
	if work.Lasting == 0 {
		return 1
	}
	return work.Present(now) / work.Lasting
}

// SlowMoment reports whether the upstream is slower now than lastingly.
func (work Work) SlowMoment(now time.Time) bool { return work.Slowdown(now) > momentRatio }

// Factors tracks the work factor of one upstream. It is not safe for concurrent use.
type Factors struct {
	last    Statement
	samples []Statement
	lasting float64
}

// Record records a factor that the upstream stated at a time. It reports whether the
// factor is believed.
func (factors *Factors) Record(statement Statement) bool {
	if !ValidFactor(statement.Factor) {
		return false
	}
	factors.last = Fresher(factors.last, statement)
	count := len(factors.samples)
	if count > 0 && statement.At.Sub(factors.samples[count-1].At) < sampleSpacing {
		return true
	}
	for len(factors.samples) > 0 && statement.At.Sub(factors.samples[0].At) > sampleTTL {
		factors.samples = factors.samples[1:]
	}
	factors.samples = KeepNewest(append(factors.samples, statement), maxFactorSamples)
	factors.lasting = lastingFactor(factorsOf(KeepNewest(factors.samples, lastingSamples)))
	return true
}

// lastingFactor returns the factor without slow moments, or 0 if it is not known.
func lastingFactor(samples []float64) float64 {
	switch {
	case len(samples) < minFactorSamples:
		return 0
	case len(samples) < medianSamples:
		return slices.Min(samples)
	default:
		return Median(samples)
	}
}

// Work returns what is known of the factor.
func (factors *Factors) Work(now time.Time) Work {
	if now.Sub(factors.last.At) > sampleTTL {
		return Work{}
	}
	return Work{Stated: factors.last, Lasting: factors.lasting}
}

// ShareAbove returns the share of the samples with a larger factor, 0 while the lasting
// factor is unknown.
func (factors *Factors) ShareAbove(limit float64) float64 {
	if factors.lasting == 0 {
		return 0
	}
	above := 0
	for _, sample := range factors.samples {
		if sample.Factor > limit {
			above++
		}
	}
	return float64(above) / float64(len(factors.samples))
}

// SlowMoment returns the typical factor of the upstream's slow moments, 0 if none is known.
func (factors *Factors) SlowMoment() float64 {
	if factors.lasting == 0 {
		return 0
	}
	slow := slices.DeleteFunc(factorsOf(factors.samples), func(factor float64) bool { return factor <= factors.lasting*momentRatio })
	return Median(slow)
}

// Reset forgets all, for use after a restart of the upstream.
func (factors *Factors) Reset() { *factors = Factors{} }

func factorsOf(samples []Statement) []float64 {
	values := make([]float64, 0, len(samples))
	for _, sample := range samples {
		values = append(values, sample.Factor)
	}
	return values
}
