package policy

import (
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

const (
	// drainingFor is how long a report of draining holds. No reports follow
	// it, so that a later process at the upstream must be tried again.
	drainingFor = 2 * time.Second
	// sendMarks is the number of own sends remembered for each upstream, to
	// know of loads that no report shows yet.
	sendMarks = 8
	// fullBatch bounds the running requests that the weight Batch counts.
	fullBatch = 32
	// evictHorizon is the time ahead for which the requests for an evicted
	// adapter count: about as long as an adapter stays that is not used again.
	evictHorizon = time.Minute
	// fullBacklog bounds the queued requests that count as pending loads.
	fullBacklog = 32
)

// maxLoaded is the number of loaded adapters that a load report holds.
const maxLoaded = 64

// upstream is what a Router knows of one upstream. The order of the fields
// keeps what a decision reads in few cache lines: it reads some of them at
// random from thousands of upstreams.
type upstream struct {
	half      model.Half
	distance  float64
	reported  int64 // in nanoseconds of Unix time
	wait      time.Duration
	inFlight  int32
	running   uint32
	queued    uint32
	slots     uint32
	freeSlots uint32
	// least is the rate of the least popular loaded adapter, or 0 while there
	// are slots without one.
	least float32
	// sent and sentTokens count the sends since the report.
	sent        int32
	leaving     bool
	draining    bool
	nextMark    uint8
	loadedCount uint8
	sentTokens  model.Tokens
	// marks holds the adapters of own sends as low halves of their hashes, and
	// markTimes when they went, in nanoseconds of Unix time.
	marks [sendMarks]uint32
	// loaded holds the low halves of the hashes of the loaded adapters.
	loaded    [maxLoaded]uint32
	markTimes [sendMarks]int64

	incarnation uint64
	seen        uint64
}

func (upstream *upstream) report(now int64, load *LoadReport) {
	if load.Incarnation != upstream.incarnation {
		upstream.marks = [sendMarks]uint32{}
	}
	upstream.incarnation = load.Incarnation
	upstream.reported = now
	upstream.wait = load.ExpectedWait
	upstream.running, upstream.queued = load.Running, load.Queued
	upstream.slots, upstream.freeSlots = load.Slots, load.FreeSlots
	upstream.draining = load.Draining
	upstream.loadedCount = uint8(min(len(load.LoadedAdapters), maxLoaded))
	for index := range upstream.loadedCount {
		upstream.loaded[index] = uint32(load.LoadedAdapters[index])
	}
	upstream.sent, upstream.sentTokens = 0, 0
}

func (upstream *upstream) holds(adapter uint64) bool {
	return slices.Contains(upstream.loaded[:upstream.loadedCount], uint32(adapter))
}

func (upstream *upstream) send(now int64, request *Request) {
	upstream.inFlight++
	upstream.sent++
	upstream.sentTokens += request.PromptTokens
	if request.AdapterHash == 0 || upstream.holds(request.AdapterHash) {
		return
	}
	if slices.Contains(upstream.marks[:], uint32(request.AdapterHash)) {
		return
	}
	upstream.marks[upstream.nextMark] = uint32(request.AdapterHash)
	upstream.markTimes[upstream.nextMark] = now
	upstream.nextMark = (upstream.nextMark + 1) % sendMarks
}

// loadLeft returns the time until the adapter is loaded, and whether it is
// loaded or being loaded.
func (upstream *upstream) loadLeft(now int64, adapter uint64, loadTime time.Duration) (time.Duration, bool) {
	if upstream.holds(adapter) {
		return 0, true
	}
	index := slices.Index(upstream.marks[:], uint32(adapter))
	if index < 0 {
		return loadTime, false
	}
	// A mark that no report has confirmed for long may be evicted again.
	if age := time.Duration(now - upstream.markTimes[index]); age < 4*loadTime {
		return max(0, loadTime-age), true
	}
	upstream.marks[index] = 0
	return loadTime, false
}

func (upstream *upstream) usable(now int64, half model.Half) bool {
	if upstream.leaving || !upstream.half.Shares(half) {
		return false
	}
	return !upstream.draining || time.Duration(now-upstream.reported) > drainingFor
}

// score returns the expected time to the first token in milliseconds.
func (upstream *upstream) score(now int64, config *Config, request *Request) (float64, bool) {
	weights := &config.Weights
	// The reported wait shrinks as the upstream works it off.
	wait := max(0, upstream.wait-time.Duration(now-upstream.reported))
	score := weights.Wait*milliseconds(wait) + weights.Distance*upstream.distance
	score += weights.Send*float64(upstream.sent) + weights.Prefill*float64(upstream.sentTokens)
	if request.AdapterHash == 0 {
		return score, false
	}
	left, loaded := upstream.loadLeft(now, request.AdapterHash, config.LoadTime)
	if !loaded {
		// Requests queue for loads, which get their permits one after another.
		left += time.Duration(min(upstream.queued, fullBacklog)) * config.LoadTime
	}
	score += weights.Load * milliseconds(left)
	if loaded {
		score -= weights.Batch * float64(min(upstream.running, fullBatch))
	} else {
		score += weights.Evict * upstream.evictions()
	}
	return score, loaded
}

// evictions returns how many requests are expected to miss the adapter that a
// load evicts. Where every slot is in use, at least one is.
func (upstream *upstream) evictions() float64 {
	expected := float64(upstream.least) * evictHorizon.Seconds()
	if upstream.slots > 0 && upstream.freeSlots == 0 {
		expected++
	}
	return expected
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
