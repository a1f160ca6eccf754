package picker

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
)

// TestTypicalSpeed guards against a typical speed that is decided by one reported
// engine, or by one whose reports are too old.
func TestTypicalSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		with := func(rate float64, interval time.Duration) Report {
			reported := report(1, 0)
			reported.Speed = admit.Speed{PrefillRate: rate, EventInterval: interval}
			return reported
		}
		picker := newPicker(with(5, 90*time.Millisecond), with(38, 30*time.Millisecond), with(39, 31*time.Millisecond), report(1, 0))
		want := admit.Speed{PrefillRate: 38, EventInterval: 31 * time.Millisecond}
		if diff := cmp.Diff(want, picker.TypicalSpeed("advisor")); diff != "" {
			t.Errorf("speed (-want +got):\n%s", diff)
		}
		time.Sleep(DefaultReportTTL)
		if diff := cmp.Diff(admit.Speed{}, picker.TypicalSpeed("advisor")); diff != "" {
			t.Errorf("speed without recent reports (-want +got):\n%s", diff)
		}
	})
}

// TestAdmissionRate guards against a request refused as hopeless at an engine
// that would admit it within its response-time goal, as in scenario ctpl-front
// scale-1, and against one that waits in vain at a slow engine.
func TestAdmissionRate(t *testing.T) {
	tests := []struct {
		name          string
		admissionRate float64
		want          Result
	}{
		{"fast", 32, Found},
		{"not reported", 0, Full},
		{"slow", 6, Full},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reported := report(1, 15_000, wanted)
				reported.AdmissionRate = test.admissionRate
				request := newRequest()
				request.MaxWait = 600 * time.Millisecond
				if diff := cmp.Diff(test.want, newPicker(reported).Choose(request).Result); diff != "" {
					t.Errorf("result (-want +got):\n%s", diff)
				}
			})
		})
	}
}
