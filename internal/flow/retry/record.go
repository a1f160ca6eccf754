package retry

import (
	"math"
	"slices"
	"time"
)

// slotSum is what was sent by the end of a slot, or in several slots.
type slotSum struct{ requests, retries uint64 }

// max returns the larger numbers of two.
func (sum slotSum) max(other slotSum) slotSum {
	return slotSum{max(sum.requests, other.requests), max(sum.retries, other.retries)}
}

// record is how much one incarnation had sent by the end of each slot.
type record struct {
	// sums holds a number for each slot up to newest, in ascending order. What was sent by
	// the end of the first one may be older than that.
	sums   []slotSum
	newest int
	// changedAt is when something was last heard of the incarnation.
	changedAt time.Time
}

// newRecord returns the record of a past whose first slot is the given one.
func newRecord(past Past, newest int) *record {
	sums := make([]slotSum, len(past.Slots)+1)
	sum := slotSum{past.Requests, past.Retries}
	for age, slot := range past.Slots {
		sums[len(past.Slots)-age] = sum
		sum.requests -= min(sum.requests, uint64(slot.Requests))
		sum.retries -= min(sum.retries, uint64(slot.Retries))
	}
	sums[0] = sum
	return &record{sums: sums, newest: newest}
}

// oldest returns the first slot of which the record has a number.
func (record *record) oldest() int { return record.newest - len(record.sums) + 1 }

// sum returns what had been sent by the end of a slot, as far as known.
func (record *record) sum(slot int) slotSum {
	index := slot - record.oldest()
	if index < 0 || len(record.sums) == 0 {
		return slotSum{}
	}
	return record.sums[min(index, len(record.sums)-1)]
}

// slot returns what was sent in a slot after the oldest.
func (record *record) slot(slot int) Slot {
	sum, before := record.sum(slot), record.sum(slot-1)
	return Slot{Requests: counted(sum.requests - before.requests), Retries: counted(sum.retries - before.retries)}
}

// counted converts a number to that of a slot.
func counted(number uint64) uint32 { return uint32(min(number, math.MaxUint32)) }

// extend makes the record reach up to a slot.
func (record *record) extend(to int) {
	if len(record.sums) == 0 {
		record.sums, record.newest = make([]slotSum, 2), to
		return
	}
	if missing := to - record.newest; missing > 0 {
		record.sums = append(record.sums, slices.Repeat([]slotSum{record.sum(record.newest)}, missing)...)
		record.newest = to
	}
}

// raise makes the numbers from a slot on at least as large as a sum.
func (record *record) raise(from int, sum slotSum) {
	for i := max(from-record.oldest(), 0); i < len(record.sums); i++ {
		record.sums[i] = record.sums[i].max(sum)
	}
}

// join adds another record of the same incarnation. What either has before the slot since
// only counts as a sum, if the other begins after it.
func (record *record) join(other *record, since int) {
	oldest, newest := min(record.oldest(), other.oldest()), max(record.newest, other.newest)
	switch {
	case len(record.sums) == 0:
		oldest = other.oldest()
	case record.newest < min(since, other.oldest()):
		oldest = other.oldest()
	}
	sums := make([]slotSum, 0, newest-oldest+1)
	for slot := oldest; slot <= newest; slot++ {
		sums = append(sums, record.sum(slot).max(other.sum(slot)))
	}
	record.sums, record.newest = sums, newest
}

// trim forgets the slots before one.
func (record *record) trim(from int) {
	if excess := min(from-record.oldest(), len(record.sums)-1); excess > len(record.sums)/2 {
		record.sums = slices.Clone(record.sums[excess:])
	}
}

// sentWithin returns what was sent in the slots of a window that ends with the present slot.
func (record *record) sentWithin(present, slots int) slotSum {
	last, before := record.sum(record.newest), record.sum(max(present-slots-1, record.oldest()))
	return slotSum{last.requests - before.requests, last.retries - before.retries}
}

// past returns the past in the slots of a window that ends with the present slot.
func (record *record) past(present, slots int) Past {
	last := record.sum(record.newest)
	past := Past{Requests: last.requests, Retries: last.retries, Slots: make([]Slot, 0, slots+1)}
	for slot := present; slot >= present-slots && slot > record.oldest(); slot-- {
		past.Slots = append(past.Slots, record.slot(slot))
	}
	return past
}
