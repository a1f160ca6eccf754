package clock

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestUptime guards against a clock that goes back or stands still.
func TestUptime(t *testing.T) {
	if err := Check(); err != nil {
		t.Fatal(err)
	}
	before := Uptime()
	time.Sleep(2 * time.Millisecond)
	if after := Uptime(); after-before < 2*time.Millisecond {
		t.Errorf("uptime went from %v to %v", before, after)
	}
}

// TestStepDetector guards against steps of the time of day that nobody learns of, and
// against reports of a step that the clock's normal drift only resembles.
func TestStepDetector(t *testing.T) {
	type check struct{ timeOfDay, steady, want time.Duration }
	tests := []struct {
		name   string
		checks []check
	}{
		{"no step", []check{{time.Second, time.Second, 0}, {2 * time.Second, 2 * time.Second, 0}}},
		{"ahead and back", []check{
			{3400 * time.Millisecond, time.Second, 2400 * time.Millisecond},
			{4400 * time.Millisecond, 2 * time.Second, 0},
			{3 * time.Second, 3 * time.Second, -2400 * time.Millisecond},
		}},
		{"slow drift adds up", []check{{1060 * time.Millisecond, time.Second, 0}, {2120 * time.Millisecond, 2 * time.Second, 120 * time.Millisecond}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			detector := NewStepDetector()
			for number, check := range test.checks {
				if diff := cmp.Diff(check.want, detector.check(check.timeOfDay, check.steady)); diff != "" {
					t.Errorf("check %d (-want +got):\n%s", number, diff)
				}
			}
		})
	}
}
