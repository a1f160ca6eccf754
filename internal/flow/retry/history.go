package retry

import (
	"slices"
	"time"
)

const (
	// SlotTime is the length of a slot.
	SlotTime = 100 * time.Millisecond
	// maxSlots bounds the slots that are kept, and so the window, to an hour.
	maxSlots = 36_000
)

// history counts requests and retries by slot.
type history struct {
	// start is the beginning of slot 0. Slots of the past before it have negative
	// numbers.
	start time.Time
	// newest is the number of the last slot, which is the last element of kept.
	newest int
	kept   []Slot
}

// advance appends empty slots up to the present one.
func (history *history) advance() {
	present := int(time.Since(history.start) / SlotTime)
	if len(history.kept) == 0 {
		history.kept, history.newest = make([]Slot, 1), present
	}
	missing := present - history.newest
	if missing >= maxSlots {
		history.kept = make([]Slot, 1)
		history.newest = present
		return
	}
	for range missing {
		history.kept = append(history.kept, Slot{})
	}
	history.newest = present
	if excess := len(history.kept) - maxSlots; excess > 0 {
		history.kept = history.kept[excess:]
	}
}

// add counts requests and retries that were sent at a time, unless that is too long
// ago.
func (history *history) add(at time.Time, requests, retries uint32) {
	if slot := history.slot(at); slot != nil {
		slot.Requests += requests
		slot.Retries += retries
	}
}

// remove takes back a retry that was sent at a time.
func (history *history) remove(at time.Time) {
	if slot := history.slot(at); slot != nil && slot.Retries > 0 {
		slot.Retries--
	}
}

// slot returns the slot of a time, or nil if that is too long ago.
func (history *history) slot(at time.Time) *Slot {
	history.advance()
	age := int(time.Since(history.start)/SlotTime) - int(at.Sub(history.start)/SlotTime)
	if age < 0 || age >= len(history.kept) {
		return nil
	}
	return &history.kept[len(history.kept)-1-age]
}

// sum returns the retries that may lie within a window, and the requests that do so
// for certain.
func (history *history) sum(window time.Duration) (requests, retries uint64) {
	history.advance()
	whole := int(window / SlotTime)
	if excess := len(history.kept) - (whole + 1); excess > len(history.kept)/2 {
		history.kept = slices.Clone(history.kept[excess:])
	}
	for age := range min(len(history.kept), whole+1) {
		slot := history.kept[len(history.kept)-1-age]
		retries += uint64(slot.Retries)
		if age < whole {
			requests += uint64(slot.Requests)
		}
	}
	return requests, retries
}

// slots returns what was counted within a window, the present slot first.
func (history *history) slots(window time.Duration) []Slot {
	history.advance()
	count := min(len(history.kept), int(window/SlotTime)+1)
	slots := make([]Slot, 0, count)
	for age := range count {
		slots = append(slots, history.kept[len(history.kept)-1-age])
	}
	return slots
}

// adopt adds what another instance has counted.
func (history *history) adopt(past []Slot) {
	history.advance()
	past = past[:min(len(past), maxSlots)]
	if missing := len(past) - len(history.kept); missing > 0 {
		history.kept = append(make([]Slot, missing, missing+len(history.kept)), history.kept...)
	}
	for age, slot := range past {
		own := &history.kept[len(history.kept)-1-age]
		own.Requests += slot.Requests
		own.Retries += slot.Retries
	}
}
