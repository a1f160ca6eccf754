package side

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/slots"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// Guards against orders with an outdated fencing token, and against a paused
// process that takes a higher token than its successor when it continues.
func TestSuccession(t *testing.T) {
	newer := uint64(0)
	withHarness(t, func(config *Config) {
		newer = config.Incarnation + 90
		config.UpstreamClient.(*fakeEngine).fencingToken = newer
	}, func(harness *harness) {
		if got := harness.do(harness.ctx, harness.request()); !got.Done {
			t.Errorf("after a predecessor with a newer token: %+v", got)
		}
		if diff := cmp.Diff(newer+1, harness.FencingToken()); diff != "" {
			t.Errorf("token above the predecessor's: %s", diff)
		}
		harness.fakeEngine.set(func() { harness.fakeEngine.fencingToken = newer + 50 })
		time.Sleep(pollInterval + time.Millisecond)
		select {
		case <-harness.Superseded():
		default:
			t.Error("the successor was not noticed")
		}
		if diff := cmp.Diff(newer+1, harness.FencingToken()); diff != "" {
			t.Errorf("the token must not exceed the successor's: %s", diff)
		}
		if got := harness.do(harness.ctx, harness.request()); got.Refused != "leaving" || !got.events[0].GetRefused().GetTryElsewhere() {
			t.Errorf("request to a superseded process: %+v", got)
		}
		_, err := harness.Draw(context.Background(), &wirepb.DrawRequest{Organisation: "oak", Tokens: 1})
		if refusal, ok := fault.As(err); !ok || refusal.Kind() != fault.Draining {
			t.Errorf("draw from a superseded process: %v", err)
		}
	})
}

// Guards against the eviction of an adapter that a request of a killed earlier
// process still uses.
func TestInheritedAdapters(t *testing.T) {
	withHarness(t, func(config *Config) {
		engine := config.UpstreamClient.(*fakeEngine)
		engine.slots = 1
		engine.loaded[slots.AdapterRef{Adapter: "old", Version: 1}] = true
		engine.changeRunning(1)
	}, func(harness *harness) {
		done := make(chan result, 1)
		request := harness.request(func(request *wirepb.RunRequest) { request.Route = "slow" })
		go func() { done <- harness.do(harness.ctx, request) }()
		time.Sleep(3 * maxReportLag)
		if diff := cmp.Diff([]string(nil), harness.fakeEngine.callsWith("unload")); diff != "" {
			t.Errorf("evicted while the engine still ran a request: %s", diff)
		}
		harness.fakeEngine.set(func() { harness.fakeEngine.changeRunning(-1) })
		if got := <-done; !got.Done {
			t.Errorf("after the predecessor's request: %+v", got)
		}
	})
}

// Guards against the dispatch of requests after a pause without a confirmed
// configuration, and against refusals without a pause.
func TestPauseDetector(t *testing.T) {
	begin := time.Now()
	tests := []struct {
		name   string
		guards string
		ticks  []time.Duration
		at     time.Duration
		// confirmed is the time since the configuration was confirmed.
		confirmed time.Duration
		want      bool
	}{
		{"running", "a refusal without a pause", []time.Duration{pollInterval, 2 * pollInterval}, 3 * pollInterval, time.Hour, false},
		{"first moment", "a dispatch before the first tick after a pause", []time.Duration{pollInterval}, 10 * time.Second, time.Hour, true},
		{"resumed", "a dispatch with the configuration from before the pause", []time.Duration{pollInterval, 10 * time.Second}, 10*time.Second + pollInterval, 11 * time.Second, true},
		{"confirmed", "a refusal although the configuration was confirmed", []time.Duration{pollInterval, 10 * time.Second}, 10*time.Second + pollInterval, pollInterval / 2, false},
		{"log unavailable", "refusals that never end while the log is unavailable", []time.Duration{pollInterval, 10 * time.Second, 11 * time.Second, 12 * time.Second}, 10*time.Second + maxConfigWait, time.Hour, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pauseDetector := pauseDetector{lastTick: begin}
			for _, tick := range test.ticks {
				pauseDetector.tick(begin.Add(tick))
			}
			if diff := cmp.Diff(test.want, pauseDetector.mayBeStale(begin.Add(test.at), test.confirmed)); diff != "" {
				t.Errorf("%s: %s", test.guards, diff)
			}
		})
	}
}
