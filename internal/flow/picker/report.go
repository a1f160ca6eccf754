package picker

import (
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
)

// Report is what a loader says of its engine.
type Report struct {
	StartedAt   int64
	Serial      uint64
	Running     int
	Queued      int
	UsedTokens  int64
	TotalTokens int64
	ModelLoaded bool
	Draining    bool
	// Unreachable means that the engine does not answer its loader, Silent that
	// it does not even refuse connections and was not leaving.
	Unreachable  bool
	Unresponsive bool
	// Backlog is the number of prompt tokens that were let in lately, or wait for
	// their turn with their adapter loaded and on time. Late counts those of late
	// requests.
	Backlog int64
	Late    int64
	// AdmissionRate is how many prompt tokens the engine reads in a millisecond, 0 if it
	// is not known.
	AdmissionRate float64
	// Speed is what was learned of the engine.
	Speed admit.Speed
	// CacheCapacity is the number of latest dropped adapters that the engine brings back
	// by itself, and Dropped names them, the latest one last. Dropped is told
	// once.
	CacheCapacity int
	Dropped       []lora.Adapter
	// FreeAdapterSlots is the number of places for adapters that no request uses.
	FreeAdapterSlots int
	// QueuedLoads is the number of adapters on their way or still to be ordered.
	QueuedLoads int
	// OmitsAdapters reports name no adapters; those of the report with the serial
	// FullSerial stand.
	OmitsAdapters bool
	FullSerial    uint64
	Resident      []lora.Adapter
	Pending       []lora.Adapter
}

// RecordReport takes over a loader's report. Older ones are ignored.
func (board *Picker) RecordReport(id string, report Report) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	if !ok {
		return
	}
	now := time.Now()
	recent := now.Sub(entry.reported) < board.config.ReportTTL
	if recent && entry.report.StartedAt == report.StartedAt && report.Serial <= entry.report.Serial {
		return
	}
	if report.OmitsAdapters {
		if entry.report.FullSerial != report.FullSerial {
			return
		}
		report.Resident, report.Pending = entry.report.Resident, entry.report.Pending
	}
	entry.remember(report)
	entry.report, entry.reported = report, now
	cut := now.Add(-board.config.ReportLag)
	entry.sent = slices.DeleteFunc(entry.sent, func(at time.Time) bool { return at.Before(cut) })
}

// remember follows which adapters the engine has dropped since its start.
func (entry *upstream) remember(report Report) {
	if report.StartedAt != entry.report.StartedAt {
		entry.memory = lora.EvictionHistory{}
	} else {
		entry.memory.Update(entry.report.Resident, report.Resident)
	}
	if len(report.Dropped) > 0 {
		entry.memory.Prepend(report.Dropped)
	}
}

// FullSerial returns the serial of the last report of an upstream that named its
// adapters.
func (board *Picker) FullSerial(id string) uint64 {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		return entry.report.FullSerial
	}
	return 0
}

// CountReporting returns how many of the engines that reported once have done so lately,
// and their number.
func (board *Picker) CountReporting() (heard, engines int) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	now := time.Now()
	for _, entry := range board.upstreams {
		if entry.reported.IsZero() {
			continue
		}
		engines++
		if board.fresh(entry, now) {
			heard++
		}
	}
	return heard, engines
}

// Gone reports whether an upstream is known to have ended or gone dark, so that
// what was sent there gets no answer. One that is leaving takes no connections
// and goes on serving those that it has.
func (board *Picker) Gone(id string) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	return ok && (entry.report.Unresponsive && !entry.spec.Draining || entry.restarted())
}

// PendingElsewhere returns how many adapters are on their way to the upstreams of a
// service other than the one with the id.
func (board *Picker) PendingElsewhere(service, id string) int {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	coming := 0
	for _, entry := range board.services[service] {
		if entry.spec.ID != id && board.fresh(entry, time.Now()) {
			coming += len(entry.report.Pending)
		}
	}
	return coming
}

// RecordMissing records that an upstream said that it does not hold an adapter.
func (board *Picker) RecordMissing(id string, adapter lora.Adapter) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		// The loaders' reports share their slices with no one else.
		entry.report.Resident = slices.DeleteFunc(entry.report.Resident, func(held lora.Adapter) bool {
			return held.Name == adapter.Name
		})
	}
}

// RecordLoad records the load that an answer named.
func (board *Picker) RecordLoad(id string, load int) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		entry.answered, entry.answeredAt = load, time.Now()
	}
}
