package entry

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// TestDrain guards against a planned stop that interrupts requests or does not
// end.
func TestDrain(t *testing.T) {
	tests := []struct {
		name   string
		length time.Duration
		status int
		limit  time.Duration
	}{
		{"finishes", time.Minute, http.StatusOK, 70 * time.Second},
		{"gives up", time.Hour, 0, 100 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, func(harness *harness) {
				harness.config.Limits.RequestTimeout, harness.config.Limits.DrainTimeout = 90*time.Second, 95*time.Second
				if test.status == 0 {
					harness.config.Limits.RequestTimeout, harness.config.Limits.DrainTimeout = 2*time.Hour, 2*time.Hour+1
				}
				harness.setScripts(runScript(eventSender.started, chunks(0, "a"), sleep(test.length), chunks(1, "b"), eventSender.done))
			}, func(harness *harness) {
				if test.status == 0 {
					harness.entry.config.Limits.DrainTimeout = 95 * time.Second
				}
				answers := make(chan reply, 1)
				go func() { answers <- harness.chat(`,"stream":true`) }()
				synctest.Wait()
				begin := time.Now()
				ended := make(chan error, 1)
				go func() { ended <- harness.entry.Drain(harness.t.Context()) }()
				time.Sleep(time.Second)
				harness.setScripts(completeRun)
				if got := harness.chat(""); got.status != http.StatusOK || harness.entry.Ready() {
					t.Errorf("before the load balancer has noticed: %+v, ready %t", got, harness.entry.Ready())
				}
				time.Sleep(5 * time.Second)
				if got := harness.chat(""); got.err == nil {
					t.Errorf("after the listener has closed: %+v", got)
				}
				err := <-ended
				if took := time.Since(begin); took > test.limit || (err == nil) != (test.status == http.StatusOK) {
					t.Errorf("drained after %s: %v", took, err)
				}
				if got := <-answers; test.status == http.StatusOK && !strings.HasSuffix(got.body, "data: [DONE]\n\n") {
					t.Errorf("response %+v", got)
				}
			})
		})
	}
}

// TestDrainLate guards against a request that arrives during a planned stop and is cut
// with no answer when the stop ends before its timeout (further report of issue 41).
func TestDrainLate(t *testing.T) {
	runTest(t, func(harness *harness) {
		harness.config.Limits.RequestTimeout, harness.config.Limits.DrainTimeout = 90*time.Second, 92*time.Second
		harness.setScripts(runScript(sleep(time.Hour)))
	}, func(harness *harness) {
		go func() { _ = harness.entry.Drain(harness.t.Context()) }()
		time.Sleep(harness.entry.config.Limits.DrainDelay - 100*time.Millisecond)
		if got := harness.chat(""); got.err != nil || !strings.Contains(got.body, `"kind":"deadline-exceeded"`) || !strings.Contains(got.body, `"ran":"unknown"`) {
			t.Errorf("response %+v", got)
		}
		<-harness.entry.drained
	})
}

// TestIsolation guards against serving requests with a key at an instance that
// withdrawals of keys do not reach.
func TestIsolation(t *testing.T) {
	runTest(t, func(harness *harness) { harness.isolated = true }, func(harness *harness) {
		if got := harness.chat(""); got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, `"kind":"stale"`) {
			t.Errorf("request with a key: %+v", got)
		}
		if got := harness.send(harness.request(harness.t.Context(), "GET", "/services/counter/stock", "", "")); got.status != http.StatusOK {
			t.Errorf("open route: %+v", got)
		}
	})
}

// TestDeadline guards against requests that exceed the request timeout, and
// against a side process that is not told the time left.
func TestDeadline(t *testing.T) {
	runTest(t, func(harness *harness) {
		harness.config.Limits.RequestTimeout, harness.config.Limits.DrainTimeout = time.Minute, 2*time.Minute
		harness.setScripts(runScript(sleep(time.Hour)))
	}, func(harness *harness) {
		sent := time.Now()
		got := harness.chat("")
		if took := time.Since(sent); took != time.Minute || !strings.Contains(got.body, `"kind":"deadline-exceeded"`) || !strings.Contains(got.body, `"ran":"unknown"`) {
			t.Errorf("after %s: %+v", took, got)
		}
		time.Sleep(time.Second)
		runs, cancels := harness.received()
		if len(cancels) != 1 || runs[0].GetWaitBudgetUs() != 20_000_000 || runs[0].GetTimeBudgetUs() != 60_000_000 {
			t.Errorf("cancellations %v of %v", cancels, runs)
		}
	})
}

type noRetries struct{ unlimitedRetries }

func (noRetries) Allow() bool { return false }

// TestBudget guards against retries beyond the retry budget, delayed refusals
// when it is empty, and handbacks of a planned stop that use it up.
func TestBudget(t *testing.T) {
	tests := []struct {
		kind   fault.Kind
		status int
		runs   int
	}{
		{fault.Overloaded, http.StatusServiceUnavailable, 1},
		{fault.Draining, http.StatusOK, 2},
	}
	for _, test := range tests {
		t.Run(string(test.kind), func(t *testing.T) {
			runTest(t, func(harness *harness) {
				harness.config.RetryBudget = noRetries{}
				harness.setScripts(runScript(refuse(test.kind, true)), completeRun)
			}, func(harness *harness) {
				sent := time.Now()
				got := harness.chat("")
				runs, _ := harness.received()
				if got.status != test.status || len(runs) != test.runs || time.Since(sent) > 0 {
					t.Errorf("after %s and %d attempts: %+v", time.Since(sent), len(runs), got)
				}
				if got.status != http.StatusOK && got.header.Get("Retry-After") == "" {
					t.Errorf("no Retry-After: %+v", got)
				}
			})
		})
	}
}

// TestIdempotencyKey guards against copies of a request that reach different side
// processes, and against keys that are shared between organisations or requests.
func TestIdempotencyKey(t *testing.T) {
	runTest(t, nil, func(harness *harness) {
		order := func(key, idempotencyKey, body string) {
			if got := harness.post("/services/counter/orders", key, body, "Idempotency-Key", idempotencyKey); got.status != http.StatusOK {
				t.Errorf("response %+v", got)
			}
		}
		for range 3 {
			order(ashKey, "seven", "one")
		}
		runs, _ := harness.received()
		first := runs[0]
		var target string
		for id, fakeSide := range harness.sideProcesses {
			if sideRuns, _ := fakeSide.received(); len(sideRuns) == 3 {
				target = id
			}
		}
		if target == "" || first.GetIdempotent() || len(first.GetIdempotencyKeyHash()) != 32 {
			t.Fatalf("copies reached several side processes: %v", runs)
		}
		order(ashKey, "seven", "two")
		order(birchKey, "seven", "one")
		harness.draining[target] = true
		harness.entry.services.update()
		order(ashKey, "seven", "one")
		type seen struct{ Key, Digest bool }
		got := map[seen]int{}
		runs, _ = harness.received()
		for _, run := range runs {
			got[seen{string(run.GetIdempotencyKeyHash()) == string(first.GetIdempotencyKeyHash()), string(run.GetRequestDigest()) == string(first.GetRequestDigest())}]++
		}
		if diff := cmp.Diff(map[seen]int{{true, true}: 4, {true, false}: 1, {false, true}: 1}, got); diff != "" {
			t.Errorf("same key and digest (-want +got):\n%s", diff)
		}
		if sideRuns, _ := harness.sideProcesses[target].received(); len(sideRuns) > 5 {
			t.Errorf("a draining upstream received a new request")
		}
	})
}

// TestOutcome guards against outcomes that claim more than is known.
func TestOutcome(t *testing.T) {
	tests := []struct {
		name        string
		ran         wirepb.Ran
		unreachable bool
		want        string
	}{
		{"ran", wirepb.Ran_RAN_RAN, false, `"ran":"ran","running":false,"status":200`},
		{"not run", wirepb.Ran_RAN_NOT_RUN, false, `"ran":"not-run"`},
		{"not run, but one side process does not answer", wirepb.Ran_RAN_NOT_RUN, true, `"ran":"unknown"`},
		{"unknown", wirepb.Ran_RAN_UNKNOWN, false, `"ran":"unknown"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, func(harness *harness) {
				for _, fakeSide := range harness.sideProcesses {
					fakeSide.ran = test.ran
				}
			}, func(harness *harness) {
				if test.unreachable {
					harness.pipes.listen("plain-b", nil)
				}
				got := harness.send(harness.request(harness.t.Context(), "GET", "/v1/requests/some-12345678", ashKey, ""))
				if got.status != http.StatusOK || !strings.Contains(got.body, test.want) {
					t.Errorf("want %s, got %+v", test.want, got)
				}
			})
		})
	}
}

// recordingHealth records the results that are reported for upstreams.
type recordingHealth struct {
	noHealth
	mutex  sync.Mutex
	events map[string]int
	// upstreams counts the upstreams given to SetUpstreams.
	upstreams int
}

func (healthLog *recordingHealth) SetUpstreams(upstreams []string) {
	healthLog.upstreams += len(upstreams)
}

func (healthLog *recordingHealth) RecordSuccess(upstream string) { healthLog.add(upstream, 1) }

func (healthLog *recordingHealth) RecordFailure(upstream string) bool {
	healthLog.add(upstream, -1)
	return false
}

func (healthLog *recordingHealth) add(upstream string, value int) {
	healthLog.mutex.Lock()
	defer healthLog.mutex.Unlock()
	healthLog.events[upstream] += value
}

// TestKilledSideProcess guards against requests that are lost when a side process
// has been killed, against non-idempotent requests that are not tried elsewhere
// although they were never sent, and against failures that are not recorded.
func TestKilledSideProcess(t *testing.T) {
	for _, path := range []string{"/v1/completions", "/services/counter/orders"} {
		t.Run(path, func(t *testing.T) {
			log := &recordingHealth{events: map[string]int{}}
			runTest(t, func(harness *harness) {
				harness.config.NewHealth = func(string) HealthTracker { return log }
			}, func(harness *harness) {
				harness.pipes.listen("engine-a", nil)
				harness.pipes.listen("plain-a", nil)
				for range 4 {
					if got := harness.post(path, ashKey, goodBody); got.status != http.StatusOK {
						t.Errorf("response %+v", got)
					}
				}
			})
			if log.upstreams != 5 {
				t.Errorf("SetUpstreams got %d upstreams, want 5", log.upstreams)
			}
			if lost := log.events["engine-a"] + log.events["plain-a"]; lost >= 0 || log.events["engine-b"]+log.events["plain-b"] != 4 {
				t.Errorf("recorded results %v", log.events)
			}
		})
	}
}

// TestKeepAlive guards against deadlines that stay set on a connection and
// interrupt a later request or a slow response.
func TestKeepAlive(t *testing.T) {
	runTest(t, func(harness *harness) {
		for _, id := range []string{"plain-a", "plain-b"} {
			harness.sideProcesses[id].scripts = []runFunc{runScript(sleep(15*time.Second), eventSender.started, eventSender.done)}
		}
	}, func(harness *harness) {
		for range 3 {
			if got := harness.chat(`,"stream":true`); !strings.Contains(got.body, "[DONE]") {
				t.Errorf("response %+v", got)
			}
			time.Sleep(time.Minute)
			if got := harness.post("/services/counter/stock", "", ""); got.status != http.StatusOK {
				t.Errorf("response to a request without body: %+v", got)
			}
		}
	})
}

// TestLogLine guards against routing decisions that are not logged in full.
func TestLogLine(t *testing.T) {
	runTest(t, nil, func(harness *harness) {
		got := harness.chat("")
		lines := harness.logs.FilterMessage("route: chose upstream").All()
		if len(lines) != 1 {
			t.Fatalf("%d lines", len(lines))
		}
		fields := lines[0].ContextMap()
		want := map[string]any{
			"request-id": got.header.Get(headerRequestID), "attempt": uint32(1), "upstream": fields["upstream"], "reason": "rotation",
			"scores": []any{fields["upstream"].(string) + "=0.0"}, "adapter": "oak", "version": uint32(2), "organisation": "ash",
		}
		if diff := cmp.Diff(want, fields); diff != "" {
			t.Errorf("fields (-want +got):\n%s", diff)
		}
	})
}
