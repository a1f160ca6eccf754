package chaos

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestLongFailures guards against requests without a final response within their
// time limit when a process is unreachable for longer than the limit.
func TestLongFailures(t *testing.T) {
	for _, name := range []string{"engine-frozen", "side-paused", "connections-held", "log-out", "partition"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				schedule := Generate(*firstSeed)
				schedule.Failures = []Failure{
					{Name: name, At: time.Second, Duration: 25 * time.Second, Selector: 6},
					{Name: "key-withdrawn", At: 2 * time.Second},
				}
				report, err := Run(t.Context(), schedule)
				if err != nil {
					t.Fatal(err)
				}
				if len(report.Violations) > 0 {
					t.Error(strings.Join(report.Lines(false), "\n"))
				}
			})
		})
	}
}
