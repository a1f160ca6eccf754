package picker

import (
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/flow/speed"
)

// Report is a loader's report of its engine.
type Report struct {
	// StartedAt is the start of the engine's incarnation in Unix milliseconds,
	// and Serial counts the loader's reports.
	StartedAt   int64
	Serial      uint64
	Running     int
	Queued      int
	UsedTokens  int64
	TotalTokens int64
	ModelLoaded bool
	Draining    bool
	// Unreachable means that the engine does not answer its loader.
	// Unresponsive means that it does not refuse connections either and was not
	// draining.
	Unreachable  bool
	Unresponsive bool
	// Backlog is the number of prompt tokens ahead of a new request on time:
	// those admitted lately or not yet prefilled, and those of waiting requests
	// that are on time and whose adapter is loaded. Late counts the tokens of
	// such requests that are late.
	Backlog int64
	Late    int64
	// Waiting names the parts of Backlog and Late that wait, by priority.
	Waiting admit.Waiting
	// AdmissionRate is how many prompt tokens per millisecond the loader
	// admits, 0 if unknown.
	AdmissionRate float64
	// Speed is the measured speed of the engine.
	Speed admit.Speed
	// Work is what the loader knows of the engine's work factor.
	Work speed.Work
	// PauseRisk is the expected share of the engine's streams that pause for longer than
	// their goal, and LastingPauseRisk the part that follows from its work factors alone.
	PauseRisk        float64
	LastingPauseRisk float64
	// CacheCapacity is how many of the adapters evicted last the engine can
	// reload from its local cache. Evicted names the evicted adapters, the
	// latest last; a loader sends it once.
	CacheCapacity int
	Evicted       []lora.Adapter
	// FreeAdapterSlots is the number of adapter slots that no request uses.
	FreeAdapterSlots int
	// QueuedLoads is the number of adapters that are pending at the engine or
	// still to be ordered.
	QueuedLoads int
	// BoundWaiting is the number of bound requests that wait at the engine.
	BoundWaiting int
	// WaitingRequests is the number of requests that wait for admission at an engine whose
	// service has a cold rate.
	WaitingRequests int
	// OmitsAdapters means that the report names no adapters; those of the
	// report with the serial FullSerial still hold.
	OmitsAdapters bool
	FullSerial    uint64
	Resident      []lora.Adapter
	Pending       []lora.Adapter
}

// RecordReport stores a loader's report. It ignores reports older than the
// stored one, and those that omit the adapters if the full report is missing.
func (picker *Picker) RecordReport(id string, report Report) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	upstream, ok := picker.upstreams[id]
	if !ok {
		return
	}
	now := time.Now()
	recent := now.Sub(upstream.reportedAt) < picker.config.ReportTTL
	if recent && upstream.report.StartedAt == report.StartedAt && report.Serial <= upstream.report.Serial {
		return
	}
	if report.OmitsAdapters {
		if upstream.report.FullSerial != report.FullSerial {
			return
		}
		report.Resident, report.Pending = upstream.report.Resident, upstream.report.Pending
	}
	upstream.recordEvicted(report)
	upstream.report, upstream.reportedAt = report, now
	cut := now.Add(-picker.config.ReportLag)
	upstream.unreported = slices.DeleteFunc(upstream.unreported, func(at time.Time) bool { return at.Before(cut) })
}

// recordEvicted updates which adapters the engine has evicted since its start.
func (upstream *upstream) recordEvicted(report Report) {
	if report.StartedAt != upstream.report.StartedAt {
		upstream.evicted = lora.EvictionHistory{}
	} else {
		upstream.evicted.Update(upstream.report.Resident, report.Resident)
	}
	if len(report.Evicted) > 0 {
		upstream.evicted.Prepend(report.Evicted)
	}
}

// FullSerial returns the serial of an upstream's last report that named its
// adapters.
func (picker *Picker) FullSerial(id string) uint64 {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	if upstream, ok := picker.upstreams[id]; ok {
		return upstream.report.FullSerial
	}
	return 0
}

// CountReporting returns how many engines have a recent report, and how many
// have reported at all.
func (picker *Picker) CountReporting() (recent, engines int) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	now := time.Now()
	for _, upstream := range picker.upstreams {
		if upstream.reportedAt.IsZero() {
			continue
		}
		engines++
		if picker.reportIsRecent(upstream, now) {
			recent++
		}
	}
	return recent, engines
}

// Gone reports whether an upstream has ended or is unresponsive, so that
// requests sent there get no answer. A draining upstream refuses connections
// but goes on serving those that it has.
func (picker *Picker) Gone(id string) bool {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	upstream, ok := picker.upstreams[id]
	return ok && (upstream.report.Unresponsive && !upstream.spec.Draining || upstream.restarted())
}

// PendingElsewhere returns how many adapters are pending at the other upstreams
// of a service.
func (picker *Picker) PendingElsewhere(service, id string) int {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	pending := 0
	for _, upstream := range picker.services[service] {
		if upstream.spec.ID != id && picker.reportIsRecent(upstream, time.Now()) {
			pending += len(upstream.report.Pending)
		}
	}
	return pending
}

// RecordMissing records that an upstream answered that it does not have an
// adapter.
func (picker *Picker) RecordMissing(id string, adapter lora.Adapter) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	if upstream, ok := picker.upstreams[id]; ok {
		// Nothing else holds the report's slice, so it may be changed in place.
		upstream.report.Resident = slices.DeleteFunc(upstream.report.Resident, func(held lora.Adapter) bool {
			return held.Name == adapter.Name
		})
	}
}

// RecordLoad records the load that an answer named.
func (picker *Picker) RecordLoad(id string, load int) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	if upstream, ok := picker.upstreams[id]; ok {
		upstream.answeredLoad, upstream.answeredAt = load, time.Now()
	}
}
