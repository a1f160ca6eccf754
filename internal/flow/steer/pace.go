package steer

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/pace"
)

// Measured records what a stream showed of an engine's pace, for its loader.
func (board *Board) Measured(id string, reading admit.Reading) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	if !ok || len(entry.readings) >= mostReadings {
		return
	}
	entry.readings = append(entry.readings, reading)
}

// TakeReadings returns what was measured of an engine since the last call.
func (board *Board) TakeReadings(id string) []admit.Reading {
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

// Typical returns the usual pace of a service's engines, as their loaders have
// learned it.
func (board *Board) Typical(service string) admit.Pace {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	now := time.Now()
	var rates []float64
	var events []time.Duration
	for _, entry := range board.services[service] {
		if !board.fresh(entry, now) {
			continue
		}
		if rate := entry.report.Pace.ReadRate; rate > 0 {
			rates = append(rates, rate)
		}
		if event := entry.report.Pace.Event; event > 0 {
			events = append(events, event)
		}
	}
	return admit.Pace{ReadRate: pace.Median(rates), Event: pace.Median(events)}
}
