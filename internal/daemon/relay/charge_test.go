package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/bucket"
)

// TestChargeRetryAfter guards against callers who are told to come back too early, all at
// one moment, or after they have left although the rate would serve them before.
func TestChargeRetryAfter(t *testing.T) {
	const second = time.Second
	class := bucket.Class(8 * second)
	tests := []struct {
		name        string
		class       bucket.Class
		denial      bucket.Denial
		remaining   time.Duration
		least, most time.Duration
	}{
		{"no classes, as before", bucket.Unclassified, bucket.Denial{Wait: 9 * second}, 20 * second, 5 * second, 5 * second},
		{"spread", class, bucket.Denial{Wait: second, Spread: 2 * second}, 20 * second, second, 3*second + time.Millisecond},
		{"bounded spread", class, bucket.Denial{Wait: second, Spread: time.Hour}, 20 * second, second, 6*second + time.Millisecond},
		{"within the caller's time", class, bucket.Denial{Wait: second, Spread: 4 * second}, 2 * second, second, 2*second + time.Millisecond},
		{"beyond the caller's time", class, bucket.Denial{Wait: 9 * second, Spread: 4 * second}, 2 * second, 9 * second, 13*second + time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				proxyRequest := &proxyRequest{waitClass: test.class, deadline: time.Now().Add(test.remaining)}
				soonest, latest := time.Hour, time.Duration(0)
				for range 100 {
					got := proxyRequest.chargeRetryAfter(test.denial)
					soonest, latest = min(soonest, got), max(latest, got)
				}
				if soonest < test.least || latest > test.most || (soonest == latest) != (test.least == test.most) {
					t.Errorf("retry after %v to %v, want within %v and %v", soonest, latest, test.least, test.most)
				}
			})
		})
	}
}

// TestReportedClasses guards against a relay that keeps no reserve for what other relays
// spend on urgent classes.
func TestReportedClasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const class = bucket.Class(8 * time.Second)
		limit := bucket.Limit{Rate: 1000, Burst: 4000}
		sender, receiver := newListedRelay(), newListedRelay()
		sender.config.DatagramAddress = "10.0.0.9:7600"
		for range 60 {
			sender.limiter.SetInstances(2)
			receiver.limiter.SetInstances(2)
			sender.limiter.TakeRequest("hule", limit, bucket.Request{Cost: 40, Class: class / 32})
			receiver.handleUsage(sender.encodeUsage(sender.limiter.LocalUsage(), fullReport))
			time.Sleep(100 * time.Millisecond)
		}
		receiver.limiter.Take("hule", limit, 3900)
		if denial, ok := receiver.limiter.TakeRequest("hule", limit, bucket.Request{Cost: 4000, Class: class}); ok || denial.Reserve < 400 || denial.Reserve > 1000 {
			t.Errorf("let through: %v; reserve %.0f, want about 2 s of 400", ok, denial.Reserve)
		}
	})
}
