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
		name         string
		class        bucket.Class
		denial       bucket.Denial
		remaining    time.Duration
		least, most  time.Duration
		differsAtAll bool
	}{
		{"no classes, as before", bucket.Unclassified, bucket.Denial{Wait: 9 * second}, 20 * second, 5 * second, 5 * second, false},
		{"spread", class, bucket.Denial{Wait: second, Spread: 2 * second}, 20 * second, second, 3*second + time.Millisecond, true},
		{"bounded spread", class, bucket.Denial{Wait: second, Spread: time.Hour}, 20 * second, second, 6*second + time.Millisecond, true},
		{"within the caller's time", class, bucket.Denial{Wait: second, Spread: 4 * second}, 2 * second, second, 2*second + time.Millisecond, true},
		{"beyond the caller's time", class, bucket.Denial{Wait: 9 * second, Spread: 4 * second}, 2 * second, 9 * second, 13*second + time.Millisecond, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				proxyRequest := &proxyRequest{class: test.class, deadline: time.Now().Add(test.remaining)}
				different := make(map[time.Duration]bool)
				for range 100 {
					got := proxyRequest.chargeRetryAfter(test.denial)
					if got < test.least || got > test.most {
						t.Fatalf("retry after %v, want between %v and %v", got, test.least, test.most)
					}
					different[got] = true
				}
				if (len(different) > 1) != test.differsAtAll {
					t.Errorf("%d different times", len(different))
				}
			})
		})
	}
}
