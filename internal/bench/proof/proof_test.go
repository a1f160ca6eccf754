package proof

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
)

var (
	seeds = flag.Uint64("seeds", 1000, "number of schedules")
	from  = flag.Uint64("from", 1, "first seed")
)

// TestSchedules guards against every broken invariant that two failures at a
// time can bring about.
func TestSchedules(t *testing.T) {
	for seed := *from; seed < *from+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				report, err := Run(t.Context(), Generate(seed))
				if err != nil {
					t.Fatal(err)
				}
				if len(report.Violations) == 0 {
					return
				}
				for _, violation := range report.Violations {
					t.Error(violation)
				}
				t.Log(report.Schedule.Failures)
				for _, note := range report.Notes {
					t.Log(note)
				}
			})
		})
	}
}
