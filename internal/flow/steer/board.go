// Package steer chooses the upstream for a request from what an entry instance
// knows of all upstreams: the list, the loaders' reports, the load that answers
// name, and the instance's own requests. It decides speed only; what may run is
// decided before, and each upstream checks that it is the one meant.
package steer

import (
	"maps"
	"slices"
	"sync"
	"time"

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
	// DefaultSpread is by how many requests an upstream that holds an adapter
	// may be fuller than another before a second copy is brought there.
	DefaultSpread = 10
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
	Spread        int
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
	Resident    []stock.Adapter
	Pending     []stock.Adapter
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
	// waiting counts this instance's requests that wait for an adapter.
	waiting map[stock.Adapter]int
	// answered is the load that the last answer named.
	answered   int
	answeredAt time.Time
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
	for _, spec := range listed {
		entry, ok := known[spec.ID]
		if !ok {
			entry = &upstream{byAdapter: make(map[stock.Adapter]int), waiting: make(map[stock.Adapter]int)}
		}
		if entry.report.Born != spec.Born {
			entry.report, entry.reported = Report{}, time.Time{}
		}
		entry.spec = spec
		board.upstreams[spec.ID] = entry
		board.services[spec.Service] = append(board.services[spec.Service], entry)
	}
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
	entry.report, entry.reported = report, now
	cut := now.Add(-board.config.Lag)
	entry.sent = slices.DeleteFunc(entry.sent, func(at time.Time) bool { return at.Before(cut) })
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

// Wait records that a request waits for an adapter at an upstream.
func (board *Board) Wait(id string, adapter stock.Adapter) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		entry.waiting[adapter]++
	}
}

// Waited ends what Wait began.
func (board *Board) Waited(id string, adapter stock.Adapter) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		decrement(entry.waiting, adapter)
	}
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
	adapters := make(map[stock.Adapter]bool)
	for adapter := range entry.byAdapter {
		adapters[adapter] = true
	}
	for adapter := range entry.waiting {
		adapters[adapter] = true
	}
	uses := make([]stock.Use, 0, len(adapters))
	for adapter := range maps.Keys(adapters) {
		uses = append(uses, stock.Use{Adapter: adapter, Running: entry.byAdapter[adapter], Waiting: entry.waiting[adapter]})
	}
	slices.SortFunc(uses, func(a, b stock.Use) int { return compareAdapters(a.Adapter, b.Adapter) })
	return uses
}

// Holds reports whether an upstream is known to hold an adapter in the version
// or a newer one.
func (board *Board) Holds(id string, adapter stock.Adapter) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	return ok && entry.holds(adapter)
}

// Listed reports whether an upstream is still in the list and not leaving.
func (board *Board) Listed(id string) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	return ok && !entry.leaving()
}
