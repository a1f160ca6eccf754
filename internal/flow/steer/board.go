// Package steer chooses the upstream for a request from what an entry instance
// knows of all upstreams: the list, the loaders' reports, the load that answers
// name, and the instance's own requests. It decides speed only; what may run is
// decided before, and each upstream checks that it is the one meant.
package steer

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/stock"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// Defaults of Config.
const (
	// DefaultFresh is the age up to which a report is believed.
	DefaultFresh = 1500 * time.Millisecond
	// DefaultLag is how much older than its arrival a report is.
	DefaultLag = 20 * time.Millisecond
	// DefaultOverfill is the number of requests beyond its slots that an engine
	// is given.
	DefaultOverfill = 4
	// DefaultSpread is by how many prompt tokens the backlog of the upstream that
	// ranks first for an adapter may exceed another's before the adapter is
	// brought there instead.
	DefaultSpread = 4000
	// DefaultCopy is the same for an upstream that holds the adapter, before
	// another copy is brought.
	DefaultCopy = 6000
	// runningWeight is the backlog in prompt tokens that a running request
	// counts for, since each makes the others slower.
	runningWeight = 30
	// loadWeight is the same for an adapter that is to be loaded before another.
	loadWeight = 3000
)

// Health says which upstreams are passed over after failures.
type Health interface {
	// Usable reports whether a request may be sent now. It may take the only
	// probe of an upstream that failed.
	Usable(service, id string) bool
}

// Config configures a Board. Zero values mean the defaults.
type Config struct {
	FailureDomain string
	Health        Health
	Fresh         time.Duration
	Lag           time.Duration
	Overfill      int
	Spread        int64
	Copy          int64
}

// Report is what a loader says of its engine.
type Report struct {
	Born        int64
	Serial      uint64
	Running     int
	Queued      int
	UsedTokens  int64
	TotalTokens int64
	ModelLoaded bool
	Draining    bool
	// Unreachable means that the engine does not answer its loader.
	Unreachable bool
	// Backlog is the number of prompt tokens that were let in lately or wait.
	Backlog int64
	// FreePlaces is the number of places for adapters that no request uses.
	FreePlaces int
	// Loads is the number of adapters on their way or still to be ordered.
	Loads int
	// Brief reports name no adapters; those of the report with the serial
	// FullSerial stand.
	Brief      bool
	FullSerial uint64
	Resident   []stock.Adapter
	Pending    []stock.Adapter
}

// Board holds the upstreams as one entry instance sees them. Its methods may be
// called concurrently.
type Board struct {
	config Config

	mutex     sync.Mutex
	upstreams map[string]*upstream
	services  map[string][]*upstream
	instances int
}

type upstream struct {
	spec     fleet.Upstream
	report   Report
	reported time.Time
	// sent holds when this instance sent what a report does not show yet.
	sent    []time.Time
	running int
	// byAdapter counts this instance's running requests by adapter.
	byAdapter map[stock.Adapter]int
	// wanted counts the copies of adapters that this instance asks for without
	// a request that waits.
	wanted map[stock.Adapter]int
	// asks holds this instance's requests that wait for their turn.
	asks map[uint64]*ask
	// answered is the load that the last answer named.
	answered   int
	answeredAt time.Time
}

// ask is a request that waits for its turn at an upstream.
type ask struct {
	admit.Ask
	placed  time.Time
	granted bool
}

// New returns a Board without upstreams.
func New(config Config) *Board {
	if config.Fresh == 0 {
		config.Fresh = DefaultFresh
	}
	if config.Lag == 0 {
		config.Lag = DefaultLag
	}
	if config.Overfill == 0 {
		config.Overfill = DefaultOverfill
	}
	if config.Spread == 0 {
		config.Spread = DefaultSpread
	}
	if config.Copy == 0 {
		config.Copy = DefaultCopy
	}
	return &Board{config: config, upstreams: make(map[string]*upstream), services: make(map[string][]*upstream), instances: 1}
}

// Follow takes over the list of upstreams. What is known of those that stay is
// kept.
func (board *Board) Follow(listed []fleet.Upstream) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	known := board.upstreams
	board.upstreams = make(map[string]*upstream, len(listed))
	board.services = make(map[string][]*upstream)
	newest := newestAt(listed)
	for _, spec := range listed {
		if spec.Born < newest[spec.Address] {
			continue
		}
		entry, ok := known[spec.ID]
		if !ok {
			entry = &upstream{byAdapter: make(map[stock.Adapter]int), wanted: make(map[stock.Adapter]int), asks: make(map[uint64]*ask)}
		}
		if spec.Born > entry.report.Born {
			entry.report, entry.reported = Report{}, time.Time{}
		}
		entry.spec = spec
		board.upstreams[spec.ID] = entry
		board.services[spec.Service] = append(board.services[spec.Service], entry)
	}
}

// newestAt returns the latest start listed for each address. What is listed
// there with an earlier one has ended.
func newestAt(listed []fleet.Upstream) map[string]int64 {
	newest := make(map[string]int64, len(listed))
	for _, spec := range listed {
		newest[spec.Address] = max(newest[spec.Address], spec.Born)
	}
	return newest
}

// SetInstances records how many entry instances share the upstreams.
func (board *Board) SetInstances(count int) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.instances = max(count, 1)
}

// Reported takes over a loader's report. Older ones are ignored.
func (board *Board) Reported(id string, report Report) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	if !ok {
		return
	}
	now := time.Now()
	recent := now.Sub(entry.reported) < board.config.Fresh
	if recent && entry.report.Born == report.Born && report.Serial <= entry.report.Serial {
		return
	}
	if report.Brief {
		if entry.report.FullSerial != report.FullSerial {
			return
		}
		report.Resident, report.Pending = entry.report.Resident, entry.report.Pending
	}
	entry.report, entry.reported = report, now
	cut := now.Add(-board.config.Lag)
	entry.sent = slices.DeleteFunc(entry.sent, func(at time.Time) bool { return at.Before(cut) })
}

// Granted records which of this instance's requests may start at an upstream.
func (board *Board) Granted(id string, asks []uint64) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	if !ok {
		return
	}
	for _, number := range asks {
		if waiting, ok := entry.asks[number]; ok {
			waiting.granted = true
		}
	}
}

// Sent records that a request was sent to an upstream.
func (board *Board) Sent(id string, adapter stock.Adapter) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		entry.running++
		entry.sent = append(entry.sent, time.Now())
		if adapter.Name != "" {
			entry.byAdapter[adapter]++
		}
	}
}

// Ended records that a request that was sent has ended.
func (board *Board) Ended(id string, adapter stock.Adapter) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		entry.running = max(entry.running-1, 0)
		decrement(entry.byAdapter, adapter)
	}
}

// Want asks for a copy of an adapter at an upstream, without a request that
// waits for it, until Unwant.
func (board *Board) Want(id string, adapter stock.Adapter) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		entry.wanted[adapter]++
	}
}

// Unwant ends what Want began.
func (board *Board) Unwant(id string, adapter stock.Adapter) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		decrement(entry.wanted, adapter)
	}
}

// Place records that a request waits for its turn at an upstream.
func (board *Board) Place(id string, request admit.Ask) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		entry.asks[request.ID] = &ask{Ask: request, placed: time.Now()}
	}
}

// Withdraw ends what Place began.
func (board *Board) Withdraw(id string, number uint64) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		delete(entry.asks, number)
	}
}

// Turn says whether a request that waits at an upstream may start.
type Turn uint8

const (
	// Waiting means that its turn has not come.
	Waiting Turn = iota
	// Come means that it may start.
	Come
	// Unruled means that no loader answers for the upstream, so that the
	// request may start when the upstream holds its adapter.
	Unruled
	// Lost means that the upstream cannot be used any more.
	Lost
)

// Turn returns whether a request that waits at an upstream may start.
func (board *Board) Turn(id string, number uint64) Turn {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	if !ok || entry.leaving() || entry.report.Unreachable {
		return Lost
	}
	waiting, ok := entry.asks[number]
	switch {
	case !ok:
		return Lost
	case waiting.granted:
		return Come
	case board.fresh(entry, time.Now()):
		return Waiting
	default:
		return Unruled
	}
}

// Heard returns how many of the engines that reported once have done so lately,
// and their number.
func (board *Board) Heard() (heard, engines int) {
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

// Lost reports whether an upstream is known to have ended or gone dark, so that
// what was sent there gets no answer.
func (board *Board) Lost(id string) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	return ok && (entry.report.Unreachable || entry.restarted())
}

// Coming returns how many adapters are on their way to the upstreams of a
// service other than the one with the id.
func (board *Board) Coming(service, id string) int {
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

// Asks returns this instance's requests that wait for their turn at an
// upstream, ordered by their numbers.
func (board *Board) Asks(id string) []admit.Ask {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	if !ok || len(entry.asks) == 0 {
		return nil
	}
	asks := make([]admit.Ask, 0, len(entry.asks))
	for _, waiting := range entry.asks {
		asks = append(asks, waiting.Ask)
	}
	slices.SortFunc(asks, func(a, b admit.Ask) int { return cmp.Compare(a.ID, b.ID) })
	return asks
}

func decrement(counts map[stock.Adapter]int, adapter stock.Adapter) {
	if counts[adapter] <= 1 {
		delete(counts, adapter)
		return
	}
	counts[adapter]--
}

// Absent records that an upstream said that it does not hold an adapter.
func (board *Board) Absent(id string, adapter stock.Adapter) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		// The loaders' reports share their slices with no one else.
		entry.report.Resident = slices.DeleteFunc(entry.report.Resident, func(held stock.Adapter) bool {
			return held.Name == adapter.Name
		})
	}
}

// Answered records the load that an answer named.
func (board *Board) Answered(id string, load int) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		entry.answered, entry.answeredAt = load, time.Now()
	}
}

// Uses returns this instance's demand at an upstream, in the order of the
// adapters' names.
func (board *Board) Uses(id string) []stock.Use {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	if !ok {
		return nil
	}
	waiting := maps.Clone(entry.wanted)
	for _, request := range entry.asks {
		if request.Adapter.Name != "" {
			waiting[request.Adapter]++
		}
	}
	adapters := maps.Clone(entry.byAdapter)
	maps.Copy(adapters, waiting)
	uses := make([]stock.Use, 0, len(adapters))
	for adapter := range adapters {
		uses = append(uses, stock.Use{Adapter: adapter, Running: entry.byAdapter[adapter], Waiting: waiting[adapter]})
	}
	slices.SortFunc(uses, func(a, b stock.Use) int { return compareAdapters(a.Adapter, b.Adapter) })
	return uses
}

// Listed reports whether an upstream is still in the list and not leaving.
func (board *Board) Listed(id string) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	return ok && !entry.leaving()
}
