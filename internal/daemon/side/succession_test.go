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
// process that outbids its successor when it goes on.
func TestSuccession(t *testing.T) {
	newer := uint64(0)
	inRig(t, func(config *Config) {
		newer = config.Incarnation + 90
		config.UpstreamClient.(*fakeEngine).fence = newer
	}, func(rig *rig) {
		if got := rig.do(rig.ctx, rig.request()); !got.Done {
			t.Errorf("after a predecessor with a newer token: %+v", got)
		}
		if diff := cmp.Diff(newer+1, rig.FencingToken()); diff != "" {
			t.Errorf("token above the predecessor's: %s", diff)
		}
		rig.fake.set(func() { rig.fake.fence = newer + 50 })
		time.Sleep(statePoll + time.Millisecond)
		select {
		case <-rig.Superseded():
		default:
			t.Error("the successor was not noticed")
		}
		if diff := cmp.Diff(newer+1, rig.FencingToken()); diff != "" {
			t.Errorf("the token must not outbid the successor's: %s", diff)
		}
		if got := rig.do(rig.ctx, rig.request()); got.Refused != "leaving" || !got.events[0].GetRefused().GetTryElsewhere() {
			t.Errorf("work for a succeeded process: %+v", got)
		}
		_, err := rig.Draw(context.Background(), &wirepb.DrawRequest{Organisation: "oak", Tokens: 1})
		if refusal, ok := fault.As(err); !ok || refusal.Kind() != fault.Draining {
			t.Errorf("draw from a succeeded process: %v", err)
		}
	})
}

// Guards against the eviction of an adapter that a killed predecessor's request
// still uses.
func TestInheritedAdapters(t *testing.T) {
	inRig(t, func(config *Config) {
		engine := config.UpstreamClient.(*fakeEngine)
		engine.slots = 1
		engine.loaded[slots.AdapterRef{Adapter: "old", Version: 1}] = true
		engine.work(1)
	}, func(rig *rig) {
		done := make(chan result, 1)
		request := rig.request(func(request *wirepb.RunRequest) { request.Route = "slow" })
		go func() { done <- rig.do(rig.ctx, request) }()
		time.Sleep(3 * reportLag)
		if diff := cmp.Diff([]string(nil), rig.fake.seen("unload")); diff != "" {
			t.Errorf("evicted although the engine still runs a request: %s", diff)
		}
		rig.fake.set(func() { rig.fake.work(-1) })
		if got := <-done; !got.Done {
			t.Errorf("after the predecessor's request: %+v", got)
		}
	})
}

func TestPauseGuard(t *testing.T) {
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
		{"running", "a refusal without a pause", []time.Duration{statePoll, 2 * statePoll}, 3 * statePoll, time.Hour, false},
		{"first moment", "a dispatch before the first tick after a pause", []time.Duration{statePoll}, 10 * time.Second, time.Hour, true},
		{"resumed", "a dispatch with the configuration from before the pause", []time.Duration{statePoll, 10 * time.Second}, 10*time.Second + statePoll, 11 * time.Second, true},
		{"confirmed", "a refusal although the configuration was confirmed", []time.Duration{statePoll, 10 * time.Second}, 10*time.Second + statePoll, statePoll / 2, false},
		{"log out", "a refusal without end while the log is out", []time.Duration{statePoll, 10 * time.Second, 11 * time.Second, 12 * time.Second}, 10*time.Second + freshWait, time.Hour, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			guard := pauseGuard{beat: begin}
			for _, tick := range test.ticks {
				guard.tick(begin.Add(tick))
			}
			if diff := cmp.Diff(test.want, guard.unsure(begin.Add(test.at), test.confirmed)); diff != "" {
				t.Errorf("%s: %s", test.guards, diff)
			}
		})
	}
}
