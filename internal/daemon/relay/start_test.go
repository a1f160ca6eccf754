package relay

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// TestAwaitStart guards against requests that use processor time during the startup
// although their caller has left or their deadline has passed.
func TestAwaitStart(t *testing.T) {
	tests := []struct {
		name       string
		callerLeft bool
		timeout    time.Duration
		want       int
	}{
		{name: "waits", timeout: time.Second, want: int(startupWait/recheckInterval) + 1},
		{name: "caller left", callerLeft: true, timeout: time.Second, want: 1},
		{name: "out of time", timeout: 0, want: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				if test.callerLeft {
					leave()
				}
				proxyRequest := &proxyRequest{
					relay:    &Relay{process: newProcess()},
					request:  httptest.NewRequest("POST", "/x", nil).WithContext(ctx),
					deadline: time.Now().Add(test.timeout),
				}
				checks := 0
				proxyRequest.awaitStartup(func() bool {
					checks++
					return checks >= 1000
				})
				if checks != test.want {
					t.Errorf("checked %d times, want %d", checks, test.want)
				}
			})
		})
	}
}
