package admit

import (
	"cmp"
	"time"
)

// Pace is how fast an engine works. Zero values are not known.
type Pace struct {
	// ReadRate is how many prompt tokens it reads in a millisecond.
	ReadRate float64
	// Event is the time between two events when it reads no prompts.
	Event time.Duration
}

// Reading is what one stream showed of the engine's pace.
type Reading struct {
	// Ask is the request, as in Ask.ID.
	Ask uint64
	// First is the time from sending the request to its first event, and Pause
	// the usual one between two events; 0 if not known yet.
	First time.Duration
	Pause time.Duration
}

// lone is a grant that had no prompt before it.
type lone struct {
	entry  string
	ask    uint64
	prompt int64
}

// mostAlone is the number of such grants that are remembered.
const mostAlone = 64

// Measured records what streams of an entry instance showed.
func (gate *Gate) Measured(entry string, readings []Reading) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	for _, reading := range readings {
		gate.pace.Paused(reading.Pause)
		if reading.First <= 0 {
			continue
		}
		for _, grant := range gate.alone {
			if grant.entry == entry && grant.ask == reading.Ask {
				gate.pace.Read(grant.prompt, reading.First)
			}
		}
	}
}

// Restarted forgets the engine's pace, since another may have taken its place.
func (gate *Gate) Restarted() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	gate.pace.Reset()
	gate.alone = nil
}

// Pace returns what was learned of the engine's pace.
func (gate *Gate) Pace() Pace {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return Pace{ReadRate: cmp.Or(gate.pace.Rate(), gate.fasterRate()), Event: gate.pace.Pause()}
}

// fasterRate returns a rate above the default that the engine has shown to
// reach, or 0.
func (gate *Gate) fasterRate() float64 {
	if bound := gate.pace.AtLeast(); bound > gate.config.ReadRate {
		return bound
	}
	return 0
}

// Intake returns how many prompt tokens the engine reads in a millisecond, of
// those that the gate gives out.
func (gate *Gate) Intake() float64 {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	return gate.readRate() * gate.config.Use
}
