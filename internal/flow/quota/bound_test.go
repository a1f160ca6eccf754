package quota

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// schedules is the number of seeded runs of TestBoundUnderFaults.
const schedules = 1000

// Guards against an interval in which an organisation uses more than its rate and
// burst, under lost and slow messages, paused and killed processes, and changed
// limits.
func TestBoundUnderFaults(t *testing.T) {
	var served, refused, messages atomic.Int64
	t.Run("schedules", func(t *testing.T) {
		for seed := range uint64(schedules) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					cluster := newCluster(newSchedule(seed, 20*time.Second), nil)
					cluster.run()
					synctest.Wait()
					if excess := cluster.boundChecker.excess(); excess > 0 {
						t.Errorf("excess of %d billionths of a token", excess)
					}
					servedCount, refusedCount := cluster.countOutcomes()
					served.Add(int64(servedCount))
					refused.Add(int64(refusedCount))
					messages.Add(int64(cluster.messages))
					logOutcome(t, cluster)
				})
			})
		}
	})
	t.Logf("%d schedules: served %d, refused %d, messages %d", schedules, served.Load(), refused.Load(), messages.Load())
}
