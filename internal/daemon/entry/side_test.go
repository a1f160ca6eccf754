package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// side is a fake side process that answers by script.
type side struct {
	wirepb.DRPCSideUnimplementedServer
	incarnation uint64
	// run answers the attempts in turn; the last one answers all that follow.
	run []func(*wirepb.RunRequest, wirepb.DRPCSide_RunStream) error
	// ran answers Cancel and Outcome.
	ran wirepb.Ran
	// deaf keeps Outcome and Cancel from answering.
	deaf bool

	mutex   sync.Mutex
	runs    []*wirepb.RunRequest
	cancels []*wirepb.CancelRequest
}

func (side *side) Run(request *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
	side.mutex.Lock()
	script := side.run[min(len(side.runs), len(side.run)-1)]
	side.runs = append(side.runs, request)
	side.mutex.Unlock()
	return script(request, stream)
}

func (side *side) Cancel(ctx context.Context, request *wirepb.CancelRequest) (*wirepb.CancelResponse, error) {
	side.mutex.Lock()
	if request.GetAttempt() > 0 {
		side.cancels = append(side.cancels, request)
	}
	side.mutex.Unlock()
	if side.deaf && request.GetAttempt() > 0 {
		<-ctx.Done()
	}
	return &wirepb.CancelResponse{Ran: side.ran, Incarnation: side.incarnation}, nil
}

func (side *side) Outcome(ctx context.Context, _ *wirepb.OutcomeRequest) (*wirepb.OutcomeResponse, error) {
	if side.deaf {
		<-ctx.Done()
	}
	return &wirepb.OutcomeResponse{Ran: side.ran, Status: http.StatusOK}, nil
}

func (side *side) seen() (runs []*wirepb.RunRequest, cancels []*wirepb.CancelRequest) {
	side.mutex.Lock()
	defer side.mutex.Unlock()
	return side.runs, side.cancels
}

// script sends events of one attempt.
type script struct {
	request *wirepb.RunRequest
	stream  wirepb.DRPCSide_RunStream
}

func (script script) send(event *wirepb.RunEvent) {
	event.RequestId, event.Attempt = script.request.GetRequestId(), script.request.GetAttempt()
	_ = script.stream.Send(event)
}

func (script script) started() {
	script.send(&wirepb.RunEvent{
		Event: &wirepb.RunEvent_Started{Started: &wirepb.Started{
			Adapter: script.request.GetAdapter(), AdapterVersion: script.request.GetAdapterVersion(), Status: http.StatusOK,
			Headers: []*wirepb.Header{{Name: "content-type", Value: "text/plain"}, {Name: "set-cookie", Value: "x=y"}},
		}},
		Load: &wirepb.LoadReport{Incarnation: 7, ConfigVersion: 3},
	})
}

func (script script) chunk(index int64, text string) {
	script.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Chunk{Chunk: &wirepb.Chunk{Index: index, Data: []byte(text)}}})
}

func (script script) done() {
	script.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Done{Done: &wirepb.Done{
		Adapter: script.request.GetAdapter(), AdapterVersion: script.request.GetAdapterVersion(),
		PromptTokens: script.request.GetPromptTokens(), GeneratedTokens: 3, FinishReason: "stop",
	}}})
}

func (script script) refuse(kind fault.Kind, elsewhere bool) {
	script.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Refused{Refused: &wirepb.Refused{
		Kind: string(kind), Message: "try later", RetryAfterUs: 2_500_000, TryElsewhere: elsewhere,
	}}})
}

func (script script) fail(kind fault.Kind, ran wirepb.Ran) {
	script.send(&wirepb.RunEvent{Event: &wirepb.RunEvent_Failed{Failed: &wirepb.Failed{Kind: string(kind), Message: "engine failed", Ran: ran}}})
}

// act returns a script from steps; it ends the stream without an end marker
// unless a step sends one.
func act(steps ...func(script)) func(*wirepb.RunRequest, wirepb.DRPCSide_RunStream) error {
	return func(request *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
		for _, step := range steps {
			step(script{request, stream})
		}
		return nil
	}
}

func chunks(from int64, texts ...string) func(script) {
	return func(script script) {
		for offset, text := range texts {
			script.chunk(from+int64(offset), text)
		}
	}
}

func refuse(kind fault.Kind, elsewhere bool) func(script) {
	return func(script script) { script.refuse(kind, elsewhere) }
}

func fail(kind fault.Kind, ran wirepb.Ran) func(script) {
	return func(script script) { script.fail(kind, ran) }
}

func pause(length time.Duration) func(script) {
	return func(script) { time.Sleep(length) }
}

// answer is the script of an attempt that goes well.
var answer = act(script.started, chunks(0, "a", "b", "c"), script.done)
