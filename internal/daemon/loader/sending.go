package loader

import "time"

// lastSent is the full state that an entry instance was last sent.
type lastSent uint8

const (
	sentNothing lastSent = iota
	// sentOlder is a full state before the last one.
	sentOlder
	sentLatest
)

// entryState is what was last sent to an entry instance.
type entryState struct {
	sentAt time.Time
	// fullSerial is the serial of the full state sent at fullSentAt, and
	// acknowledged the one that the entry instance last acknowledged.
	fullSerial   uint64
	fullSentAt   time.Time
	acknowledged uint64
}

// due reports whether a state is due to an entry instance, and which full state
// it was sent before. If one is due, it counts as sent with the full state of
// the given serial. An instance with waiting requests or grants is always due,
// and so is each one after a change of the engine's work factor.
func (loader *Loader) due(entry string, entries int, granted bool, full uint64) (sent lastSent, due bool) {
	delay := min(time.Duration(max(entries-promptEntries, 0))*delayPerEntry, maxDelay)
	waiting := granted || loader.admission.HasWaiting(entry)
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	state := loader.entryStates[entry]
	now := time.Now()
	workTold := !state.sentAt.Before(loader.workChangedAt)
	if !waiting && workTold && now.Sub(state.sentAt) < delay {
		return sentNothing, false
	}
	hasLatest := state.fullSerial == full && (state.acknowledged == full || now.Sub(state.fullSentAt) < acknowledgeTimeout)
	sent = sentOlder
	switch {
	case state.fullSerial == 0:
		sent = sentNothing
	case hasLatest:
		sent = sentLatest
	}
	if sent != sentLatest {
		state.fullSerial, state.fullSentAt = full, now
	}
	state.sentAt = now
	loader.entryStates[entry] = state
	return sent, true
}

// nameEntries returns up to maxNamedEntries of the entry instances. Each call
// goes on where the last one ended, so that states stay small in a large fleet
// and the loaders together name each instance often.
func (loader *Loader) nameEntries(entries []string) []string {
	if len(entries) <= maxNamedEntries {
		return entries
	}
	named := make([]string, 0, maxNamedEntries)
	for range maxNamedEntries {
		named = append(named, entries[loader.named%len(entries)])
		loader.named++
	}
	return named
}
