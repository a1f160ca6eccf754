// Package picker chooses the engine or plain upstream for each request of a
// relay, which reaches them directly. Package policy holds the routing policies
// of entry instances in front of side processes instead. A Picker weighs the
// instance list, the loaders' reports, the load named in answers and the
// instance's own requests. The choice affects only latency: other checks decide
// what may run, and each upstream verifies that it is the intended one.
package picker

import (
	"cmp"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/flow/permit"
	"jacinthfront.dev/jacinthfront/internal/flow/speed"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// Defaults of Config.
const (
	// DefaultReportTTL is the age up to which a loader's report is used.
	DefaultReportTTL = 1500 * time.Millisecond
	// DefaultReportLag is how old a report already is when it arrives.
	DefaultReportLag = 20 * time.Millisecond
	// DefaultOvercommit is the number of requests beyond its slots that an
	// engine may be sent.
	DefaultOvercommit = 4
	// DefaultSpillThreshold is how much longer the wait at an upstream must be
	// than at the next one in an adapter's rendezvous order before the next one
	// loads the adapter instead.
	DefaultSpillThreshold = 220 * time.Millisecond
	// DefaultCopyThreshold is how much longer the wait at the upstreams that
	// have an adapter must be than at another one before that one loads the
	// adapter too.
	DefaultCopyThreshold = 330 * time.Millisecond
	// DefaultMoveThreshold is how much shorter the expected wait elsewhere must
	// be before a waiting request moves. It keeps the waiting requests from all
	// moving to the same upstream and back.
	DefaultMoveThreshold = 200 * time.Millisecond
	// DefaultAdmissionRate is how many prompt tokens per millisecond an engine
	// admits, until its loader reports the rate.
	DefaultAdmissionRate = 18.0
	// tokensPerRunning is the backlog in prompt tokens that each running
	// request adds, since it slows the others down.
	tokensPerRunning = 30
	// firstReportTimeout is how long a newly listed engine is passed over while
	// its loader has not reported.
	firstReportTimeout = 3 * time.Second
	// adapterLoadTime is how long each queued adapter load delays the next one.
	adapterLoadTime = 165 * time.Millisecond
	// reloadTime is how long an engine takes to reload an adapter from its
	// local cache, and fetchTime to fetch one from the weight store.
	reloadTime = 60 * time.Millisecond
	fetchTime  = 300 * time.Millisecond
	// maxMeasurements bounds the measurements kept for one loader.
	maxMeasurements = 32
)

// Health tells which upstreams are ejected after failures.
type Health interface {
	// Usable reports whether a request may be sent now.
	Usable(service, id string) bool
}

// Cordon tells which upstreams are draining or in backoff.
type Cordon interface {
	// Cordoned reports whether an upstream must get no requests, and until when;
	// a zero time means for good.
	Cordoned(incarnation cordon.Incarnation) (until time.Time, cordoned bool)
}

// Evacuation tells which failure domains are evacuated.
type Evacuation interface {
	// Evacuated reports whether the upstreams of a failure domain must get no requests.
	Evacuated(failureDomain string) bool
}

// Limits tells how many requests the rate limits of upstreams admit.
type Limits interface {
	// Admission returns whether the request with the given number may be sent to an
	// upstream. byGrant means that the upstream's loader admits the request.
	Admission(upstream fleet.Upstream, request uint64, byGrant bool) permit.Admission
	// Want records that the request wants to be sent to an upstream and may not yet.
	Want(upstream fleet.Upstream, request uint64)
}

// Config configures a Picker. Zero values mean the defaults.
type Config struct {
	FailureDomain  string
	Health         Health
	Cordon         Cordon
	Evacuation     Evacuation
	Limits         Limits
	Cold           Cold
	ReportTTL      time.Duration
	ReportLag      time.Duration
	Overcommit     int
	SpillThreshold time.Duration
	CopyThreshold  time.Duration
	MoveThreshold  time.Duration
	AdmissionRate  float64
}

// Picker holds the state of all upstreams as one entry instance knows it, and
// picks one for each request. Its methods may be called concurrently.
type Picker struct {
	config Config

	mutex     sync.Mutex
	upstreams map[string]*upstream
	services  map[string][]*upstream
	instances int
}

// upstream is what one entry instance knows of an upstream.
type upstream struct {
	spec       fleet.Upstream
	listedAt   time.Time
	report     Report
	reportedAt time.Time
	// confirmed is the incarnation that ran at confirmedAt, by its start.
	confirmed   int64
	confirmedAt time.Time
	// unreported holds the times at which this instance sent the requests that
	// no report covers yet.
	unreported []time.Time
	running    int
	// runningByAdapter counts this instance's running requests by adapter.
	runningByAdapter map[lora.Adapter]int
	// requestedCopies counts this instance's calls of RequestCopy that
	// CancelCopy has not ended, by adapter.
	requestedCopies map[lora.Adapter]int
	// waiting holds this instance's requests that wait for admission, by id.
	waiting map[uint64]*waiter
	// answeredLoad is the load that the last answer named.
	answeredLoad int
	answeredAt   time.Time
	// generation grows with each change of this instance's demand at the
	// upstream.
	generation uint64
	// measurements holds what TakeMeasurements has not returned yet.
	measurements []admit.Measurement
	// factors holds the work factors that the upstream stated to this instance.
	// factorUntold means that TakeMeasurements has not returned the last one yet, and
	// factorChanged that it differs from what was known.
	factors       speed.Factors
	factorUntold  bool
	factorChanged bool
	// streams holds what TakeStreams has not returned yet.
	streams speed.StreamCounts
	// evicted tracks the adapters that the engine has evicted.
	evicted lora.EvictionHistory
}

// New returns a Picker without upstreams.
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

// SetUpstreams replaces the list of upstreams and keeps the state of those that
// remain. An upstream is left out if a later incarnation is listed at its
// address.
func (picker *Picker) SetUpstreams(listed []fleet.Upstream) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	known := picker.upstreams
	picker.upstreams = make(map[string]*upstream, len(listed))
	picker.services = make(map[string][]*upstream)
	newest := latestStarts(listed)
	for _, spec := range listed {
		if spec.StartedAt < newest[spec.Address] {
			continue
		}
		upstream, ok := known[spec.ID]
		if !ok {
			upstream = newUpstream()
		}
		if spec.StartedAt > upstream.report.StartedAt {
			upstream.report, upstream.reportedAt, upstream.listedAt = Report{}, time.Time{}, time.Now()
		}
		if spec.StartedAt > upstream.spec.StartedAt {
			upstream.factors.Reset()
		}
		upstream.spec = spec
		picker.upstreams[spec.ID] = upstream
		picker.services[spec.Service] = append(picker.services[spec.Service], upstream)
	}
}

func newUpstream() *upstream {
	return &upstream{
		listedAt:         time.Now(),
		runningByAdapter: make(map[lora.Adapter]int),
		requestedCopies:  make(map[lora.Adapter]int),
		waiting:          make(map[uint64]*waiter),
	}
}

// latestStarts returns the latest start time listed for each address.
// Incarnations listed there with an earlier one have ended.
func latestStarts(listed []fleet.Upstream) map[string]int64 {
	newest := make(map[string]int64, len(listed))
	for _, spec := range listed {
		newest[spec.Address] = max(newest[spec.Address], spec.StartedAt)
	}
	return newest
}

// SetInstances records how many entry instances share the upstreams.
func (picker *Picker) SetInstances(count int) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	picker.instances = max(count, 1)
}

// RecordSent records that a request was sent to an upstream.
func (picker *Picker) RecordSent(id string, adapter lora.Adapter) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	if upstream, ok := picker.upstreams[id]; ok {
		upstream.running++
		upstream.generation++
		upstream.unreported = append(upstream.unreported, time.Now())
		if adapter.Name != "" {
			upstream.runningByAdapter[adapter]++
		}
	}
}

// RecordEnded records the end of a request recorded by RecordSent.
func (picker *Picker) RecordEnded(id string, adapter lora.Adapter) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	if upstream, ok := picker.upstreams[id]; ok {
		upstream.running = max(upstream.running-1, 0)
		upstream.generation++
		decrement(upstream.runningByAdapter, adapter)
	}
}
