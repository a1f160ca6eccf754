package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

type scripted = func(*wirepb.RunRequest, wirepb.DRPCSide_RunStream) error

// set gives all engines the scripts in the order of the attempts, whichever
// engine gets them.
func (world *world) set(scripts ...scripted) {
	attempts := func(request *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
		index := min(int(request.GetAttempt()), len(scripts)) - 1
		return scripts[index](request, stream)
	}
	for _, side := range world.sides {
		side.run = []scripted{attempts}
	}
}

// attempts returns what all side processes received.
func (world *world) attempts() (runs []*wirepb.RunRequest, cancels []*wirepb.CancelRequest) {
	for _, side := range world.sides {
		sideRuns, sideCancels := side.seen()
		runs, cancels = append(runs, sideRuns...), append(cancels, sideCancels...)
	}
	slices.SortFunc(runs, func(a, b *wirepb.RunRequest) int { return int(a.GetAttempt()) - int(b.GetAttempt()) })
	return runs, cancels
}

func stranger(edit func(*wirepb.RunEvent)) func(script) {
	return func(script script) {
		event := &wirepb.RunEvent{RequestId: script.request.GetRequestId(), Attempt: script.request.GetAttempt()}
		event.Event = &wirepb.RunEvent_Chunk{Chunk: &wirepb.Chunk{Index: 0, Data: []byte("foreign")}}
		edit(event)
		_ = script.stream.Send(event)
	}
}

var (
	otherRequest = stranger(func(event *wirepb.RunEvent) { event.RequestId = "other" })
	otherAttempt = stranger(func(event *wirepb.RunEvent) { event.Attempt = 9 })
	otherAdapter = stranger(func(event *wirepb.RunEvent) {
		event.Event = &wirepb.RunEvent_Started{Started: &wirepb.Started{Adapter: "pine", AdapterVersion: 1}}
	})
	otherDone = stranger(func(event *wirepb.RunEvent) {
		event.Event = &wirepb.RunEvent_Done{Done: &wirepb.Done{Adapter: "oak", AdapterVersion: 1}}
	})
)

// TestFailures guards against answers with parts of other answers, missing or
// repeated parts, untrue refusals and work that runs twice.
func TestFailures(t *testing.T) {
	tests := []struct {
		name     string
		path     string
		stream   bool
		scripts  []scripted
		ran      wirepb.Ran
		deaf     bool
		restart  bool
		status   int
		want     string
		attempts int
		counter  string
	}{
		{name: "crossed events", scripts: []scripted{act(otherRequest, otherAttempt, script.started, otherRequest, otherAttempt, chunks(0, "a", "b"), otherDone, chunks(2, "c"), script.done)},
			status: 200, want: `"content":"abc"`, attempts: 1, counter: "events-of-other-requests"},
		{name: "start of another adapter", scripts: []scripted{act(otherAdapter, chunks(0, "x"), script.done), answer},
			status: 200, want: `"content":"abc"`, attempts: 2, counter: "events-of-other-adapters"},
		{name: "start of another adapter, streamed", stream: true, scripts: []scripted{act(otherAdapter, chunks(0, "x"), script.done), answer},
			status: 200, want: "data: [DONE]", attempts: 2},
		{name: "repeated chunks", scripts: []scripted{act(script.started, chunks(0, "a", "b"), chunks(0, "a"), chunks(1, "b", "c"), script.done)},
			status: 200, want: `"content":"abc"`, attempts: 1, counter: "chunks-repeated"},
		{name: "late chunk", scripts: []scripted{act(script.started, chunks(0, "a"), chunks(2, "c"), chunks(1, "b"), script.done)},
			status: 200, want: `"content":"abc"`, attempts: 1},
		{name: "missing chunk", scripts: []scripted{act(script.started, chunks(0, "a"), chunks(2, "c"), script.done), answer},
			status: 200, want: `"content":"abc"`, attempts: 2},
		{name: "too many late chunks", scripts: []scripted{act(script.started, chunks(1, make([]string, maxHeld+1)...), chunks(0, "x"), script.done), answer},
			status: 200, want: `"content":"abc"`, attempts: 2},
		{name: "cut answer", scripts: []scripted{act(script.started, chunks(0, "x")), answer}, status: 200, want: `"content":"abc"`, attempts: 2},
		{name: "cut stream resumes", stream: true, scripts: []scripted{act(script.started, chunks(0, "a")), act(script.started, chunks(1, "b", "c"), script.done)},
			status: 200, want: "data: [DONE]", attempts: 2, counter: "resumes"},
		{name: "cut stream that starts anew", stream: true, scripts: []scripted{act(script.started, chunks(0, "a")), act(script.started, chunks(0, "x", "y"), script.done)},
			status: 200, want: "event: error", attempts: 4},
		{name: "cut stream that must not run twice", path: "/routes/once/v1/chat/completions", stream: true, scripts: []scripted{act(script.started, chunks(0, "a"))},
			ran: wirepb.Ran_RAN_NOT_RUN, status: 200, want: "event: error", attempts: 1},
		{name: "refused, elsewhere", scripts: []scripted{act(refuse(fault.Overloaded, true)), answer}, status: 200, want: `"content":"abc"`, attempts: 2},
		{name: "handed back", scripts: []scripted{act(refuse(fault.Draining, true)), answer}, status: 200, want: `"content":"abc"`, attempts: 2, counter: "handbacks"},
		{name: "refused for good", scripts: []scripted{act(refuse(fault.RateExceeded, false))}, status: 429, want: `"ran":"not-run","retry-after":3`, attempts: 1},
		{name: "refused after a cut", scripts: []scripted{act(script.started), act(refuse(fault.RateExceeded, false))},
			status: 429, want: `"ran":"unknown"`, attempts: 2},
		{name: "failed engine", scripts: []scripted{act(script.started, fail(fault.UpstreamFailed, wirepb.Ran_RAN_RAN)), answer}, status: 200, want: `"content":"abc"`, attempts: 2},
		{name: "order lost, proven not run", path: "/services/counter/orders", scripts: []scripted{act(), answer}, ran: wirepb.Ran_RAN_NOT_RUN, status: 200, want: "abc", attempts: 2},
		{name: "order lost, may have run", path: "/services/counter/orders", scripts: []scripted{act(), answer}, status: 504, want: `"ran":"unknown"`, attempts: 1, counter: "outcomes-unknown"},
		{name: "order lost, ran", path: "/services/counter/orders", scripts: []scripted{act(), answer}, ran: wirepb.Ran_RAN_RAN, status: 504, want: `"ran":"ran"`, attempts: 1},
		{name: "order lost, cancel lost", path: "/services/counter/orders", scripts: []scripted{act(), answer}, ran: wirepb.Ran_RAN_NOT_RUN, deaf: true, status: 504, want: `"ran":"unknown"`, attempts: 1},
		{name: "order lost, not-run of a new incarnation", path: "/services/counter/orders", scripts: []scripted{act(), answer}, ran: wirepb.Ran_RAN_NOT_RUN, restart: true, status: 504, want: `"ran":"unknown"`, attempts: 1},
		{name: "order refused", path: "/services/counter/orders", scripts: []scripted{act(refuse(fault.Overloaded, true)), answer}, status: 200, want: "abc", attempts: 2},
		{name: "order failed", path: "/services/counter/orders", scripts: []scripted{act(fail(fault.UpstreamFailed, wirepb.Ran_RAN_UNKNOWN)), answer}, status: 502, want: `"ran":"unknown"`, attempts: 1},
		{name: "silent side process", scripts: []scripted{act(pause(time.Hour)), answer}, deaf: true, status: 200, want: `"content":"abc"`, attempts: 2, counter: "silent-side-processes"},
		{name: "slow engine", scripts: []scripted{act(pause(15*time.Second), script.started, chunks(0, "a", "b", "c"), script.done)}, status: 200, want: `"content":"abc"`, attempts: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(world *world) {
				world.set(test.scripts...)
				for _, side := range world.sides {
					side.ran, side.deaf = test.ran, test.deaf
					if test.restart {
						first := test.scripts[0]
						side.run = []scripted{func(request *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
							side.incarnation++
							return first(request, stream)
						}}
					}
				}
			}, func(world *world) {
				body := `{"model":"oak","messages":[{"role":"user","content":"hi"}]}`
				if test.stream {
					body = strings.Replace(body, "{", `{"stream":true,`, 1)
				}
				path := test.path
				if path == "" {
					path = "/v1/chat/completions"
				}
				got := world.post(path, ashKey, body)
				if got.err != nil || got.status != test.status || !strings.Contains(got.body, test.want) {
					t.Errorf("want status %d with %s, got %+v", test.status, test.want, got)
				}
				if done := strings.Contains(got.body, "[DONE]"); test.stream && done != (test.want == "data: [DONE]") {
					t.Errorf("[DONE] is %t: %s", done, got.body)
				}
				if strings.Contains(got.body, "foreign") || strings.Contains(got.body, `"x"`) {
					t.Errorf("answer holds a foreign part: %s", got.body)
				}
				runs, _ := world.attempts()
				if diff := cmp.Diff(test.attempts, len(runs)); diff != "" {
					t.Errorf("attempts (-want +got):\n%s", diff)
				}
				if test.counter != "" && world.counts.get(test.counter) == 0 {
					t.Errorf("counter %s is 0", test.counter)
				}
			})
		})
	}
}

// TestResume guards against repeated or missing tokens after a resume.
func TestResume(t *testing.T) {
	run(t, func(world *world) {
		world.set(act(script.started, chunks(0, "a", "b")), act(script.started, chunks(2, "c"), script.done))
	}, func(world *world) {
		got := world.chat(`,"stream":true`)
		var tokens []string
		for _, line := range strings.Split(got.body, "\n") {
			if _, rest, ok := strings.Cut(line, `"content":"`); ok {
				tokens = append(tokens, rest[:1])
			}
		}
		if diff := cmp.Diff([]string{"a", "b", "c"}, tokens); diff != "" {
			t.Errorf("tokens (-want +got):\n%s", diff)
		}
		if runs, _ := world.attempts(); runs[1].GetResumeFrom() != 2 {
			t.Errorf("resumed from %d, want 2", runs[1].GetResumeFrom())
		}
	})
}

// TestCallerGone guards against work that goes on for a caller that has
// disconnected.
func TestCallerGone(t *testing.T) {
	run(t, func(world *world) {
		world.set(act(script.started, chunks(0, "a"), pause(time.Minute)))
	}, func(world *world) {
		ctx, cancel := context.WithTimeout(world.t.Context(), time.Second)
		defer cancel()
		_ = world.send(world.request(ctx, http.MethodPost, "/v1/completions", ashKey, `{"model":"oak","prompt":"hi","stream":true}`))
		time.Sleep(time.Second)
		if runs, cancels := world.attempts(); len(runs) != 1 || len(cancels) != 1 || cancels[0].GetRequestId() != runs[0].GetRequestId() {
			t.Errorf("attempts %v, cancellations %v", runs, cancels)
		}
		time.Sleep(time.Minute)
	})
}
