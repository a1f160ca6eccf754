package side

import (
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/slots"
)

// unconfirmedEnd is a request whose connection was closed before the engine
// confirmed its end. It keeps its adapter pinned.
type unconfirmedEnd struct {
	requestID  string
	ref        slots.AdapterRef
	generation uint64
	endedAt    time.Time
	// inherited says that an earlier process of this upstream may have sent
	// requests for the adapter; requestID is empty then.
	inherited bool
	// consistentReports counts the reports that do not contradict the end.
	consistentReports int
}

// minConsistentReports is how many reports must not contradict the end. An
// engine that was frozen may send the first report before it sees that the
// connection was closed.
const minConsistentReports = 2

// pinInherited pins the adapters that the engine held before this process
// started, until its reports show no more requests than this process sent:
// requests of a killed earlier process may still run.
func (server *Server) pinInherited(now time.Time, loaded []slots.AdapterRef) {
	for _, ref := range loaded {
		if server.table.Pin(now, ref) {
			server.unconfirmed = append(server.unconfirmed, unconfirmedEnd{ref: ref, generation: server.engine.generation, endedAt: now, inherited: true})
		}
	}
}

// tasksInReport returns the running requests whose first token came long enough
// ago that the engine's next report counts them.
func (server *Server) tasksInReport(now time.Time) []*task {
	server.mu.Lock()
	defer server.mu.Unlock()
	if len(server.unconfirmed) == 0 {
		return nil
	}
	var tasks []*task
	for task := range server.running {
		if !task.firstTokenAt.IsZero() && now.Sub(task.firstTokenAt) >= maxReportLag {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// confirmEnds unpins the adapters of requests that have ended according to the
// engine's report, or that cannot run any more.
func (server *Server) confirmEnds(askedAt time.Time, state EngineState, inReport []*task) {
	server.recentEnds = slices.DeleteFunc(server.recentEnds, func(end time.Time) bool { return askedAt.Sub(end) >= maxReportLag })
	kept := server.unconfirmed[:0]
	for _, end := range server.unconfirmed {
		if !server.hasEnded(&end, askedAt, state, inReport) {
			kept = append(kept, end)
		} else if end.generation == server.engine.generation {
			server.table.Unpin(end.ref)
		}
	}
	server.unconfirmed = kept
}

// hasEnded reports whether a request has ended at the engine. A report that
// lists the active requests shows it directly. A report that counts them proves
// the end when the known requests account for all, and disproves it when there
// are more than this process can have sent. Otherwise, reports that the engine
// gave well after the connection was closed show that it has noticed the closed
// connection.
func (server *Server) hasEnded(end *unconfirmedEnd, askedAt time.Time, state EngineState, inReport []*task) bool {
	age := askedAt.Sub(end.endedAt)
	switch {
	case age < maxReportLag:
		return false
	case age >= server.config.RequestTimeout:
		return true
	case state.ListsActive && end.inherited:
		return len(state.Active) <= len(server.running)
	case state.ListsActive:
		return !slices.Contains(state.Active, end.requestID)
	case state.Running+state.Waiting > len(server.running)+len(server.recentEnds):
		return false
	}
	end.consistentReports++
	return end.consistentReports >= minConsistentReports || server.allAccountedFor(state, inReport)
}

// allAccountedFor reports whether the engine runs no more requests than those
// known to run. Requests that began or ended around the time of the report do
// not count as known.
func (server *Server) allAccountedFor(state EngineState, inReport []*task) bool {
	known := 0
	for _, task := range inReport {
		if server.running[task] {
			known++
		}
	}
	return state.Running+state.Waiting <= known
}
