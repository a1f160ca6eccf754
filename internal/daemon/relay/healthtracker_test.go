package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/health"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// TestEjectedUpstream guards against an upstream that gets all requests again a second
// after it was ejected, while all its answers still fail: it must get one at a time.
func TestEjectedUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := &healthTracker{services: make(map[string]*health.Tracker)}
		upstreams := []fleet.Upstream{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s"}}
		tracker.setUpstreams(upstreams)
		faulty := upstreams[0]
		for range health.DefaultMaxFailures {
			tracker.record("s", faulty.ID, false)
		}
		var sends []time.Duration
		began := time.Now()
		for time.Since(began) < 20*time.Second {
			if tracker.Usable("s", faulty.ID) && tracker.admits(faulty) {
				sends = append(sends, time.Since(began))
				time.AfterFunc(50*time.Millisecond, func() { tracker.record("s", faulty.ID, false) })
			}
			time.Sleep(10 * time.Millisecond)
		}
		want := []time.Duration{1000, 3050, 7100, 11150, 15200, 19250}
		for i := range want {
			want[i] *= time.Millisecond
		}
		if diff := cmp.Diff(want, sends); diff != "" {
			t.Errorf("sends to the ejected upstream (-want +got):\n%s", diff)
		}
		tracker.record("s", faulty.ID, true)
		for range 2 {
			if !tracker.Usable("s", faulty.ID) || !tracker.admits(faulty) {
				t.Error("the upstream gets no requests after a success")
			}
		}
	})
}
