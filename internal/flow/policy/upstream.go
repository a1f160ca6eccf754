package policy

import (
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

const (
	// drainingTimeout is how long an upstream that reported draining is not
	// used. No load reports follow that one, so the upstream must be tried again
	// in case a new process has taken its place.
	drainingTimeout = 2 * time.Second
	// maxRecentLoads is the number of adapters remembered for each upstream that
	// this instance's requests made it load and that no report shows yet.
	maxRecentLoads = 8
	// fullBatch is the number of running requests up to which the weight
	// RunningRequest applies.
	fullBatch = 32
	// evictionHorizon is the time over which requests for an evicted adapter
	// count as misses: about as long as an unused adapter stays loaded.
	evictionHorizon = time.Minute
	// maxPendingLoads is the number of queued requests up to which each counts as
	// a pending load.
	maxPendingLoads = 32
)

// maxLoadedAdapters is the number of adapters stored from a load report.
const maxLoadedAdapters = 64

// upstream is the state of one upstream. Fields that a decision reads come
// first, so that they fill few cache lines: decisions access a few random ones
// of thousands of upstreams.
type upstream struct {
	half         conf.Half
	roundTrip    float64 // in milliseconds
	reportedAt   int64   // in nanoseconds of Unix time
	expectedWait time.Duration
	inFlight     int32
	running      uint32
	queued       uint32
	slots        uint32
	freeSlots    uint32
	// evictionRate is the fleet's request rate per second for the least popular
	// loaded adapter, or 0 while a slot has no adapter.
	evictionRate float32
	// sent and sentTokens count this instance's requests and their prompt tokens
	// since the last report.
	sent             int32
	listedDraining   bool
	reportedDraining bool
	nextRecent       uint8
	loadedCount      uint8
	sentTokens       conf.Tokens
	// recentLoads holds the low halves of the hashes of adapters that this
	// instance's requests made the upstream load, and recentLoadTimes when the
	// requests were sent, in nanoseconds of Unix time.
	recentLoads [maxRecentLoads]uint32
	// loaded holds the low halves of the hashes of the loaded adapters.
	loaded          [maxLoadedAdapters]uint32
	recentLoadTimes [maxRecentLoads]int64

	incarnation uint64
	// generation is the last call of SetMembers that listed the upstream.
	generation uint64
}

func (upstream *upstream) applyReport(now int64, report *LoadReport) {
	if report.Incarnation != upstream.incarnation {
		upstream.recentLoads = [maxRecentLoads]uint32{}
	}
	upstream.incarnation = report.Incarnation
	upstream.reportedAt = now
	upstream.expectedWait = report.ExpectedWait
	upstream.running, upstream.queued = report.Running, report.Queued
	upstream.slots, upstream.freeSlots = report.Slots, report.FreeSlots
	upstream.reportedDraining = report.Draining
	upstream.loadedCount = uint8(min(len(report.LoadedAdapters), maxLoadedAdapters))
	for index := range upstream.loadedCount {
		upstream.loaded[index] = uint32(report.LoadedAdapters[index])
	}
	upstream.sent, upstream.sentTokens = 0, 0
}

func (upstream *upstream) hasLoaded(adapter uint64) bool {
	return slices.Contains(upstream.loaded[:upstream.loadedCount], uint32(adapter))
}

func (upstream *upstream) recordSend(now int64, request *Request) {
	upstream.inFlight++
	upstream.sent++
	upstream.sentTokens += request.PromptTokens
	if request.AdapterHash == 0 || upstream.hasLoaded(request.AdapterHash) {
		return
	}
	if slices.Contains(upstream.recentLoads[:], uint32(request.AdapterHash)) {
		return
	}
	upstream.recentLoads[upstream.nextRecent] = uint32(request.AdapterHash)
	upstream.recentLoadTimes[upstream.nextRecent] = now
	upstream.nextRecent = (upstream.nextRecent + 1) % maxRecentLoads
}

// remainingLoadTime returns the time until the adapter is loaded, and whether it
// is loaded or being loaded.
func (upstream *upstream) remainingLoadTime(now int64, adapter uint64, loadTime time.Duration) (time.Duration, bool) {
	if upstream.hasLoaded(adapter) {
		return 0, true
	}
	index := slices.Index(upstream.recentLoads[:], uint32(adapter))
	if index < 0 {
		return loadTime, false
	}
	// If no report has shown the adapter for this long, it may have been evicted
	// again.
	if age := time.Duration(now - upstream.recentLoadTimes[index]); age < 4*loadTime {
		return max(0, loadTime-age), true
	}
	upstream.recentLoads[index] = 0
	return loadTime, false
}

func (upstream *upstream) usable(now int64, half conf.Half) bool {
	if upstream.listedDraining || !upstream.half.CompatibleWith(half) {
		return false
	}
	return !upstream.reportedDraining || time.Duration(now-upstream.reportedAt) > drainingTimeout
}

// score returns the weighted expected time to first token in milliseconds, and
// whether the adapter is loaded or being loaded.
func (upstream *upstream) score(now int64, config *Config, request *Request) (float64, bool) {
	weights := &config.Weights
	// The reported wait has shrunk by the time since the report.
	wait := max(0, upstream.expectedWait-time.Duration(now-upstream.reportedAt))
	score := weights.QueueWait*milliseconds(wait) + weights.DomainDistance*upstream.roundTrip
	score += weights.SentRequest*float64(upstream.sent) + weights.SentToken*float64(upstream.sentTokens)
	if request.AdapterHash == 0 {
		return score, false
	}
	remaining, loaded := upstream.remainingLoadTime(now, request.AdapterHash, config.LoadTime)
	if !loaded {
		// Loads get their permits one after another, so this one may wait for
		// those of the queued requests.
		remaining += time.Duration(min(upstream.queued, maxPendingLoads)) * config.LoadTime
	}
	score += weights.AdapterLoad * milliseconds(remaining)
	if loaded {
		score -= weights.RunningRequest * float64(min(upstream.running, fullBatch))
	} else {
		score += weights.Eviction * upstream.expectedMisses()
	}
	return score, loaded
}

// expectedMisses returns how many requests are expected to miss the adapter that
// a load evicts. It is at least 1 while every slot is in use.
func (upstream *upstream) expectedMisses() float64 {
	expected := float64(upstream.evictionRate) * evictionHorizon.Seconds()
	if upstream.slots > 0 && upstream.freeSlots == 0 {
		expected++
	}
	return expected
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
