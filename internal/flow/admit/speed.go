package admit

import (
	"cmp"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/speed"
)

// Speed is how fast an engine works. A zero value means unknown.
type Speed struct {
	// PrefillRate is how many prompt tokens the engine prefills per
	// millisecond.
	PrefillRate float64
	// EventInterval is the time between two events of a stream when no prompt
	// is prefilled.
	EventInterval time.Duration
}

// Measurement is what one stream showed of the engine's speed.
type Measurement struct {
	// RequestID identifies the request, as in Request.ID.
	RequestID uint64
	// FirstEvent is the time from sending the request to its first event, and
	// EventInterval the usual time between two events; 0 means not measured.
	FirstEvent    time.Duration
	EventInterval time.Duration
	// Stated is the work factor that the engine stated in a response, if any.
	Stated speed.Statement
}

// soloGrant is a grant that had no prompt ahead of it.
type soloGrant struct {
	entry        string
	requestID    uint64
	promptTokens int64
}

// maxSoloGrants bounds the solo grants that are remembered.
const maxSoloGrants = 64

// RecordMeasurements records what the streams of an entry instance showed.
// First events count only for solo grants.
func (controller *Controller) RecordMeasurements(entry string, measurements []Measurement) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	for _, measurement := range measurements {
		controller.estimator.RecordInterval(measurement.EventInterval)
		controller.factors.Record(measurement.Stated)
		if measurement.FirstEvent <= 0 {
			continue
		}
		for _, grant := range controller.solo {
			if grant.entry == entry && grant.requestID == measurement.RequestID {
				controller.estimator.RecordFirstEvent(grant.promptTokens, measurement.FirstEvent)
			}
		}
	}
}

// ResetSpeed forgets the measured speed, for use when the engine restarts, as
// another one may have taken its place.
func (controller *Controller) ResetSpeed() {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	controller.estimator.Reset()
	controller.factors.Reset()
	controller.pauses.Reset()
	controller.solo = nil
}

// Speed returns the measured speed of the engine.
func (controller *Controller) Speed() Speed {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	return Speed{PrefillRate: cmp.Or(controller.estimator.PrefillRate(), controller.fasterPrefillRate()), EventInterval: controller.estimator.EventInterval()}
}

// fasterPrefillRate returns the estimated lower bound of the engine's prefill
// rate if it is above the default, else 0.
func (controller *Controller) fasterPrefillRate() float64 {
	if bound := controller.estimator.MinPrefillRate(); bound > controller.config.PrefillRate {
		return bound
	}
	return 0
}

// AdmissionRate returns how many prompt tokens per millisecond the controller
// admits when the engine is not in a slow moment.
func (controller *Controller) AdmissionRate() float64 {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	return controller.prefillRateAt(controller.work().Lasting) * controller.config.Utilisation
}
