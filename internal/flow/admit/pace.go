package admit

import (
	"cmp"
	"time"
)

// Speed is how fast an engine works. Zero values are not known.
type Speed struct {
	// PrefillRate is how many prompt tokens it reads in a millisecond.
	PrefillRate float64
	// EventInterval is the time between two events when it reads no prompts.
	EventInterval time.Duration
}

// Measurement is what one stream showed of the engine's pace.
type Measurement struct {
	// RequestID is the request, as in Ask.ID.
	RequestID uint64
	// FirstEvent is the time from sending the request to its first event, and Pause
	// the usual one between two events; 0 if not known yet.
	FirstEvent    time.Duration
	EventInterval time.Duration
}

// lone is a grant that had no prompt before it.
type lone struct {
	entry  string
	ask    uint64
	prompt int64
}

// mostAlone is the number of such grants that are remembered.
const mostAlone = 64

// RecordMeasurements records what streams of an entry instance showed.
func (gate *Controller) RecordMeasurements(entry string, readings []Measurement) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	for _, reading := range readings {
		gate.pace.RecordInterval(reading.EventInterval)
		if reading.FirstEvent <= 0 {
			continue
		}
		for _, grant := range gate.alone {
			if grant.entry == entry && grant.ask == reading.RequestID {
				gate.pace.RecordFirstEvent(grant.prompt, reading.FirstEvent)
			}
		}
	}
}

// ResetSpeed forgets the engine's pace, since another may have taken its place.
func (gate *Controller) ResetSpeed() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.pace.Reset()
	gate.alone = nil
}

// Speed returns what was learned of the engine's pace.
func (gate *Controller) Speed() Speed {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return Speed{PrefillRate: cmp.Or(gate.pace.PrefillRate(), gate.fasterRate()), EventInterval: gate.pace.EventInterval()}
}

// fasterRate returns a rate above the default that the engine has shown to
// reach, or 0.
func (gate *Controller) fasterRate() float64 {
	if bound := gate.pace.MinPrefillRate(); bound > gate.config.PrefillRate {
		return bound
	}
	return 0
}

// AdmissionRate returns how many prompt tokens the engine reads in a millisecond, of
// those that the gate gives out.
func (gate *Controller) AdmissionRate() float64 {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.readRate() * gate.config.Utilisation
}
