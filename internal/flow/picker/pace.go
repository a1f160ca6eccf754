package picker

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/speed"
)

// RecordMeasurement records what a stream showed of an engine's pace, for its loader.
func (board *Picker) RecordMeasurement(id string, reading admit.Measurement) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	if !ok || len(entry.readings) >= mostReadings {
		return
	}
	entry.readings = append(entry.readings, reading)
}

// TakeMeasurements returns what was measured of an engine since the last call.
func (board *Picker) TakeMeasurements(id string) []admit.Measurement {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	if !ok {
		return nil
	}
	readings := entry.readings
	entry.readings = nil
	return readings
}

// TypicalSpeed returns the usual pace of a service's engines, as their loaders have
// learned it.
func (board *Picker) TypicalSpeed(service string) admit.Speed {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	now := time.Now()
	var rates []float64
	var events []time.Duration
	for _, entry := range board.services[service] {
		if !board.fresh(entry, now) {
			continue
		}
		if rate := entry.report.Speed.PrefillRate; rate > 0 {
			rates = append(rates, rate)
		}
		if event := entry.report.Speed.EventInterval; event > 0 {
			events = append(events, event)
		}
	}
	return admit.Speed{PrefillRate: speed.Median(rates), EventInterval: speed.Median(events)}
}
