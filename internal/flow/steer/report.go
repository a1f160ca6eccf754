package steer

import (
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/stock"
)

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
	// Unreachable means that the engine does not answer its loader, Silent that
	// it does not even refuse connections and was not leaving.
	Unreachable bool
	Silent      bool
	// Backlog is the number of prompt tokens that were let in lately, or wait for
	// their turn with their adapter loaded and on time. Late counts those of late
	// requests.
	Backlog int64
	Late    int64
	// Intake is how many prompt tokens the engine reads in a millisecond, 0 if it
	// is not known.
	Intake float64
	// Pace is what was learned of the engine.
	Pace admit.Pace
	// Reach is the number of latest dropped adapters that the engine brings back
	// by itself, and Dropped names them, the latest one last. Dropped is told
	// once.
	Reach   int
	Dropped []stock.Adapter
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
	entry.remember(report)
	entry.report, entry.reported = report, now
	cut := now.Add(-board.config.Lag)
	entry.sent = slices.DeleteFunc(entry.sent, func(at time.Time) bool { return at.Before(cut) })
}

// remember follows which adapters the engine has dropped since its start.
func (entry *upstream) remember(report Report) {
	if report.Born != entry.report.Born {
		entry.memory = stock.Memory{}
	} else {
		entry.memory.Follow(entry.report.Resident, report.Resident)
	}
	if len(report.Dropped) > 0 {
		entry.memory.TakeOver(report.Dropped)
	}
}

// FullSerial returns the serial of the last report of an upstream that named its
// adapters.
func (board *Board) FullSerial(id string) uint64 {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	if entry, ok := board.upstreams[id]; ok {
		return entry.report.FullSerial
	}
	return 0
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
// what was sent there gets no answer. One that is leaving takes no connections
// and goes on serving those that it has.
func (board *Board) Lost(id string) bool {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	entry, ok := board.upstreams[id]
	return ok && (entry.report.Silent && !entry.spec.Draining || entry.restarted())
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
