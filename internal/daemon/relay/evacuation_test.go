package relay

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
)

// TestEvacuations guards against an evacuation that is missed, or that is taken back by an
// instance which has read less, and against one that does not end.
func TestEvacuations(t *testing.T) {
	apply := func(domain string, evacuated bool) func(*evacuations) {
		return func(evacuations *evacuations) {
			evacuations.apply([]ConfigChange{{FailureDomain: domain, Evacuated: evacuated}, {Model: "m"}}, false)
		}
	}
	confirm := func(epoch, next uint64) func(*evacuations) {
		return func(evacuations *evacuations) {
			evacuations.confirm(watch.Cursor{Epoch: epoch, Next: next}, time.Now())
		}
	}
	told := func(epoch, next uint64, domains ...string) func(*evacuations) {
		return func(evacuations *evacuations) {
			evacuations.record("peer", cordon.Evacuation{Epoch: epoch, Next: next, FailureDomains: domains})
		}
	}
	sleep := func(*evacuations) { time.Sleep(toldLifetime + time.Second) }
	tests := []struct {
		name  string
		steps []func(*evacuations)
		want  []string
	}{
		{name: "own", steps: []func(*evacuations){apply("b", true), apply("a", true)}, want: []string{"a", "b"}},
		{name: "taken back", steps: []func(*evacuations){apply("a", true), apply("b", true), apply("a", false)}, want: []string{"b"}},
		{name: "not in a snapshot", steps: []func(*evacuations){apply("a", true), func(evacuations *evacuations) { evacuations.apply(nil, true) }}},
		{name: "told of a later position", steps: []func(*evacuations){confirm(0, 4), told(0, 5, "a")}, want: []string{"a"}},
		{name: "told of the end", steps: []func(*evacuations){apply("a", true), confirm(0, 4), told(0, 6)}},
		{name: "told by one that lags", steps: []func(*evacuations){apply("a", true), confirm(0, 4), told(0, 3), told(0, 4)}, want: []string{"a"}},
		{name: "told by one that has read nothing", steps: []func(*evacuations){apply("a", true), told(0, 0)}, want: []string{"a"}},
		{name: "told twice, out of order", steps: []func(*evacuations){told(0, 5, "a"), told(0, 4, "b")}, want: []string{"a"}},
		{name: "own read of records from before", steps: []func(*evacuations){told(0, 6, "a"), apply("b", true), confirm(0, 4)}, want: []string{"a"}},
		{name: "own read gets there", steps: []func(*evacuations){told(0, 6, "a"), apply("b", true), confirm(0, 6)}, want: []string{"b"}},
		{name: "restored here", steps: []func(*evacuations){told(1, 6, "a"), confirm(2, 2)}},
		{name: "restored, told by one that has not noticed", steps: []func(*evacuations){confirm(2, 2), told(1, 6, "a")}},
		{name: "restored, not noticed here", steps: []func(*evacuations){apply("a", true), confirm(1, 6), told(2, 2)}},
		{name: "restored without epochs", steps: []func(*evacuations){confirm(0, 4), told(0, 6, "a"), sleep, confirm(0, 4)}},
		{name: "cut for long", steps: []func(*evacuations){confirm(0, 4), told(0, 6, "a"), sleep}, want: []string{"a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				evacuations := newEvacuations()
				for _, step := range test.steps {
					step(evacuations)
					evacuations.enforce()
				}
				if diff := cmp.Diff(test.want, evacuations.inForce.List()); diff != "" {
					t.Errorf("evacuated (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestEvacuationNews guards against instances that reach no store and do not hear of an end, and
// against operators who are not told, once, that an evacuation has no effect or takes all.
func TestEvacuationNews(t *testing.T) {
	evacuations := newEvacuations()
	if sent := evacuations.encode(); sent != nil {
		t.Errorf("sent before anything was read: %v", sent)
	}
	for number, evacuated := range []bool{true, false} {
		evacuations.apply([]ConfigChange{{FailureDomain: "a", Evacuated: evacuated}}, false)
		cursor := watch.Cursor{Epoch: 1, Next: uint64(number + 1)}
		if first, second := evacuations.confirm(cursor, time.Now()), evacuations.confirm(cursor, time.Now()); !first || second {
			t.Errorf("news %v, and again %v", first, second)
		}
		if sent := evacuations.encode(); sent.GetNext() != cursor.Next || len(sent.GetFailureDomains()) != 1-number {
			t.Errorf("sent %v", sent)
		}
	}
	evacuations.apply([]ConfigChange{{FailureDomain: "a", Evacuated: true}, {FailureDomain: "c", Evacuated: true}}, false)
	evacuations.enforce()
	for number, listed := range []map[string]int{{"a": 1, "b": 1}, {"a": 1}, {"a": 1}} {
		empty, all := evacuations.check(listed)
		if len(empty) != max(1-number, 0) || all != (number == 1) {
			t.Errorf("check %d: %v without upstreams, all %v", number, empty, all)
		}
	}
}

// TestEvacuatedRefusal guards against callers that wait, or are given another reason, while only
// evacuated upstreams could serve them.
func TestEvacuatedRefusal(t *testing.T) {
	for _, streaming := range []bool{false, true} {
		t.Run(fmt.Sprint("stream that goes on: ", streaming), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				relay := newListedRelay(
					fleet.Upstream{ID: "i-1", Service: "counter", Address: "10.0.0.5:80", Slots: 8, FailureDomain: "a", SoftwareVersion: "v1"},
					fleet.Upstream{ID: "i-2", Service: "other", Address: "10.0.0.6:80", Slots: 8, FailureDomain: "b"},
				)
				relay.applyEvacuations([]ConfigChange{{FailureDomain: "a", Evacuated: true}}, false)
				proxyRequest := &proxyRequest{
					relay: relay, route: &routes.Route{Name: "r", Streaming: streaming, Resumable: true, ResponseGoal: time.Second}, service: &routes.Service{Name: "counter"},
					request: httptest.NewRequest("POST", "/x", nil), started: time.Now(), deadline: time.Now().Add(time.Minute),
					headersSent: streaming, continues: streaming, active: new(activeSend),
				}
				proxyRequest.origin.Service, proxyRequest.origin.Version = "counter", "v1"
				began := time.Now()
				_, refused := proxyRequest.awaitUpstream(t.Context())
				if refused == nil || refused.reason != reasonEvacuated || time.Since(began) > 0 {
					t.Errorf("refusal %v after %v", refused, time.Since(began))
				}
			})
		})
	}
}
