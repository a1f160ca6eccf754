package start

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/health"
	"jacinthfront.dev/jacinthfront/internal/flow/route"
)

// TestProbes guards against an ejected upstream that gets more than one request
// before its probe has succeeded, or none at all.
func TestProbes(t *testing.T) {
	tests := []struct {
		name   string
		guards string
		wait   time.Duration
		// succeed says that the probe is answered.
		succeed bool
		want    int
	}{
		{"ejected", "a request to an ejected upstream", health.DefaultFirst / 2, false, 0},
		{"probed", "several requests before the probe's answer", health.DefaultFirst, false, 1},
		{"recovered", "an upstream that stays ejected after its probe", health.DefaultFirst, true, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				known := newHealth("advisor")
				policy := route.NewRoundRobin(known)
				known.Follow([]string{"a", "b"})
				policy.SetMembers([]route.Member{{ID: "a"}, {ID: "b"}}, 1)
				for range health.DefaultFailures {
					known.Failed("a")
				}
				time.Sleep(test.wait)
				sent := 0
				for range 10 {
					decision, ok := policy.Choose(time.Now(), route.Request{})
					if !ok {
						t.Fatal("no upstream chosen although b is healthy")
					}
					if decision.Upstream == "a" {
						sent++
						if test.succeed {
							known.Succeeded("a")
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
