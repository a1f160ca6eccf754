package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// fakeSide is a side process that runs scripts.
type fakeSide struct {
	wirepb.DRPCSideUnimplementedServer
	incarnation uint64
	// scripts are run for the attempts in turn; the last one is repeated.
	scripts []func(*wirepb.RunRequest, wirepb.DRPCSide_RunStream) error
	// ran is the response to Cancel and Outcome.
	ran wirepb.Ran
	// unresponsive keeps Outcome and Cancel from responding, except Cancel of
	// attempt 0, which asks for the incarnation.
	unresponsive bool

	mutex   sync.Mutex
	runs    []*wirepb.RunRequest
	cancels []*wirepb.CancelRequest
}

func (fakeSide *fakeSide) Run(request *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
	fakeSide.mutex.Lock()
	script := fakeSide.scripts[min(len(fakeSide.runs), len(fakeSide.scripts)-1)]
	fakeSide.runs = append(fakeSide.runs, request)
	fakeSide.mutex.Unlock()
	return script(request, stream)
}

func (fakeSide *fakeSide) Cancel(ctx context.Context, request *wirepb.CancelRequest) (*wirepb.CancelResponse, error) {
	fakeSide.mutex.Lock()
	if request.GetAttempt() > 0 {
		fakeSide.cancels = append(fakeSide.cancels, request)
	}
	fakeSide.mutex.Unlock()
	if fakeSide.unresponsive && request.GetAttempt() > 0 {
		<-ctx.Done()
	}
	return &wirepb.CancelResponse{Ran: fakeSide.ran, Incarnation: fakeSide.incarnation}, nil
}

func (fakeSide *fakeSide) Outcome(ctx context.Context, _ *wirepb.OutcomeRequest) (*wirepb.OutcomeResponse, error) {
	if fakeSide.unresponsive {
		<-ctx.Done()
	}
	return &wirepb.OutcomeResponse{Ran: fakeSide.ran, Status: http.StatusOK}, nil
}

func (fakeSide *fakeSide) received() (runs []*wirepb.RunRequest, cancels []*wirepb.CancelRequest) {
	fakeSide.mutex.Lock()
	defer fakeSide.mutex.Unlock()
	return fakeSide.runs, fakeSide.cancels
}

// eventSender sends the events of one attempt.
type eventSender struct {
	request *wirepb.RunRequest
	stream  wirepb.DRPCSide_RunStream
}

func (eventSender eventSender) send(event *wirepb.RunEvent) {
	event.RequestId, event.Attempt = eventSender.request.GetRequestId(), eventSender.request.GetAttempt()
	_ = eventSender.stream.Send(event)
}

func (eventSender eventSender) started() {
	eventSender.send(&wirepb.RunEvent{
		Event: &wirepb.RunEvent_Started{Started: &wirepb.Started{
			Adapter: eventSender.request.GetAdapter(), AdapterVersion: eventSender.request.GetAdapterVersion(), Status: http.StatusOK,
			Headers: []*wirepb.Header{{Name: "content-type", Value: "text/plain"}, {Name: "set-cookie", Value: "x=y"}},
		}},
		Load: &wirepb.LoadReport{Incarnation: 7, ConfigVersion: 3},
	})
}

func (eventSender eventSender) chunk(index int64, text string) {
	eventSender.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Chunk{Chunk: &wirepb.Chunk{Index: index, Data: []byte(text)}}})
}

func (eventSender eventSender) done() {
	eventSender.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Done{Done: &wirepb.Done{
		Adapter: eventSender.request.GetAdapter(), AdapterVersion: eventSender.request.GetAdapterVersion(),
		PromptTokens: eventSender.request.GetPromptTokens(), GeneratedTokens: 3, FinishReason: "stop",
	}}})
}

func (eventSender eventSender) refuse(kind fault.Kind, elsewhere bool) {
	eventSender.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Refused{Refused: &wirepb.Refused{
		Kind: string(kind), Message: "try later", RetryAfterUs: 2_500_000, TryElsewhere: elsewhere,
	}}})
}

func (eventSender eventSender) fail(kind fault.Kind, ran wirepb.Ran) {
	eventSender.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Failed{Failed: &wirepb.Failed{Kind: string(kind), Message: "engine failed", Ran: ran}}})
}

// runScript returns a script of steps. Unless a step sends a final event, the
// stream ends without one.
func runScript(steps ...func(eventSender)) func(*wirepb.RunRequest, wirepb.DRPCSide_RunStream) error {
	return func(request *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
		for _, step := range steps {
			step(eventSender{request, stream})
		}
		return nil
	}
}

func chunks(from int64, texts ...string) func(eventSender) {
	return func(eventSender eventSender) {
		for offset, text := range texts {
			eventSender.chunk(from+int64(offset), text)
		}
	}
}

func refuse(kind fault.Kind, elsewhere bool) func(eventSender) {
	return func(eventSender eventSender) { eventSender.refuse(kind, elsewhere) }
}

func fail(kind fault.Kind, ran wirepb.Ran) func(eventSender) {
	return func(eventSender eventSender) { eventSender.fail(kind, ran) }
}

func sleep(length time.Duration) func(eventSender) {
	return func(eventSender) { time.Sleep(length) }
}

// completeRun is the script of an attempt that completes.
var completeRun = runScript(eventSender.started, chunks(0, "a", "b", "c"), eventSender.done)
