package bucket

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// TestPausedBound guards against a burst that is spent again: one instance is stopped until
// the others have removed it, they spend the burst and restart as it goes on, and then all
// but one restart again, twice. Within any eight seconds no more than maxAdmitted may run.
func TestPausedBound(t *testing.T) {
	const (
		pausedAt, removedAfter, wantedAt, goesOnAt = 5 * time.Second, 6 * time.Second, 11500 * time.Millisecond, 13 * time.Second
		length                                     = 24 * time.Second
		step                                       = 10 * time.Millisecond
		// memoryPeriod is the time between two reports of what loaders keep.
		memoryPeriod = 250 * time.Millisecond
	)
	restarts := map[time.Duration][]int{goesOnAt: {1, 2, 3, 4}, 15300 * time.Millisecond: {0, 2, 3, 4}, 17600 * time.Millisecond: {0, 1, 2, 4}}
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(5, 44))
		fleet, memory := newFleet(5), NewKeeper()
		var history []admitted
		for at := time.Duration(0); at < length; at += step {
			paused := -1
			if at >= pausedAt && at < goesOnAt {
				paused = 0
			}
			for _, number := range restarts[at] {
				fleet.restart(number)
				fleet.limiters[number].Recall(memory.Levels())
			}
			if at == goesOnAt {
				fleet.limiters[0].Stall()
			}
			if at%memoryPeriod == 0 {
				for number, limiter := range fleet.limiters {
					if number != paused {
						memory.Keep(limiter.Levels())
					}
				}
			}
			if at == pausedAt+removedAfter {
				for _, limiter := range fleet.limiters[1:] {
					limiter.RemovePeer(fmt.Sprint(0))
				}
			}
			fleet.initialise()
			for range 3 {
				number, cost := random.IntN(5), 400+random.Float64()*2000
				if at < wantedAt || number == paused {
					continue
				}
				if _, ok := fleet.limiters[number].Take(organisation, limit, cost); ok {
					history = append(history, admitted{time.Now(), cost})
				}
			}
			if at%(10*step) == 0 {
				fleet.exchange(random, 0, paused)
			}
			time.Sleep(step)
		}
		first, sum, most := 0, 0.0, 0.0
		for _, entry := range history {
			sum += entry.cost
			for entry.at.Sub(history[first].at) > 8*time.Second {
				sum -= history[first].cost
				first++
			}
			most = max(most, sum)
		}
		t.Logf("%.0f of %.0f tokens within 8 s", most, float64(maxAdmitted))
		if most > maxAdmitted {
			t.Errorf("%.0f tokens within 8 s, want at most %.0f", most, maxAdmitted)
		}
	})
}
