package picker

import (
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/speed"
)

// RecordMeasurement keeps what a stream showed of an engine's speed, for its
// loader.
func (picker *Picker) RecordMeasurement(id string, measurement admit.Measurement) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	upstream, ok := picker.upstreams[id]
	if !ok || len(upstream.measurements) >= maxMeasurements {
		return
	}
	upstream.measurements = append(upstream.measurements, measurement)
}

// TakeMeasurements returns the measurements of an engine since the last call.
func (picker *Picker) TakeMeasurements(id string) []admit.Measurement {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	upstream, ok := picker.upstreams[id]
	if !ok {
		return nil
	}
	measurements := slices.Concat(upstream.measurements, upstream.takeStatement(time.Now()))
	upstream.measurements = nil
	return measurements
}

// TypicalSpeed returns the median speed of a service's engines, as in their
// loaders' recent reports.
func (picker *Picker) TypicalSpeed(service string) admit.Speed {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	now := time.Now()
	var rates []float64
	var intervals []time.Duration
	for _, upstream := range picker.services[service] {
		if !picker.reportIsRecent(upstream, now) {
			continue
		}
		if rate := upstream.report.Speed.PrefillRate; rate > 0 {
			rates = append(rates, rate)
		}
		if interval := upstream.report.Speed.EventInterval; interval > 0 {
			intervals = append(intervals, interval)
		}
	}
	return admit.Speed{PrefillRate: speed.Median(rates), EventInterval: speed.Median(intervals)}
}
