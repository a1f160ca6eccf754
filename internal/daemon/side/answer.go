package side

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/dedup"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// eventStream is the stream on which an answer goes back.
type eventStream interface {
	Send(event *wirepb.RunEvent) error
}

// answer sends the events of one attempt. Its first and last event carry the
// load report.
type answer struct {
	server  *Server
	request *wirepb.RunRequest
	stream  eventStream
	begun   bool
	// recorder keeps the answer of a request with an idempotency key, which
	// goes on when its caller has gone.
	recorder *recorder
	gone     bool
}

func (answer *answer) send(event *wirepb.RunEvent, last bool) error {
	if answer.gone {
		return nil
	}
	event.RequestId = answer.request.GetRequestId()
	event.Attempt = answer.request.GetAttempt()
	if !answer.begun || last {
		event.Load = answer.server.report()
	}
	answer.begun = true
	err := answer.stream.Send(event)
	if err != nil && answer.recorder != nil {
		answer.gone = true
		return nil
	}
	return err
}

// refuse ends an attempt with a fault: as refused if it did not run, else as
// failed.
func (answer *answer) refuse(reason *fault.Fault) error {
	if reason.Ran() != fault.NotRun {
		return answer.fail(reason, 0)
	}
	answer.server.logRefusal(answer.request, reason)
	if answer.recorder != nil {
		answer.recorder.fail(reason)
	}
	return answer.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Refused{Refused: &wirepb.Refused{
		Kind: string(reason.Kind()), Message: reason.Message(),
		RetryAfterUs: reason.RetryAfter().Microseconds(), TryElsewhere: elsewhere(reason.Kind()),
	}}}, true)
}

func (answer *answer) fail(reason *fault.Fault, next int64) error {
	if answer.recorder != nil {
		answer.recorder.fail(reason)
	}
	answer.server.logFailure(answer.request, reason)
	return answer.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Failed{Failed: &wirepb.Failed{
		Kind: string(reason.Kind()), Message: reason.Message(), Ran: wireRan(reason.Ran()), NextIndex: next,
	}}}, true)
}

func (answer *answer) started(ticket *ticket, status int, headers []Header) error {
	if answer.recorder != nil {
		answer.recorder.start(status)
	}
	return answer.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Started{Started: &wirepb.Started{
		Adapter: ticket.ref.Adapter, AdapterVersion: ticket.ref.Version, Incarnation: answer.server.config.Incarnation,
		Status: uint32(status), Headers: wireHeaders(headers),
		QueueWaitUs: max(ticket.waited-ticket.loadWait, 0).Microseconds(),
		LoadWaitUs:  ticket.loadWait.Microseconds(),
	}}}, false)
}

// replayed begins the answer of an earlier run, which may have been of another
// version than the one that is the default now.
func (answer *answer) replayed(ticket *ticket, outcome *dedup.Outcome, headers []Header) error {
	return answer.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Started{Started: &wirepb.Started{
		Adapter: ticket.ref.Adapter, AdapterVersion: outcome.AdapterVersion, Incarnation: answer.server.config.Incarnation,
		Status: outcome.Status, Headers: wireHeaders(headers), Replayed: true,
	}}}, false)
}

func (answer *answer) chunk(index int64, data []byte) error {
	if answer.recorder != nil {
		answer.recorder.write(data)
	}
	return answer.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Chunk{Chunk: &wirepb.Chunk{Index: index, Data: data}}}, false)
}

func (answer *answer) done(done *wirepb.Done) error {
	done.Adapter = answer.request.GetAdapter()
	if !done.GetReplayed() {
		done.AdapterVersion = answer.request.GetAdapterVersion()
	}
	if answer.recorder != nil {
		answer.recorder.done(done)
	}
	return answer.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Done{Done: done}}, true)
}

// maxReported bounds the adapters that a load report names.
const maxReported = 64

// report returns the load of this process.
func (server *Server) report() *wirepb.LoadReport {
	server.mu.Lock()
	defer server.mu.Unlock()
	report := &wirepb.LoadReport{
		Incarnation:     server.config.Incarnation,
		ConfigVersion:   server.current().Version(),
		QueuedTokens:    int64(server.queue.Tokens()),
		QueuedRequests:  uint32(server.queue.Len()),
		RunningRequests: uint32(len(server.running)),
		Slots:           uint32(server.table.Size()),
		FreeSlots:       uint32(server.table.FreeSlots()),
		ExpectedWaitUs:  server.queue.EstimateWait(time.Now(), "", conf.Interactive, 0).Microseconds(),
		Draining:        server.draining,
	}
	for _, ref := range server.table.LoadedAdapters(maxReported) {
		report.Loaded = append(report.Loaded, ref.Hash())
	}
	return report
}

func wireRan(ran fault.Execution) wirepb.Ran {
	switch ran {
	case fault.NotRun:
		return wirepb.Ran_RAN_NOT_RUN
	case fault.DidRun:
		return wirepb.Ran_RAN_RAN
	default:
		return wirepb.Ran_RAN_UNKNOWN
	}
}

func wireHeaders(headers []Header) []*wirepb.Header {
	list := make([]*wirepb.Header, 0, len(headers))
	for _, header := range headers {
		list = append(list, &wirepb.Header{Name: header.Name, Value: header.Value})
	}
	return list
}
