package chaos

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"jacinthfront.dev/jacinthfront/internal/bench/xfail"
)

var (
	seeds     = flag.Uint64("seeds", 1000, "number of schedules")
	firstSeed = flag.Uint64("from", 1, "first seed")
)

// TestSchedules checks the invariants under combinations of two failures, one
// schedule per seed.
func TestSchedules(t *testing.T) {
	var mutex sync.Mutex
	var totals Totals
	t.Run("seed", func(t *testing.T) {
		for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				xfail.SkipIfListed(t)
				synctest.Test(t, func(t *testing.T) {
					report, err := Run(t.Context(), Generate(seed))
					if err != nil {
						t.Fatal(err)
					}
					mutex.Lock()
					defer mutex.Unlock()
					totals.Add(report)
					if len(report.Violations) > 0 {
						t.Error(strings.Join(report.Lines(false), "\n"))
					}
				})
			})
		}
	})
	t.Log(totals.String())
}
