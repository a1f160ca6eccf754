package start

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/health"
	"jacinthfront.dev/jacinthfront/internal/flow/policy"
)

// TestProbes guards against an ejected upstream that gets no probe, or more than
// one request before its probe has succeeded.
func TestProbes(t *testing.T) {
	tests := []struct {
		name   string
		guards string
		wait   time.Duration
		// succeed makes the probe and all later requests succeed.
		succeed bool
		want    int
	}{
		{"ejected", "a request to an ejected upstream", health.DefaultInitialEjection / 2, false, 0},
		{"probed", "several requests before the probe's answer", health.DefaultInitialEjection, false, 1},
		{"recovered", "an upstream that stays ejected after its probe", health.DefaultInitialEjection, true, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := newHealth("advisor")
				roundRobin := policy.NewRoundRobin(tracker)
				tracker.SetUpstreams([]string{"a", "b"})
				roundRobin.SetMembers([]policy.Member{{ID: "a"}, {ID: "b"}}, 1)
				for range health.DefaultMaxFailures {
					tracker.RecordFailure("a")
				}
				time.Sleep(test.wait)
				sent := 0
				for range 10 {
					decision, ok := roundRobin.Choose(time.Now(), policy.Request{})
					if !ok {
						t.Fatal("no upstream chosen although b is healthy")
					}
					if decision.Upstream == "a" {
						sent++
						if test.succeed {
							tracker.RecordSuccess("a")
						}
					}
				}
				if diff := cmp.Diff(test.want, sent); diff != "" {
					t.Errorf("%s: %s", test.guards, diff)
				}
			})
		})
	}
}
