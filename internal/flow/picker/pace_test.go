package picker

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
)

// TestTypical guards against a pace that one slow engine, or one that is not
// heard any more, decides for a new one.
func TestTypical(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		with := func(rate float64, event time.Duration) Report {
			told := report(1, 0)
			told.Speed = admit.Speed{PrefillRate: rate, EventInterval: event}
			return told
		}
		board := newBoard(with(5, 90*time.Millisecond), with(38, 30*time.Millisecond), with(39, 31*time.Millisecond), report(1, 0))
		want := admit.Speed{PrefillRate: 38, EventInterval: 31 * time.Millisecond}
		if diff := cmp.Diff(want, board.TypicalSpeed("advisor")); diff != "" {
			t.Errorf("pace (-want +got):\n%s", diff)
		}
		time.Sleep(DefaultReportTTL)
		if diff := cmp.Diff(admit.Speed{}, board.TypicalSpeed("advisor")); diff != "" {
			t.Errorf("pace when no loader is heard (-want +got):\n%s", diff)
		}
	})
}

// TestIntake guards against a request that is refused as hopeless at an engine
// that takes it within its goal, as on ctpl-front scale-1, and against one that
// waits in vain at a slow engine.
func TestIntake(t *testing.T) {
	tests := []struct {
		name   string
		intake float64
		want   Result
	}{
		{"fast", 32, Found},
		{"not told", 0, Full},
		{"slow", 6, Full},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				told := report(1, 15_000, wanted)
				told.AdmissionRate = test.intake
				request := need()
				request.MaxWait = 600 * time.Millisecond
				if diff := cmp.Diff(test.want, newBoard(told).Choose(request).Result); diff != "" {
					t.Errorf("result (-want +got):\n%s", diff)
				}
			})
		})
	}
}
