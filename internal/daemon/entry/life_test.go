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
			run(t, func(world *world) {
				world.config.Limits.RequestTimeout, world.config.Limits.DrainTimeout = 90*time.Second, 95*time.Second
				if test.status == 0 {
					world.config.Limits.RequestTimeout, world.config.Limits.DrainTimeout = 2*time.Hour, 2*time.Hour+1
				}
				world.set(act(script.started, chunks(0, "a"), pause(test.length), chunks(1, "b"), script.done))
			}, func(world *world) {
				if test.status == 0 {
					world.entry.config.Limits.DrainTimeout = 95 * time.Second
				}
				answers := make(chan reply, 1)
				go func() { answers <- world.chat(`,"stream":true`) }()
				synctest.Wait()
				begin := time.Now()
				ended := make(chan error, 1)
				go func() { ended <- world.entry.Drain(world.t.Context()) }()
				time.Sleep(time.Second)
				world.set(answer)
				if got := world.chat(""); got.status != http.StatusOK || world.entry.Ready() {
					t.Errorf("before the load balancer has noticed: %+v, ready %t", got, world.entry.Ready())
				}
				time.Sleep(5 * time.Second)
				if got := world.chat(""); got.err == nil {
					t.Errorf("after the listener has closed: %+v", got)
				}
				err := <-ended
				if took := time.Since(begin); took > test.limit || (err == nil) != (test.status == http.StatusOK) {
					t.Errorf("drained after %s: %v", took, err)
				}
				if got := <-answers; test.status == http.StatusOK && !strings.HasSuffix(got.body, "data: [DONE]\n\n") {
					t.Errorf("answer %+v", got)
				}
			})
		})
	}
}

// TestIsolation guards against keyed work at an instance that no withdrawal
// reaches.
func TestIsolation(t *testing.T) {
	run(t, func(world *world) { world.isolated = true }, func(world *world) {
		if got := world.chat(""); got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, `"kind":"stale"`) {
			t.Errorf("keyed work: %+v", got)
		}
		if got := world.send(world.request(world.t.Context(), "GET", "/services/counter/stock", "", "")); got.status != http.StatusOK {
			t.Errorf("open route: %+v", got)
		}
	})
}

// TestDeadline guards against requests that outlive the limit and against
// waits that the side process is not told of.
func TestDeadline(t *testing.T) {
	run(t, func(world *world) {
		world.config.Limits.RequestTimeout, world.config.Limits.DrainTimeout = time.Minute, 2*time.Minute
		world.set(act(pause(time.Hour)))
	}, func(world *world) {
		sent := time.Now()
		got := world.chat("")
		if took := time.Since(sent); took != time.Minute || !strings.Contains(got.body, `"kind":"deadline-exceeded"`) || !strings.Contains(got.body, `"ran":"unknown"`) {
			t.Errorf("after %s: %+v", took, got)
		}
		time.Sleep(time.Second)
		runs, cancels := world.attempts()
		if len(cancels) != 1 || runs[0].GetWaitBudgetUs() != 20_000_000 || runs[0].GetTimeBudgetUs() != 60_000_000 {
			t.Errorf("cancellations %v of %v", cancels, runs)
		}
	})
}

type emptyBudget struct{ freeBudget }

func (emptyBudget) Allow() bool { return false }

// TestBudget guards against retries beyond the budget, late give-ups, and
// planned stops that use the budget up.
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
			run(t, func(world *world) {
				world.config.RetryBudget = emptyBudget{}
				world.set(act(refuse(test.kind, true)), answer)
			}, func(world *world) {
				sent := time.Now()
				got := world.chat("")
				runs, _ := world.attempts()
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

// TestIdempotencyKey guards against copies of a request that do not meet, and
// against keys that mix up organisations or requests.
func TestIdempotencyKey(t *testing.T) {
	run(t, nil, func(world *world) {
		order := func(key, idempotencyKey, body string) {
			if got := world.post("/services/counter/orders", key, body, "Idempotency-Key", idempotencyKey); got.status != http.StatusOK {
				t.Errorf("answer %+v", got)
			}
		}
		for range 3 {
			order(ashKey, "seven", "one")
		}
		runs, _ := world.attempts()
		first := runs[0]
		var target string
		for id, side := range world.sides {
			if sideRuns, _ := side.seen(); len(sideRuns) == 3 {
				target = id
			}
		}
		if target == "" || first.GetIdempotent() || len(first.GetIdempotencyKeyHash()) != 32 {
			t.Fatalf("copies did not meet: %v", runs)
		}
		order(ashKey, "seven", "two")
		order(birchKey, "seven", "one")
		world.leaving[target] = true
		world.entry.fleet.update()
		order(ashKey, "seven", "one")
		type seen struct{ Key, Digest bool }
		got := map[seen]int{}
		runs, _ = world.attempts()
		for _, run := range runs {
			got[seen{string(run.GetIdempotencyKeyHash()) == string(first.GetIdempotencyKeyHash()), string(run.GetRequestDigest()) == string(first.GetRequestDigest())}]++
		}
		if diff := cmp.Diff(map[seen]int{{true, true}: 4, {true, false}: 1, {false, true}: 1}, got); diff != "" {
			t.Errorf("same key and digest (-want +got):\n%s", diff)
		}
		if sideRuns, _ := world.sides[target].seen(); len(sideRuns) > 5 {
			t.Errorf("a leaving upstream got new work")
		}
	})
}

// TestOutcome guards against outcomes that claim more than is known.
func TestOutcome(t *testing.T) {
	tests := []struct {
		name string
		ran  wirepb.Ran
		gone bool
		want string
	}{
		{"ran", wirepb.Ran_RAN_RAN, false, `"ran":"ran","running":false,"status":200`},
		{"not run", wirepb.Ran_RAN_NOT_RUN, false, `"ran":"not-run"`},
		{"not run, but one side process does not answer", wirepb.Ran_RAN_NOT_RUN, true, `"ran":"unknown"`},
		{"unknown", wirepb.Ran_RAN_UNKNOWN, false, `"ran":"unknown"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(world *world) {
				for _, side := range world.sides {
					side.ran = test.ran
				}
			}, func(world *world) {
				if test.gone {
					world.pipes.listen("plain-b", nil)
				}
				got := world.send(world.request(world.t.Context(), "GET", "/v1/requests/some-12345678", ashKey, ""))
				if got.status != http.StatusOK || !strings.Contains(got.body, test.want) {
					t.Errorf("want %s, got %+v", test.want, got)
				}
			})
		})
	}
}

// healthLog records what is reported of upstreams.
type healthLog struct {
	noHealth
	mutex  sync.Mutex
	events map[string]int
	// followed counts the upstreams named to Follow.
	followed int
}

func (healthLog *healthLog) SetUpstreams(upstreams []string) { healthLog.followed += len(upstreams) }

func (healthLog *healthLog) RecordSuccess(upstream string) { healthLog.add(upstream, 1) }

func (healthLog *healthLog) RecordFailure(upstream string) bool {
	healthLog.add(upstream, -1)
	return false
}

func (healthLog *healthLog) add(upstream string, value int) {
	healthLog.mutex.Lock()
	defer healthLog.mutex.Unlock()
	healthLog.events[upstream] += value
}

// TestKilledSideProcess guards against lost requests when a side process is
// gone, against orders that are not tried elsewhere although they were never
// sent, and against failures that do not count.
func TestKilledSideProcess(t *testing.T) {
	for _, path := range []string{"/v1/completions", "/services/counter/orders"} {
		t.Run(path, func(t *testing.T) {
			log := &healthLog{events: map[string]int{}}
			run(t, func(world *world) {
				world.config.NewHealth = func(string) Health { return log }
			}, func(world *world) {
				world.pipes.listen("engine-a", nil)
				world.pipes.listen("plain-a", nil)
				for range 4 {
					if got := world.post(path, ashKey, goodBody); got.status != http.StatusOK {
						t.Errorf("answer %+v", got)
					}
				}
			})
			if log.followed != 5 {
				t.Errorf("%d upstreams followed, want 5", log.followed)
			}
			if lost := log.events["engine-a"] + log.events["plain-a"]; lost >= 0 || log.events["engine-b"]+log.events["plain-b"] != 4 {
				t.Errorf("recorded results %v", log.events)
			}
		})
	}
}

// TestKeepAlive guards against deadlines of a body or an answer that cut a later
// or slower one.
func TestKeepAlive(t *testing.T) {
	run(t, func(world *world) {
		for _, id := range []string{"plain-a", "plain-b"} {
			world.sides[id].run = []scripted{act(pause(15*time.Second), script.started, script.done)}
		}
	}, func(world *world) {
		for range 3 {
			if got := world.chat(`,"stream":true`); !strings.Contains(got.body, "[DONE]") {
				t.Errorf("answer %+v", got)
			}
			time.Sleep(time.Minute)
			if got := world.post("/services/counter/stock", "", ""); got.status != http.StatusOK {
				t.Errorf("answer without body: %+v", got)
			}
		}
	})
}

// TestLogLine guards against decisions that leave no trace.
func TestLogLine(t *testing.T) {
	run(t, nil, func(world *world) {
		got := world.chat("")
		lines := world.logs.FilterMessage("route: chose upstream").All()
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
