package retry

import (
	"math"
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
	// sums holds the sums of the newest slots: the element of an index is that of as many.
	sums []slotSum
}

// advance appends empty slots up to the present one.
func (history *history) advance() {
	present := history.number(time.Now())
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

// number returns the number of the slot of a time.
func (history *history) number(at time.Time) int {
	return int(math.Floor(float64(at.Sub(history.start)) / float64(SlotTime)))
}

// at returns the slot of a number, or nil if that is too long ago.
func (history *history) at(number int) *Slot {
	history.advance()
	age := history.newest - number
	if age < 0 || age >= maxSlots {
		return nil
	}
	if missing := age + 1 - len(history.kept); missing > 0 {
		history.kept = append(make([]Slot, missing, missing+len(history.kept)), history.kept...)
	}
	return &history.kept[len(history.kept)-1-age]
}

// sum returns the retries that may lie within a window, and the requests that do so
// for certain.
func (history *history) sum(window time.Duration) (requests, retries uint64) {
	whole := history.sumUp(window)
	requests, _ = history.between(0, whole)
	_, retries = history.between(0, whole+1)
	return requests, retries
}

// fits reports whether more retries may be sent now: whether in the last window, and in each
// span as long that has begun since, the retries so far and these are within the
// limits. The limits of a span count the requests of the span itself, of the one before
// it or of the one half a window before it, whichever has most: requests that lie before
// a span do not pay for its retries beyond that, although they lie within a window of
// the time at which these are sent.
func (history *history) fits(limits Limits, more float64) bool {
	requests, retries := history.sum(limits.Window)
	switch sum := float64(retries) + more; {
	case sum > limits.total(requests):
		return false
	case sum <= limits.total(0):
		// They fit also a span without requests.
		return true
	}
	whole := int(limits.Window / SlotTime)
	half := whole / 2
	// A span begins within the slot of an age, which counts for its retries only.
	for age := range whole {
		_, retries := history.between(0, age+1)
		same, _ := history.between(0, age)
		before, _ := history.between(age+1, age+whole)
		across, _ := history.between(age-half+1, age+half)
		if float64(retries)+more > limits.total(max(same, before, across)) {
			return false
		}
	}
	return true
}

// sumUp sums up the slots of two windows, from the present one on, and forgets older ones.
// It returns the number of slots in a window.
func (history *history) sumUp(window time.Duration) (whole int) {
	history.advance()
	whole = int(window / SlotTime)
	if excess := len(history.kept) - (2*whole + 1); excess > len(history.kept)/2 {
		history.kept = slices.Clone(history.kept[excess:])
	}
	history.sums = append(history.sums[:0], slotSum{})
	var sum slotSum
	for age := range min(len(history.kept), 2*whole+1) {
		slot := history.kept[len(history.kept)-1-age]
		sum.requests += uint64(slot.Requests)
		sum.retries += uint64(slot.Retries)
		history.sums = append(history.sums, sum)
	}
	return whole
}

// between returns what was counted in the slots from one age up to another, which is left
// out, as sumUp has summed it up.
func (history *history) between(from, to int) (requests, retries uint64) {
	last := len(history.sums) - 1
	from, to = min(max(from, 0), last), min(max(to, 0), last)
	if from >= to {
		return 0, 0
	}
	return history.sums[to].requests - history.sums[from].requests, history.sums[to].retries - history.sums[from].retries
}
