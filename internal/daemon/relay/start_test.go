package relay

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// TestAwaitStart guards against a request that takes the processor while the
// instance starts, because its caller has left or it has waited long enough.
func TestAwaitStart(t *testing.T) {
	tests := []struct {
		name  string
		left  bool
		until time.Duration
		want  int
	}{
		{name: "waits", until: time.Second, want: int(startTime/lookAgain) + 1},
		{name: "caller left", left: true, until: time.Second, want: 1},
		{name: "out of time", until: 0, want: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				if test.left {
					leave()
				}
				flight := &flight{
					relay:   &Relay{start: time.Now()},
					request: httptest.NewRequest("POST", "/x", nil).WithContext(ctx),
					until:   time.Now().Add(test.until),
				}
				looks := 0
				flight.awaitStart(func() bool {
					looks++
					return looks >= 1000
				})
				if looks != test.want {
					t.Errorf("looked %d times, want %d", looks, test.want)
				}
			})
		})
	}
}
