package retry

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxPasts bounds the incarnations of which one message tells.
	maxPasts = 5
	// maxRecords bounds the incarnations that an Archive keeps.
	maxRecords = 4096
	// recordLifetime is how long an incarnation is kept of which nothing is heard.
	recordLifetime = 10 * time.Minute
)

// Incarnation is one run of an instance.
type Incarnation struct {
	Instance string
	// Start tells the incarnations of an instance apart.
	Start int64
}

// compare orders incarnations.
func (incarnation Incarnation) compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(incarnation.Instance, other.Instance), cmp.Compare(incarnation.Start, other.Start))
}

// Past is what an incarnation has sent, as far as the instance that tells it knows.
type Past struct {
	Incarnation Incarnation
	// Requests and Retries are what it has sent since its start.
	Requests, Retries uint64
	// Slots holds what it has sent in the last slots, the present one first.
	Slots []Slot
}

// Slot is what was sent within SlotTime.
type Slot struct {
	Requests uint32
	Retries  uint32
}

// Archive keeps how much each incarnation had sent by the end of each slot. Whoever tells
// it may know too little, never too much: a retry counts from when it was heard of. So of
// two numbers for the same slot the larger one is right, and merging is commutative and
// idempotent and loses nothing. An Archive may not be used concurrently.
type Archive struct {
	// window is how far back instances tell what was sent.
	window  time.Duration
	records map[Incarnation]*record
	// total is the sum of the records.
	total history
	// next is where the next part of the records begins that Pasts returns.
	next int
}

// NewArchive returns an empty Archive.
func NewArchive() *Archive {
	// Instances begin with different parts, so that together they tell all.
	return &Archive{records: make(map[Incarnation]*record), total: history{start: time.Now()}, next: rand.IntN(maxRecords)}
}

// SetWindow sets how far back the archive must reach.
func (archive *Archive) SetWindow(window time.Duration) { archive.window = window }

// present returns the number of the present slot.
func (archive *Archive) present() int { return archive.total.number(time.Now()) }

// windowSlots returns the number of slots in the window.
func (archive *Archive) windowSlots() int { return int(archive.window / SlotTime) }

// Merge adds what an instance tells now.
func (archive *Archive) Merge(past Past) {
	present := archive.present()
	told, known := newRecord(past, present), archive.record(past.Incarnation)
	from := min(told.oldest(), known.oldest())
	archive.update(known, from, func() { known.join(told, present-archive.windowSlots()) })
}

// Report adds what an incarnation reports to have sent since its start. Before is when it,
// or an earlier incarnation of the same instance, last reported, or zero. When it sent what
// is new is not known: requests leave the window as if it was at once, retries as if it was
// now.
func (archive *Archive) Report(incarnation Incarnation, requests, retries uint64, before time.Time) {
	known, found := archive.records[incarnation]
	if found {
		known.changedAt = time.Now()
	} else {
		known = archive.record(incarnation)
		if before.IsZero() {
			// Without an earlier report, all of it may be older than the window.
			known.sums, known.newest = []slotSum{{requests, retries}}, archive.present()
			return
		}
		known.sums, known.newest = make([]slotSum, 1), archive.total.number(before)-1
	}
	if before.IsZero() {
		before = time.Now()
	}
	since := archive.total.number(before)
	archive.update(known, since, func() {
		known.extend(archive.present())
		known.raise(since, slotSum{requests: requests})
		known.raise(known.newest, slotSum{retries: retries})
	})
}

// count adds what an incarnation sends at present.
func (archive *Archive) count(incarnation Incarnation, requests, retries uint64) {
	known := archive.record(incarnation)
	archive.update(known, archive.present(), func() {
		known.extend(archive.present())
		last := &known.sums[len(known.sums)-1]
		last.requests += requests
		last.retries += retries
	})
}

// uncount takes back a retry that an incarnation has sent at a time.
func (archive *Archive) uncount(incarnation Incarnation, at time.Time) {
	known, slot := archive.record(incarnation), archive.total.number(at)
	archive.update(known, slot, func() {
		for i := max(slot-known.oldest(), 0); i < len(known.sums); i++ {
			known.sums[i].retries -= min(known.sums[i].retries, 1)
		}
	})
}

// Pasts returns what an instance tells: all that is known of itself, and of others that have
// sent retries within the window, up to maxPasts in all. If there are more, each call
// returns the next ones.
func (archive *Archive) Pasts(own Incarnation) []Past {
	archive.expire()
	archive.record(own)
	present, slots := archive.present(), archive.windowSlots()
	told := archive.known(func(incarnation Incarnation, record *record) bool {
		return incarnation != own && record.sentWithin(present, slots).retries > 0
	})
	if room := maxPasts - 1; len(told) > room {
		start := archive.next % len(told)
		archive.next = start + room
		told = append(told[start:], told[:start]...)[:room]
	}
	return archive.pasts(append([]Incarnation{own}, told...))
}

// known returns the incarnations whose records pass a test.
func (archive *Archive) known(test func(Incarnation, *record) bool) []Incarnation {
	var known []Incarnation
	for incarnation, record := range archive.records {
		if test(incarnation, record) {
			known = append(known, incarnation)
		}
	}
	slices.SortFunc(known, Incarnation.compare)
	return known
}

// pasts returns the pasts of incarnations.
func (archive *Archive) pasts(incarnations []Incarnation) []Past {
	pasts := make([]Past, 0, len(incarnations))
	for _, incarnation := range incarnations {
		past := archive.records[incarnation].past(archive.present(), archive.windowSlots())
		past.Incarnation = incarnation
		pasts = append(pasts, past)
	}
	return pasts
}

// record returns the record of an incarnation.
func (archive *Archive) record(incarnation Incarnation) *record {
	found, ok := archive.records[incarnation]
	if !ok {
		if len(archive.records) >= maxRecords {
			archive.expire()
		}
		found = &record{newest: archive.present() - 1}
		archive.records[incarnation] = found
	}
	found.changedAt = time.Now()
	return found
}

// update changes a record from a slot on, and the total with it.
func (archive *Archive) update(record *record, from int, change func()) {
	for slot := max(from, record.oldest()+1); slot <= record.newest; slot++ {
		if total := archive.total.at(slot); total != nil {
			sent := record.slot(slot)
			total.Requests -= min(total.Requests, sent.Requests)
			total.Retries -= min(total.Retries, sent.Retries)
		}
	}
	change()
	for slot := max(from, record.oldest()+1); slot <= record.newest; slot++ {
		if total := archive.total.at(slot); total != nil {
			sent := record.slot(slot)
			total.Requests += sent.Requests
			total.Retries += sent.Retries
		}
	}
	record.trim(archive.present() - 2*archive.windowSlots())
}

// expire removes records of which nothing has been heard for long.
func (archive *Archive) expire() {
	lifetime := max(recordLifetime, 2*archive.window)
	maps.DeleteFunc(archive.records, func(_ Incarnation, record *record) bool { return time.Since(record.changedAt) > lifetime })
}
