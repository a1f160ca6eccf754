package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

type runFunc = func(*wirepb.RunRequest, wirepb.DRPCSide_RunStream) error

// setScripts makes the side processes run the script with the number of the
// attempt, whichever of them gets the attempt. Attempts beyond the last script
// repeat it.
func (harness *harness) setScripts(scripts ...runFunc) {
	attempts := func(request *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
		index := min(int(request.GetAttempt()), len(scripts)) - 1
		return scripts[index](request, stream)
	}
	for _, fakeSide := range harness.sideProcesses {
		fakeSide.scripts = []runFunc{attempts}
	}
}

// received returns the run and cancel requests that all side processes received.
func (harness *harness) received() (runs []*wirepb.RunRequest, cancels []*wirepb.CancelRequest) {
	for _, fakeSide := range harness.sideProcesses {
		sideRuns, sideCancels := fakeSide.received()
		runs, cancels = append(runs, sideRuns...), append(cancels, sideCancels...)
	}
	slices.SortFunc(runs, func(a, b *wirepb.RunRequest) int { return int(a.GetAttempt()) - int(b.GetAttempt()) })
	return runs, cancels
}

func foreignEvent(edit func(*wirepb.RunEvent)) func(eventSender) {
	return func(eventSender eventSender) {
		event := &wirepb.RunEvent{RequestId: eventSender.request.GetRequestId(), Attempt: eventSender.request.GetAttempt()}
		event.Event = &wirepb.RunEvent_Chunk{Chunk: &wirepb.Chunk{Index: 0, Data: []byte("foreign")}}
		edit(event)
		_ = eventSender.stream.Send(event)
	}
}

var (
	otherRequest = foreignEvent(func(event *wirepb.RunEvent) { event.RequestId = "other" })
	otherAttempt = foreignEvent(func(event *wirepb.RunEvent) { event.Attempt = 9 })
	otherAdapter = foreignEvent(func(event *wirepb.RunEvent) {
		event.Event = &wirepb.RunEvent_Started{Started: &wirepb.Started{Adapter: "pine", AdapterVersion: 1}}
	})
	otherVersionDone = foreignEvent(func(event *wirepb.RunEvent) {
		event.Event = &wirepb.RunEvent_Done{Done: &wirepb.Done{Adapter: "oak", AdapterVersion: 1}}
	})
)

// TestFailures guards against responses with parts of other responses, with
// missing or repeated parts, refusals of requests that ran, and work that runs
// twice.
func TestFailures(t *testing.T) {
	tests := []struct {
		name         string
		path         string
		stream       bool
		scripts      []runFunc
		ran          wirepb.Ran
		unresponsive bool
		restart      bool
		status       int
		want         string
		attempts     int
		counter      string
	}{
		{name: "crossed events", scripts: []runFunc{runScript(otherRequest, otherAttempt, eventSender.started, otherRequest, otherAttempt, chunks(0, "a", "b"), otherVersionDone, chunks(2, "c"), eventSender.done)},
			status: 200, want: `"content":"abc"`, attempts: 1, counter: "events-of-other-requests"},
		{name: "start of another adapter", scripts: []runFunc{runScript(otherAdapter, chunks(0, "x"), eventSender.done), completeRun},
			status: 200, want: `"content":"abc"`, attempts: 2, counter: "events-of-other-adapters"},
		{name: "start of another adapter, streamed", stream: true, scripts: []runFunc{runScript(otherAdapter, chunks(0, "x"), eventSender.done), completeRun},
			status: 200, want: "data: [DONE]", attempts: 2},
		{name: "repeated chunks", scripts: []runFunc{runScript(eventSender.started, chunks(0, "a", "b"), chunks(0, "a"), chunks(1, "b", "c"), eventSender.done)},
			status: 200, want: `"content":"abc"`, attempts: 1, counter: "chunks-repeated"},
		{name: "late chunk", scripts: []runFunc{runScript(eventSender.started, chunks(0, "a"), chunks(2, "c"), chunks(1, "b"), eventSender.done)},
			status: 200, want: `"content":"abc"`, attempts: 1},
		{name: "missing chunk", scripts: []runFunc{runScript(eventSender.started, chunks(0, "a"), chunks(2, "c"), eventSender.done), completeRun},
			status: 200, want: `"content":"abc"`, attempts: 2},
		{name: "too many late chunks", scripts: []runFunc{runScript(eventSender.started, chunks(1, make([]string, maxOutOfOrder+1)...), chunks(0, "x"), eventSender.done), completeRun},
			status: 200, want: `"content":"abc"`, attempts: 2},
		{name: "interrupted response", scripts: []runFunc{runScript(eventSender.started, chunks(0, "x")), completeRun}, status: 200, want: `"content":"abc"`, attempts: 2},
		{name: "interrupted stream resumes", stream: true, scripts: []runFunc{runScript(eventSender.started, chunks(0, "a")), runScript(eventSender.started, chunks(1, "b", "c"), eventSender.done)},
			status: 200, want: "data: [DONE]", attempts: 2, counter: "resumes"},
		{name: "interrupted stream that starts over", stream: true, scripts: []runFunc{runScript(eventSender.started, chunks(0, "a")), runScript(eventSender.started, chunks(0, "x", "y"), eventSender.done)},
			status: 200, want: "event: error", attempts: 4},
		{name: "interrupted stream that must not run twice", path: "/routes/once/v1/chat/completions", stream: true, scripts: []runFunc{runScript(eventSender.started, chunks(0, "a"))},
			ran: wirepb.Ran_RAN_NOT_RUN, status: 200, want: "event: error", attempts: 1},
		{name: "refused, elsewhere", scripts: []runFunc{runScript(refuse(fault.Overloaded, true)), completeRun}, status: 200, want: `"content":"abc"`, attempts: 2},
		{name: "handed back", scripts: []runFunc{runScript(refuse(fault.Draining, true)), completeRun}, status: 200, want: `"content":"abc"`, attempts: 2, counter: "handbacks"},
		{name: "refused for good", scripts: []runFunc{runScript(refuse(fault.RateExceeded, false))}, status: 429, want: `"ran":"not-run","retry-after":3`, attempts: 1},
		{name: "refused after an interruption", scripts: []runFunc{runScript(eventSender.started), runScript(refuse(fault.RateExceeded, false))},
			status: 429, want: `"ran":"unknown"`, attempts: 2},
		{name: "failed engine", scripts: []runFunc{runScript(eventSender.started, fail(fault.UpstreamFailed, wirepb.Ran_RAN_RAN)), completeRun}, status: 200, want: `"content":"abc"`, attempts: 2},
		{name: "non-idempotent response lost, proven not run", path: "/services/counter/orders", scripts: []runFunc{runScript(), completeRun}, ran: wirepb.Ran_RAN_NOT_RUN, status: 200, want: "abc", attempts: 2},
		{name: "non-idempotent response lost, may have run", path: "/services/counter/orders", scripts: []runFunc{runScript(), completeRun}, status: 504, want: `"ran":"unknown"`, attempts: 1, counter: "outcomes-unknown"},
		{name: "non-idempotent response lost, ran", path: "/services/counter/orders", scripts: []runFunc{runScript(), completeRun}, ran: wirepb.Ran_RAN_RAN, status: 504, want: `"ran":"ran"`, attempts: 1},
		{name: "non-idempotent response lost, cancel lost", path: "/services/counter/orders", scripts: []runFunc{runScript(), completeRun}, ran: wirepb.Ran_RAN_NOT_RUN, unresponsive: true, status: 504, want: `"ran":"unknown"`, attempts: 1},
		{name: "non-idempotent response lost, not-run of a new incarnation", path: "/services/counter/orders", scripts: []runFunc{runScript(), completeRun}, ran: wirepb.Ran_RAN_NOT_RUN, restart: true, status: 504, want: `"ran":"unknown"`, attempts: 1},
		{name: "non-idempotent request refused", path: "/services/counter/orders", scripts: []runFunc{runScript(refuse(fault.Overloaded, true)), completeRun}, status: 200, want: "abc", attempts: 2},
		{name: "non-idempotent request failed", path: "/services/counter/orders", scripts: []runFunc{runScript(fail(fault.UpstreamFailed, wirepb.Ran_RAN_UNKNOWN)), completeRun}, status: 502, want: `"ran":"unknown"`, attempts: 1},
		{name: "unresponsive side process", scripts: []runFunc{runScript(sleep(time.Hour)), completeRun}, unresponsive: true, status: 200, want: `"content":"abc"`, attempts: 2, counter: "silent-side-processes"},
		{name: "slow engine", scripts: []runFunc{runScript(sleep(15*time.Second), eventSender.started, chunks(0, "a", "b", "c"), eventSender.done)}, status: 200, want: `"content":"abc"`, attempts: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, func(harness *harness) {
				harness.setScripts(test.scripts...)
				for _, fakeSide := range harness.sideProcesses {
					fakeSide.ran, fakeSide.unresponsive = test.ran, test.unresponsive
					if test.restart {
						first := test.scripts[0]
						fakeSide.scripts = []runFunc{func(request *wirepb.RunRequest, stream wirepb.DRPCSide_RunStream) error {
							fakeSide.incarnation++
							return first(request, stream)
						}}
					}
				}
			}, func(harness *harness) {
				body := `{"model":"oak","messages":[{"role":"user","content":"hi"}]}`
				if test.stream {
					body = strings.Replace(body, "{", `{"stream":true,`, 1)
				}
				path := test.path
				if path == "" {
					path = "/v1/chat/completions"
				}
				got := harness.post(path, ashKey, body)
				if got.err != nil || got.status != test.status || !strings.Contains(got.body, test.want) {
					t.Errorf("want status %d with %s, got %+v", test.status, test.want, got)
				}
				if done := strings.Contains(got.body, "[DONE]"); test.stream && done != (test.want == "data: [DONE]") {
					t.Errorf("[DONE] is %t: %s", done, got.body)
				}
				if strings.Contains(got.body, "foreign") || strings.Contains(got.body, `"x"`) {
					t.Errorf("response contains a part of another response: %s", got.body)
				}
				runs, _ := harness.received()
				if diff := cmp.Diff(test.attempts, len(runs)); diff != "" {
					t.Errorf("attempts (-want +got):\n%s", diff)
				}
				if test.counter != "" && harness.counters.get(test.counter) == 0 {
					t.Errorf("counter %s is 0", test.counter)
				}
			})
		})
	}
}

// TestResume guards against repeated or missing tokens after a stream is resumed.
func TestResume(t *testing.T) {
	runTest(t, func(harness *harness) {
		harness.setScripts(runScript(eventSender.started, chunks(0, "a", "b")), runScript(eventSender.started, chunks(2, "c"), eventSender.done))
	}, func(harness *harness) {
		got := harness.chat(`,"stream":true`)
		var tokens []string
		for _, line := range strings.Split(got.body, "\n") {
			if _, rest, ok := strings.Cut(line, `"content":"`); ok {
				tokens = append(tokens, rest[:1])
			}
		}
		if diff := cmp.Diff([]string{"a", "b", "c"}, tokens); diff != "" {
			t.Errorf("tokens (-want +got):\n%s", diff)
		}
		if runs, _ := harness.received(); runs[1].GetResumeFrom() != 2 {
			t.Errorf("resumed from %d, want 2", runs[1].GetResumeFrom())
		}
	})
}

// TestCallerGone guards against work that continues after its caller has
// disconnected.
func TestCallerGone(t *testing.T) {
	runTest(t, func(harness *harness) {
		harness.setScripts(runScript(eventSender.started, chunks(0, "a"), sleep(time.Minute)))
	}, func(harness *harness) {
		ctx, cancel := context.WithTimeout(harness.t.Context(), time.Second)
		defer cancel()
		_ = harness.send(harness.request(ctx, http.MethodPost, "/v1/completions", ashKey, `{"model":"oak","prompt":"hi","stream":true}`))
		time.Sleep(time.Second)
		if runs, cancels := harness.received(); len(runs) != 1 || len(cancels) != 1 || cancels[0].GetRequestId() != runs[0].GetRequestId() {
			t.Errorf("attempts %v, cancellations %v", runs, cancels)
		}
		time.Sleep(time.Minute)
	})
}

// TestCallerGoneBehindBytes guards against work that continues after its caller has
// disconnected, if bytes that follow the request keep the server from seeing that (GONE).
func TestCallerGoneBehindBytes(t *testing.T) {
	const workTime, cancelTimeout = 2 * time.Second, 500 * time.Millisecond
	tests := []struct {
		name, behind string
	}{
		{"nothing behind", ""},
		{"a part of a request behind", "POST /v1"},
		{"a request behind", "GET /v1/models HTTP/1.1\r\nHost: entry\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t)
			harness.setScripts(runScript(eventSender.started, chunks(0, "a"), sleep(workTime)))
			harness.start()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = harness.entry.Serve(t.Context(), listener) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			request := harness.request(t.Context(), http.MethodPost, "/v1/completions", ashKey, `{"model":"oak","prompt":"hi","stream":true}`)
			if err := request.Write(conn); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(conn, test.behind)
			time.Sleep(100 * time.Millisecond)
			_ = conn.Close()
			time.Sleep(cancelTimeout)
			if runs, cancels := harness.received(); len(runs) != 1 || len(cancels) != 1 {
				t.Errorf("%d attempts, %d cancelled %v after the caller left, want 1 and 1", len(runs), len(cancels), cancelTimeout)
			}
			_ = harness.entry.server.Close()
		})
	}
}
