package loader

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestDue guards against an entry instance that lost the state naming the
// adapters and takes no brief one until the next change, and against one that is
// told all again although it said that it has it.
func TestDue(t *testing.T) {
	const entry = "10.0.0.1:7600"
	type step struct {
		name string
		// after is the time since the step before, full the serial of the last
		// full state, and has the one that the entry instance says it has.
		after time.Duration
		full  uint64
		has   uint64
		want  informed
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"acknowledged", []step{
			{"first", 0, 5, 0, toldNothing},
			{"before it answers", tellPeriod, 5, 0, toldLast},
			{"it has it", tellPeriod, 5, 5, toldLast},
			{"long after", acknowledgeTime, 5, 5, toldLast},
			{"a change", tellPeriod, 6, 5, toldBefore},
		}},
		{"lost", []step{
			{"first", 0, 5, 0, toldNothing},
			{"not acknowledged", acknowledgeTime, 5, 0, toldBefore},
			{"sent again", tellPeriod, 5, 0, toldLast},
			{"lost again", acknowledgeTime, 5, 0, toldBefore},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				loader := newLoader(&engine{report: sound()})
				for _, step := range test.steps {
					time.Sleep(step.after)
					if step.has != 0 {
						loader.meet(entry, loader.starts[entry], step.has)
					}
					got, due := loader.due(entry, 1, false, step.full)
					if !due || got != step.want {
						t.Errorf("%s: told %v (due %v), want %v", step.name, got, due, step.want)
					}
				}
			})
		})
	}
}

// TestNames guards against states that grow with the fleet, and against an entry
// instance that no state names.
func TestNames(t *testing.T) {
	for _, count := range []int{1, mostNamed, mostNamed + 1, 110} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			loader := newLoader(&engine{report: sound()})
			var entries []string
			for number := range count {
				entries = append(entries, fmt.Sprintf("10.0.0.%d:7600", number))
			}
			named := make(map[string]bool)
			for range count/mostNamed + 1 {
				some := loader.some(entries)
				if len(some) > mostNamed {
					t.Errorf("a state names %d entry instances", len(some))
				}
				for _, name := range some {
					named[name] = true
				}
			}
			if diff := cmp.Diff(count, len(named)); diff != "" {
				t.Errorf("entry instances named (-want +got):\n%s", diff)
			}
		})
	}
}
