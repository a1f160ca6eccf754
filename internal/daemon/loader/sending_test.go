package loader

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestDue guards against an entry instance that missed a full state and ignores
// brief ones until the next change, and against sending the adapters again to
// one that has acknowledged them.
func TestDue(t *testing.T) {
	const entry = "10.0.0.1:7600"
	type step struct {
		name string
		// after is the time since the previous step, fullSerial the serial of
		// the last full state, and acknowledged the one that the entry instance
		// acknowledges.
		after        time.Duration
		fullSerial   uint64
		acknowledged uint64
		want         lastSent
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"acknowledged", []step{
			{"first state", 0, 5, 0, sentNothing},
			{"before the acknowledgement", loadPeriod, 5, 0, sentLatest},
			{"acknowledged", loadPeriod, 5, 5, sentLatest},
			{"long after the acknowledgement", acknowledgeTimeout, 5, 5, sentLatest},
			{"new full state", loadPeriod, 6, 5, sentOlder},
		}},
		{"not received", []step{
			{"first state", 0, 5, 0, sentNothing},
			{"not acknowledged", acknowledgeTimeout, 5, 0, sentOlder},
			{"sent again", loadPeriod, 5, 0, sentLatest},
			{"still not acknowledged", acknowledgeTimeout, 5, 0, sentOlder},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				loader := newLoader(&engine{report: healthyReport()})
				for _, step := range test.steps {
					time.Sleep(step.after)
					if step.acknowledged != 0 {
						loader.recordEntry(entry, loader.entryStarts[entry], step.acknowledged)
					}
					got, due := loader.due(entry, 1, false, step.fullSerial)
					if !due || got != step.want {
						t.Errorf("%s: sent %v before (due %v), want %v", step.name, got, due, step.want)
					}
				}
			})
		})
	}
}

// TestNamedEntries guards against states that grow with the fleet, and against
// an entry instance that no state names.
func TestNamedEntries(t *testing.T) {
	for _, count := range []int{1, maxNamedEntries, maxNamedEntries + 1, 110} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			loader := newLoader(&engine{report: healthyReport()})
			var entries []string
			for number := range count {
				entries = append(entries, fmt.Sprintf("10.0.0.%d:7600", number))
			}
			named := make(map[string]bool)
			for range count/maxNamedEntries + 1 {
				batch := loader.nameEntries(entries)
				if len(batch) > maxNamedEntries {
					t.Errorf("a state names %d entry instances", len(batch))
				}
				for _, name := range batch {
					named[name] = true
				}
			}
			if diff := cmp.Diff(count, len(named)); diff != "" {
				t.Errorf("entry instances named (-want +got):\n%s", diff)
			}
		})
	}
}
