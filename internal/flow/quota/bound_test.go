package quota

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// schedules is the number of seeded runs of the differential test.
const schedules = 1000

// Guards against any interval in which an organisation uses more than its rate
// and burst, whatever happens to messages, processes and limits.
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
					if excess := cluster.observer.excess(); excess > 0 {
						t.Errorf("excess of %d billionths of a token", excess)
					}
					well, ill := cluster.tally()
					served.Add(int64(well))
					refused.Add(int64(ill))
					messages.Add(int64(cluster.messages))
					logOutcome(t, cluster)
				})
			})
		}
	})
	t.Logf("%d schedules: served %d, refused %d, messages %d", schedules, served.Load(), refused.Load(), messages.Load())
}
