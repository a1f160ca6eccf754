package side

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/dedup"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// eventStream is the stream on which a response goes back to the entry
// instance.
type eventStream interface {
	Send(event *wirepb.RunEvent) error
}

// responder sends the events of one attempt. Its first and last event carry the
// load report.
type responder struct {
	server    *Server
	request   *wirepb.RunRequest
	stream    eventStream
	sentFirst bool
	// recorder keeps the response to a request with an idempotency key, which
	// runs on when its caller disconnects.
	recorder   *recorder
	callerGone bool
}

// send sends one event. It adds the load report to the first and the last one.
// A request with an idempotency key runs on when sending fails.
func (responder *responder) send(event *wirepb.RunEvent, last bool) error {
	if responder.callerGone {
		return nil
	}
	event.RequestId = responder.request.GetRequestId()
	event.Attempt = responder.request.GetAttempt()
	if !responder.sentFirst || last {
		event.Load = responder.server.loadReport()
	}
	responder.sentFirst = true
	err := responder.stream.Send(event)
	if err != nil && responder.recorder != nil {
		responder.callerGone = true
		return nil
	}
	return err
}

// refuse ends an attempt with a fault: as refused if the request did not run,
// otherwise as failed.
func (responder *responder) refuse(reason *fault.Fault) error {
	if reason.Ran() != fault.NotRun {
		return responder.fail(reason, 0)
	}
	responder.server.logRefusal(responder.request, reason)
	if responder.recorder != nil {
		responder.recorder.fail(reason)
	}
	return responder.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Refused{Refused: &wirepb.Refused{
		Kind: string(reason.Kind()), Message: reason.Message(),
		RetryAfterUs: reason.RetryAfter().Microseconds(), TryElsewhere: mayTryElsewhere(reason.Kind()),
	}}}, true)
}

// fail ends an attempt that ran or may have run. A resumed stream would
// continue with the token at index next.
func (responder *responder) fail(reason *fault.Fault, next int64) error {
	if responder.recorder != nil {
		responder.recorder.fail(reason)
	}
	responder.server.logFailure(responder.request, reason)
	return responder.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Failed{Failed: &wirepb.Failed{
		Kind: string(reason.Kind()), Message: reason.Message(), Ran: wireRan(reason.Ran()), NextIndex: next,
	}}}, true)
}

func (responder *responder) sendStarted(task *task, status int, headers []Header) error {
	if responder.recorder != nil {
		responder.recorder.start(status)
	}
	return responder.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Started{Started: &wirepb.Started{
		Adapter: task.ref.Adapter, AdapterVersion: task.ref.Version, Incarnation: responder.server.config.Incarnation,
		Status: uint32(status), Headers: wireHeaders(headers),
		QueueWaitUs: max(task.queueWait-task.loadWait, 0).Microseconds(),
		LoadWaitUs:  task.loadWait.Microseconds(),
	}}}, false)
}

// sendReplayed starts the response of an earlier run. Its adapter version may
// differ from the current default.
func (responder *responder) sendReplayed(task *task, outcome *dedup.Outcome, headers []Header) error {
	return responder.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Started{Started: &wirepb.Started{
		Adapter: task.ref.Adapter, AdapterVersion: outcome.AdapterVersion, Incarnation: responder.server.config.Incarnation,
		Status: outcome.Status, Headers: wireHeaders(headers), Replayed: true,
	}}}, false)
}

func (responder *responder) sendChunk(index int64, data []byte) error {
	if responder.recorder != nil {
		responder.recorder.write(data)
	}
	return responder.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Chunk{Chunk: &wirepb.Chunk{Index: index, Data: data}}}, false)
}

func (responder *responder) sendDone(done *wirepb.Done) error {
	done.Adapter = responder.request.GetAdapter()
	if !done.GetReplayed() {
		done.AdapterVersion = responder.request.GetAdapterVersion()
	}
	if responder.recorder != nil {
		responder.recorder.done(done)
	}
	return responder.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Done{Done: done}}, true)
}

// maxReportedAdapters bounds the adapters that a load report or a status names.
const maxReportedAdapters = 64

// loadReport returns the load report of this process.
func (server *Server) loadReport() *wirepb.LoadReport {
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
	for _, ref := range server.table.LoadedAdapters(maxReportedAdapters) {
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
