package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/state/routes"
)

// TestWaitRefusal guards the limit for requests that wait after all engines were
// lost. A request must not be refused while it can still be answered before its
// caller's deadline, and must be refused before that deadline, so that the caller
// can retry.
func TestWaitRefusal(t *testing.T) {
	stream := routes.Route{Name: "r", Streaming: true, ResponseGoal: 600 * time.Millisecond, CallerStreamTimeout: 2400 * time.Millisecond}
	tests := []struct {
		name    string
		route   routes.Route
		timeout time.Duration
		want    time.Duration
	}{
		{name: "until the caller abandons the stream", route: stream, timeout: 12 * time.Second, want: 2200 * time.Millisecond},
		{name: "until it could not finish in time", route: stream, timeout: 3500 * time.Millisecond, want: 2 * time.Second},
		{name: "half of a timeout below the typical latency", route: stream, timeout: 2 * time.Second, want: time.Second},
		{name: "no stream", route: routes.Route{Name: "r"}, timeout: 3 * time.Second, want: 1500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				relay := &Relay{latencies: newLatencies()}
				relay.latencies.recordFirstEvent("r", 100*time.Millisecond)
				relay.latencies.recordTotal("r", 1500*time.Millisecond)
				proxyRequest := &proxyRequest{
					relay: relay, route: &test.route, service: &routes.Service{Engine: &routes.Engine{}},
					started: time.Now(), deadline: time.Now().Add(test.timeout),
				}
				proxyRequest.setTypicalLatencies()
				began := time.Now()
				for proxyRequest.waitRefusal(t.Context(), picker.Choice{Result: picker.AdapterMissing}, time.Since(began)) == nil {
					time.Sleep(10 * time.Millisecond)
				}
				if got := time.Since(began); got != test.want {
					t.Errorf("refused after %v, want %v", got, test.want)
				}
			})
		})
	}
}

// TestContinuedStreamNotLate guards against streams that callers take up and that count as
// late once their response-time goal is missed, so that new streams are admitted before
// them and adapters loaded first, and against waits for other engines because of that goal.
func TestContinuedStreamNotLate(t *testing.T) {
	type limits struct {
		Late    bool
		MaxWait time.Duration
	}
	tests := []struct {
		name        string
		lastEvent   string
		headersSent bool
		waited      time.Duration
		want        limits
	}{
		{name: "new", want: limits{MaxWait: 600 * time.Millisecond}},
		{name: "new, after its goal", waited: time.Second, want: limits{Late: true}},
		{name: "taken up", lastEvent: "7"},
		{name: "taken up, after its goal", lastEvent: "7", waited: time.Second},
		{name: "interrupted, after its goal", headersSent: true, waited: time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := routes.Route{Name: "r", Streaming: true, ResponseGoal: 600 * time.Millisecond}
				proxyRequest := &proxyRequest{
					relay: &Relay{latencies: newLatencies()}, route: &route, service: &routes.Service{}, info: RequestInfo{LastEventID: test.lastEvent},
					headersSent: test.headersSent, started: time.Now(), deadline: time.Now().Add(10 * time.Second),
				}
				time.Sleep(test.waited)
				requirements := proxyRequest.requirements()
				got := limits{requirements.Late, requirements.MaxWait}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("limits (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestRateLimitRefusal guards against requests that wait although a rate limit is
// known not to admit them in time, and against refusals of those that it admits.
func TestRateLimitRefusal(t *testing.T) {
	tests := []struct {
		name        string
		wait        time.Duration
		headersSent bool
		want        *refusal
	}{
		{name: "in time", wait: 900 * time.Millisecond},
		{name: "too late", wait: 1100 * time.Millisecond, want: &refusal{503, "the upstreams' rate limits are used up", 1100 * time.Millisecond}},
		{name: "much too late", wait: time.Hour, want: &refusal{503, "the upstreams' rate limits are used up", time.Minute}},
		{name: "interrupted stream", wait: 1900 * time.Millisecond, headersSent: true},
		{name: "interrupted stream too late", wait: 3 * time.Second, headersSent: true, want: &refusal{503, "the upstreams' rate limits are used up", 3 * time.Second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				proxyRequest := &proxyRequest{
					relay: &Relay{latencies: newLatencies()}, route: &routes.Route{Name: "r"}, service: &routes.Service{},
					started: time.Now(), deadline: time.Now().Add(2 * time.Second), headersSent: test.headersSent,
				}
				got := proxyRequest.waitRefusal(t.Context(), picker.Choice{Result: picker.RateLimited, RetryAfter: test.wait}, 0)
				if diff := cmp.Diff(test.want, got, cmp.AllowUnexported(refusal{})); diff != "" {
					t.Errorf("refusal (-want +got):\n%s", diff)
				}
			})
		})
	}
}
