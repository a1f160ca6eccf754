package bucket

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	orderClass = Class(256 * time.Millisecond)
	draftClass = Class(8192 * time.Millisecond)
)

// classes holds the classes of the kinds of requests of overload.
var classes = map[string]Class{"order": orderClass, "draft": draftClass, "large draft": draftClass}

// reserveLimit is the limit of an organisation that usually spends 5,000 units a second.
var reserveLimit = Limit{Rate: 8169, Burst: 29405}

// caller is a request that is tried again while it is denied.
type caller struct {
	Request
	kind  string
	dueAt time.Time
	tries int
}

// tally counts callers, those served, and the units that these spent.
type tally struct {
	asked, served int
	units         float64
}

func (tally tally) share() float64 { return float64(tally.served) / float64(max(tally.asked, 1)) }

// overload sends a multiple of an organisation's usual load to the fleet for 30 s after
// 10 s of its usual load, and returns what of the former was served. The instance with the
// number stopped neither serves nor exchanges in seconds 20 to 23.
func overload(fleet *fleet, times float64, classes map[string]Class, retries, stopped int) map[string]*tally {
	const pause = 50 * time.Millisecond
	random := rand.New(rand.NewPCG(11, 12))
	tallies := map[string]*tally{"order": {}, "draft": {}, "large draft": {}}
	perStep := map[string]float64{"order": 0.1, "draft": 0.105, "large draft": 0.035}
	costs := map[string]float64{"order": 200, "draft": 1300, "large draft": 4100}
	var waiting []caller
	for step := range 4000 {
		frozen, load := -1, times/6
		if step >= 2000 && step < 2300 {
			frozen = stopped
		}
		if step == 2300 && stopped >= 0 {
			fleet.limiters[stopped].Stall()
		}
		if step < 1000 {
			load = 1.0 / 6
		}
		for _, kind := range []string{"order", "draft", "large draft"} {
			if random.Float64() < perStep[kind]*load {
				request := Request{Cost: costs[kind], Class: classes[kind], Identity: random.Uint64()}
				waiting = append(waiting, caller{request, kind, time.Now(), 0})
				if step >= 1000 {
					tallies[kind].asked++
				}
			}
		}
		var denied []caller
		for _, caller := range waiting {
			target := random.IntN(len(fleet.limiters))
			if target == frozen {
				target = (target + 1) % len(fleet.limiters)
			}
			if time.Now().Before(caller.dueAt) {
				denied = append(denied, caller)
			} else if _, ok := fleet.limiters[target].TakeRequest(organisation, reserveLimit, caller.Request); ok {
				if step >= 1000 {
					tallies[caller.kind].served++
					tallies[caller.kind].units += caller.Cost
				}
			} else if caller.tries < retries {
				caller.tries, caller.dueAt = caller.tries+1, time.Now().Add(pause)
				denied = append(denied, caller)
			}
		}
		waiting = denied
		if step%10 == 0 {
			fleet.exchange(random, 0, frozen)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return tallies
}

// TestReserve guards against orders that are denied since drafts have used up the rate
// of their organisation, against a rate that is exceeded or left unused, and against
// large drafts that are denied for the sake of small ones.
func TestReserve(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		retries   int
		stopped   int
		// orders is the least share of orders served, with classes.
		orders float64
	}{
		{"one instance", 1, 0, -1, 0.99},
		{"copies at five", 5, 0, -1, 0.99},
		{"copies at five, retries at once and often", 5, 50, -1, 0.99},
		{"copies at five, one stopped", 5, 0, 2, 0.98},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				before := overload(seededFleet(test.instances), 6, nil, test.retries, test.stopped)
				after := overload(seededFleet(test.instances), 6, classes, test.retries, test.stopped)
				sum := 0.0
				for _, kind := range []string{"order", "draft", "large draft"} {
					t.Logf("%-12s served before %.3f (%.0f units), after %.3f (%.0f) of %d", kind, before[kind].share(), before[kind].units, after[kind].share(), after[kind].units, after[kind].asked)
					sum += after[kind].units
				}
				if share := after["order"].share(); share < test.orders {
					t.Errorf("%.3f of the orders served, want at least %.3f", share, test.orders)
				}
				if large, small := after["large draft"].share(), after["draft"].share(); large < small/2 {
					t.Errorf("%.3f of the large drafts served, want at least half of the others' %.3f", large, small)
				}
				if most := reserveLimit.Rate*30 + reserveLimit.Burst; sum > most || sum < reserveLimit.Rate*30*0.95 {
					t.Errorf("%.0f units in 30 s, want at most %.0f and at least 0.95 of the rate", sum, most)
				}
			})
		})
	}
}

func seededFleet(count int) *fleet {
	fleet := newFleet(count)
	for i := range fleet.limiters {
		fleet.limiters[i] = New(Config{Seed: uint64(i + 1)})
		fleet.limiters[i].SetInstances(count)
	}
	return fleet
}

// TestUnchanged guards against an effect on organisations whose requests are all of one
// class, which must be served as without classes, and on those within their rate.
func TestUnchanged(t *testing.T) {
	tests := []struct {
		name    string
		times   float64
		classes map[string]Class
	}{
		{"one class", 6, map[string]Class{"order": draftClass, "draft": draftClass, "large draft": draftClass}},
		{"waits that hardly differ", 6, map[string]Class{"order": draftClass / 2, "draft": draftClass, "large draft": draftClass}},
		{"usual load", 1, classes},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				before := overload(seededFleet(5), test.times, nil, 0, -1)
				after := overload(seededFleet(5), test.times, test.classes, 0, -1)
				if diff := cmp.Diff(before, after, cmp.AllowUnexported(tally{})); diff != "" {
					t.Errorf("served (-without classes +with):\n%s", diff)
				}
			})
		})
	}
}

// TestClassWait guards against a time to come back that is too early, and against a large
// request that is denied by a bucket that is ample or full.
func TestClassWait(t *testing.T) {
	tests := []struct {
		name string
		// level is what the bucket holds before the request.
		level, cost float64
		want        bool
	}{
		{"above the reserve", 15_000, 2_000, true},
		{"into the reserve", 6_000, 2_000, false},
		{"large, ample", 23_000, 20_000, true},
		{"large, near the rate", 20_500, 20_000, false},
		{"above the burst, full", 29_405, 40_000, true},
		{"above the burst", 28_000, 40_000, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limiter := seededFleet(1).limiters[0]
				time.Sleep(time.Minute)
				order := Request{Cost: 300, Class: orderClass}
				for range 100 {
					limiter.TakeRequest(organisation, reserveLimit, order)
					time.Sleep(100 * time.Millisecond)
				}
				limiter.buckets[organisation].level = test.level
				draft := Request{Cost: test.cost, Class: draftClass, Identity: 1}
				denial, ok := limiter.TakeRequest(organisation, reserveLimit, draft)
				if ok != test.want {
					t.Errorf("let through: %v, want %v; %+v", ok, test.want, denial)
				}
				if ok {
					return
				}
				for start := time.Now(); time.Since(start) < denial.Wait*8/10; {
					if _, ok := limiter.TakeRequest(organisation, reserveLimit, draft); ok {
						t.Fatalf("let through after %v, told to come back after %v", time.Since(start), denial.Wait)
					}
					limiter.TakeRequest(organisation, reserveLimit, order)
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(denial.Wait/5 + 100*time.Millisecond)
				if _, ok := limiter.TakeRequest(organisation, reserveLimit, draft); !ok {
					t.Errorf("denied again after %v", denial.Wait)
				}
			})
		})
	}
}

// TestSpenders guards against a request that may use up the reserve, as a refund of what
// was spent long ago makes the number of instances that spend fall below one.
func TestSpenders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := seededFleet(2)
		fleet.initialise()
		limiter := fleet.limiters[0]
		limiter.TakeRequest(organisation, reserveLimit, Request{Cost: 1000, Class: draftClass})
		time.Sleep(2 * averagingTime)
		limiter.RefundClass(organisation, 1000, draftClass)
		limiter.MergeUsage("other", Usage{Start: 7, Uptime: time.Hour, Initialised: true})
		limiter.MergeUsage("other", Usage{
			Start: 7, Uptime: time.Hour, Initialised: true, Spent: map[string]float64{organisation: 900},
			ClassSpent: map[string]map[Class]float64{organisation: {draftClass: 900}},
		})
		if got := limiter.spenders(organisation, limiter.buckets[organisation], draftClass); got < 1 {
			t.Errorf("%v instances spend, want at least 1", got)
		}
	})
}
