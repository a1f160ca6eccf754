package side

import (
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/slots"
)

// linger is the use of an adapter by a request whose connection was closed
// before the engine confirmed its end.
type linger struct {
	requestID  string
	ref        slots.AdapterRef
	generation uint64
	ended      time.Time
	// inherited says that a predecessor of this process may have sent requests
	// for the adapter; requestID is empty then.
	inherited bool
	// answers counts the reports that do not contradict the end.
	answers int
}

// lingerAnswers is how many reports must agree. An engine that was frozen may
// answer the first one before it sees that the connection was closed.
const lingerAnswers = 2

// inherit keeps the adapters that the engine held before this process began,
// until its reports show no more requests than this process sent: a killed
// predecessor's requests may still run.
func (server *Server) inherit(now time.Time, loaded []slots.AdapterRef) {
	for _, ref := range loaded {
		if server.table.Pin(now, ref) {
			server.lingers = append(server.lingers, linger{ref: ref, generation: server.engine.generation, ended: now, inherited: true})
		}
	}
}

// worked returns the requests that the engine had begun to answer long enough
// ago for its report to count them.
func (server *Server) worked(now time.Time) []*ticket {
	server.mu.Lock()
	defer server.mu.Unlock()
	if len(server.lingers) == 0 {
		return nil
	}
	var tickets []*ticket
	for ticket := range server.running {
		if !ticket.firstToken.IsZero() && now.Sub(ticket.firstToken) >= reportLag {
			tickets = append(tickets, ticket)
		}
	}
	return tickets
}

// settleLingers unpins the adapters of requests that have ended by the engine's
// report, or that cannot run any more.
func (server *Server) settleLingers(asked time.Time, state EngineState, before []*ticket) {
	server.ends = slices.DeleteFunc(server.ends, func(end time.Time) bool { return asked.Sub(end) >= reportLag })
	kept := server.lingers[:0]
	for _, linger := range server.lingers {
		if !server.over(&linger, asked, state, before) {
			kept = append(kept, linger)
		} else if linger.generation == server.engine.generation {
			server.table.Unpin(linger.ref)
		}
	}
	server.lingers = kept
}

// over reports whether a request has ended at the engine. A report that lists
// the requests tells it. One that counts them proves it when all are accounted
// for, and disproves it when there are more than can be this process's own;
// otherwise, reports that the engine gave well after the connection was closed
// show that it has seen to the closed connection.
func (server *Server) over(linger *linger, asked time.Time, state EngineState, before []*ticket) bool {
	age := asked.Sub(linger.ended)
	switch {
	case age < reportLag:
		return false
	case age >= server.config.RequestTimeout:
		return true
	case state.Listed && linger.inherited:
		return len(state.Active) <= len(server.running)
	case state.Listed:
		return !slices.Contains(state.Active, linger.requestID)
	case state.Running+state.Waiting > len(server.running)+len(server.ends):
		return false
	}
	linger.answers++
	return linger.answers >= lingerAnswers || server.accounted(state, before)
}

// accounted reports whether the engine works on no more than the requests that
// are known to run. Those that began or ended around the report do not count
// as known.
func (server *Server) accounted(state EngineState, before []*ticket) bool {
	known := 0
	for _, ticket := range before {
		if server.running[ticket] {
			known++
		}
	}
	return state.Running+state.Waiting <= known
}
