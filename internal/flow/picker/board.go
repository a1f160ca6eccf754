// Package picker chooses the upstream for a request from what an entry instance
// knows of all upstreams: the list, the loaders' reports, the load that answers
// name, and the instance's own requests. It decides speed only; what may run is
// decided before, and each upstream checks that it is the one meant.
package picker

import (
	"cmp"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// Defaults of Config.
const (
	// DefaultReportTTL is the age up to which a report is believed.
	DefaultReportTTL = 1500 * time.Millisecond
	// DefaultReportLag is how much older than its arrival a report is.
	DefaultReportLag = 20 * time.Millisecond
	// DefaultOvercommit is the number of requests beyond its slots that an engine
	// is given.
	DefaultOvercommit = 4
	// DefaultSpillThreshold is by how much the wait at the upstream that ranks first for
	// an adapter may exceed another's before the adapter is brought there
	// instead.
	DefaultSpillThreshold = 220 * time.Millisecond
	// DefaultCopyThreshold is the same for an upstream that holds the adapter, before
	// another copy is brought.
	DefaultCopyThreshold = 330 * time.Millisecond
	// DefaultMoveThreshold is by how much shorter the wait elsewhere must be before a
	// request that waits already moves, so that those that wait do not all move to
	// the same upstream and back.
	DefaultMoveThreshold = 200 * time.Millisecond
	// DefaultAdmissionRate is how many prompt tokens an engine takes in a millisecond,
	// until its loader tells.
	DefaultAdmissionRate = 18.0
	// runningWeight is the backlog in prompt tokens that a running request
	// counts for, since each makes the others slower.
	runningWeight = 30
	// silentStart is how long after it was listed an engine is passed over until
	// its loader reports.
	silentStart = 3 * time.Second
	// loadTime is by how much an adapter that is to be loaded first delays the
	// next one.
	loadTime = 165 * time.Millisecond
	// recallTime is how long an engine takes for an adapter that it brings back
	// by itself, and fetchTime for one from the store.
	recallTime = 60 * time.Millisecond
	fetchTime  = 300 * time.Millisecond
	// mostReadings is the number of readings that are kept for a loader.
	mostReadings = 32
)

// Health says which upstreams are passed over after failures.
type Health interface {
	// Usable reports whether a request may be sent now. It may take the only
	// probe of an upstream that failed.
	Usable(service, id string) bool
}

// Avoided says which upstreams want no requests.
type Avoided interface {
	// Avoided reports whether nothing may be sent to an upstream, and until when;
	// a zero time means for good.
	Avoided(start cordon.Incarnation) (until time.Time, avoided bool)
}

// Config configures a Board. Zero values mean the defaults.
type Config struct {
	FailureDomain  string
	Health         Health
	Avoided        Avoided
	ReportTTL      time.Duration
	ReportLag      time.Duration
	Overcommit     int
	SpillThreshold time.Duration
	CopyThreshold  time.Duration
	MoveThreshold  time.Duration
	AdmissionRate  float64
}

// Picker holds the upstreams as one entry instance sees them. Its methods may be
// called concurrently.
type Picker struct {
	config Config

	mutex     sync.Mutex
	upstreams map[string]*upstream
	services  map[string][]*upstream
	instances int
}

type upstream struct {
	spec     fleet.Upstream
	listed   time.Time
	report   Report
	reported time.Time
	// sent holds when this instance sent what a report does not show yet.
	sent    []time.Time
	running int
	// byAdapter counts this instance's running requests by adapter.
	byAdapter map[lora.Adapter]int
	// wanted counts the copies of adapters that this instance asks for without
	// a request that waits.
	wanted map[lora.Adapter]int
	// asks holds this instance's requests that wait for their turn.
	asks map[uint64]*ask
	// answered is the load that the last answer named.
	answered   int
	answeredAt time.Time
	// stamp grows with each change of what this instance needs there.
	stamp uint64
	// readings holds what streams showed and the loader was not told yet.
	readings []admit.Measurement
	// memory holds the adapters that the engine dropped.
	memory lora.EvictionHistory
}

// New returns a Board without upstreams.
func New(config Config) *Picker {
	config.ReportTTL = cmp.Or(config.ReportTTL, DefaultReportTTL)
	config.ReportLag = cmp.Or(config.ReportLag, DefaultReportLag)
	config.Overcommit = cmp.Or(config.Overcommit, DefaultOvercommit)
	config.SpillThreshold = cmp.Or(config.SpillThreshold, DefaultSpillThreshold)
	config.CopyThreshold = cmp.Or(config.CopyThreshold, DefaultCopyThreshold)
	config.MoveThreshold = cmp.Or(config.MoveThreshold, DefaultMoveThreshold)
	config.AdmissionRate = cmp.Or(config.AdmissionRate, DefaultAdmissionRate)
	return &Picker{config: config, upstreams: make(map[string]*upstream), services: make(map[string][]*upstream), instances: 1}
}

// SetUpstreams takes over the list of upstreams. What is known of those that stay is
// kept.
func (board *Picker) SetUpstreams(listed []fleet.Upstream) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	known := board.upstreams
	board.upstreams = make(map[string]*upstream, len(listed))
	board.services = make(map[string][]*upstream)
	newest := newestAt(listed)
	for _, spec := range listed {
		if spec.StartedAt < newest[spec.Address] {
			continue
		}
		entry, ok := known[spec.ID]
		if !ok {
			entry = newUpstream()
		}
		if spec.StartedAt > entry.report.StartedAt {
			entry.report, entry.reported, entry.listed = Report{}, time.Time{}, time.Now()
		}
		entry.spec = spec
		board.upstreams[spec.ID] = entry
		board.services[spec.Service] = append(board.services[spec.Service], entry)
	}
}

func newUpstream() *upstream {
	return &upstream{
		listed:    time.Now(),
		byAdapter: make(map[lora.Adapter]int),
		wanted:    make(map[lora.Adapter]int),
		asks:      make(map[uint64]*ask),
	}
}

// newestAt returns the latest start listed for each address. What is listed
// there with an earlier one has ended.
func newestAt(listed []fleet.Upstream) map[string]int64 {
	newest := make(map[string]int64, len(listed))
	for _, spec := range listed {
		newest[spec.Address] = max(newest[spec.Address], spec.StartedAt)
	}
	return newest
}

// SetInstances records how many entry instances share the upstreams.
func (board *Picker) SetInstances(count int) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.instances = max(count, 1)
}

// RecordSent records that a request was sent to an upstream.
func (board *Picker) RecordSent(id string, adapter lora.Adapter) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		entry.running++
		entry.stamp++
		entry.sent = append(entry.sent, time.Now())
		if adapter.Name != "" {
			entry.byAdapter[adapter]++
		}
	}
}

// RecordEnded records that a request that was sent has ended.
func (board *Picker) RecordEnded(id string, adapter lora.Adapter) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		entry.running = max(entry.running-1, 0)
		entry.stamp++
		decrement(entry.byAdapter, adapter)
	}
}
