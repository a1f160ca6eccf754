package bucket

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

const organisation = "hule"

var limit = Limit{Rate: 60_000, Burst: 60_000}

// maxAdmitted is the number of tokens that may run within eight seconds: a tenth
// over rate and burst, and 11,000 tokens.
const maxAdmitted = (60_000*8+60_000)*1.1 + 11_000

type admitted struct {
	at   time.Time
	cost float64
}

// fleet is a set of instances that exchange their usage.
type fleet struct {
	limiters []*Limiter
	starts   []int64
}

func newFleet(count int) *fleet {
	fleet := &fleet{}
	for i := range count {
		limiter := New(Config{})
		limiter.SetInstances(count)
		fleet.limiters = append(fleet.limiters, limiter)
		fleet.starts = append(fleet.starts, int64(i+1))
	}
	return fleet
}

// restart replaces an instance by one that knows nothing.
func (fleet *fleet) restart(i int) {
	fleet.limiters[i] = New(Config{})
	fleet.starts[i] += 100
}

// initialise sets the instance count at the instances that have run for 120 ms,
// by when loaders have told them.
func (fleet *fleet) initialise() {
	for _, limiter := range fleet.limiters {
		if limiter.LocalUsage().Uptime >= 120*time.Millisecond {
			limiter.SetInstances(len(fleet.limiters))
		}
	}
}

// exchange sends each instance's usage to the others. A fraction of the
// datagrams is lost, and nothing reaches or leaves the instance cut.
func (fleet *fleet) exchange(random *rand.Rand, loss float64, cut int) {
	for from, limiter := range fleet.limiters {
		for to, other := range fleet.limiters {
			if from == to || from == cut || to == cut || random.Float64() < loss {
				continue
			}
			usage := limiter.LocalUsage()
			usage.Start = fleet.starts[from]
			other.MergeUsage(fmt.Sprint(from), usage)
		}
	}
}

// TestBound simulates an organisation that sends seven times its rate through all
// instances while datagrams are lost, one instance is partitioned and others
// restart. Within any eight seconds no more than maxAdmitted may run.
func TestBound(t *testing.T) {
	tests := []struct {
		name    string
		loss    float64
		cut     bool
		restart bool
		outage  bool
	}{
		{name: "no fault"},
		{name: "loss", loss: 0.3},
		{name: "partition", cut: true},
		{name: "restart", restart: true},
		{name: "all restart", loss: 0.2, outage: true},
		{name: "all at once", loss: 0.2, cut: true, restart: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, 2))
				fleet := newFleet(5)
				var history []admitted
				began := time.Now()
				for step := 0; time.Since(began) < 30*time.Second; step++ {
					cut := -1
					if test.cut && step > 800 && step < 1800 {
						cut = 2
					}
					if test.restart && step == 1200 {
						fleet.restart(1)
					}
					if test.outage && step%1000 == 500 {
						for i := range fleet.limiters {
							fleet.restart(i)
						}
					}
					fleet.initialise()
					for range 3 {
						limiter := fleet.limiters[random.IntN(5)]
						cost := 400 + random.Float64()*2000
						if _, ok := limiter.Take(organisation, limit, cost); ok {
							history = append(history, admitted{time.Now(), cost})
						}
					}
					if step%10 == 0 {
						fleet.exchange(random, test.loss, cut)
					}
					time.Sleep(10 * time.Millisecond)
				}
				checkAdmitted(t, history)
			})
		})
	}
}

func checkAdmitted(t *testing.T, history []admitted) {
	t.Helper()
	first, sum, most, total := 0, 0.0, 0.0, 0.0
	for _, entry := range history {
		sum += entry.cost
		total += entry.cost
		for entry.at.Sub(history[first].at) > 8*time.Second {
			sum -= history[first].cost
			first++
		}
		most = max(most, sum)
	}
	if most > maxAdmitted {
		t.Errorf("%.0f tokens within 8 s, want at most %.0f", most, maxAdmitted)
	}
	if least := 60_000 * 30 * 0.75; total < least {
		t.Errorf("%.0f tokens in 30 s, want at least %.0f of the rate", total, least)
	}
}

// TestWithinRate guards against refusing an organisation that stays within its
// rate but sends all requests to one instance.
func TestWithinRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(3, 4))
		fleet := newFleet(5)
		time.Sleep(time.Second)
		refused := 0
		for step := range 2000 {
			if _, ok := fleet.limiters[0].Take(organisation, limit, 1460*0.9*60_000/146_000); !ok {
				refused++
			}
			if step%10 == 0 {
				fleet.exchange(random, 0.1, -1)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if refused > 0 {
			t.Errorf("%d of 2,000 requests refused", refused)
		}
	})
}

// TestCutWithinRate guards against refusing an organisation within its rate
// because an instance that served a tenth of its requests is partitioned.
func TestCutWithinRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(5, 6))
		fleet := newFleet(2)
		refused := 0
		for step := range 1500 {
			cut := -1
			if step > 500 {
				cut = 1
			}
			target := 0
			if step%10 == 0 {
				target = 1
			}
			// Five ninths of the rate, as the organisations usually send.
			if _, ok := fleet.limiters[target].Take(organisation, limit, 600/1.8); !ok && step > 100 {
				refused++
			}
			if step%10 == 0 {
				fleet.exchange(random, 0, cut)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if refused > 0 {
			t.Errorf("%d of 1,500 requests refused", refused)
		}
	})
}

// TestOutage simulates the restart of all instances while an organisation stays
// within its rate and sends most requests to one of them. Once the instances
// know of each other nothing is refused: the one must not have to serve the
// organisation from its own grant alone.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(7, 8))
		fleet := newFleet(4)
		refused := 0
		for step := range 300 {
			if step == 100 {
				for i := range fleet.limiters {
					fleet.restart(i)
				}
			}
			fleet.initialise()
			target := 0
			if step%10 == 0 {
				target = 1 + random.IntN(3)
			}
			initialised := fleet.limiters[target].Initialised()
			// Callers that waited come back together after the outage.
			cost := 400.0
			if step > 130 && step < 160 {
				cost = 1200
			}
			if _, ok := fleet.limiters[target].Take(organisation, limit, cost); !ok && initialised {
				refused++
			}
			if step%10 == 0 {
				fleet.exchange(random, 0, -1)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if refused > 0 {
			t.Errorf("%d requests refused", refused)
		}
	})
}

// TestAdopt guards against an instance that starts later refusing what the
// others would admit, or admitting what they would refuse.
func TestAdopt(t *testing.T) {
	tests := []struct {
		name  string
		spent float64
		want  bool
	}{
		{name: "unused", spent: 0, want: true},
		{name: "half spent", spent: 30_000, want: true},
		{name: "used up", spent: 59_000, want: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(9, 10))
				fleet := newFleet(3)
				fleet.exchange(random, 0, -1)
				time.Sleep(5 * time.Second)
				if _, ok := fleet.limiters[0].Take(organisation, limit, test.spent); !ok {
					t.Fatal("request within the burst refused")
				}
				fleet.restart(2)
				fleet.exchange(random, 0, -1)
				if !fleet.limiters[2].Initialised() {
					t.Fatal("the instance does not adopt the levels of the others")
				}
				if _, ok := fleet.limiters[2].Take(organisation, limit, 25_000); ok != test.want {
					t.Errorf("admitted %v, want %v", ok, test.want)
				}
			})
		})
	}
}

// TestLowered guards against a bucket that keeps the burst of an earlier,
// higher limit.
func TestLowered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := New(Config{})
		limiter.SetInstances(1)
		time.Sleep(10 * time.Second)
		limiter.Take(organisation, limit, 1)
		lowered := Limit{Rate: 1000, Burst: 1000}
		if _, ok := limiter.Take(organisation, lowered, 900); !ok {
			t.Error("refused within the lowered burst")
		}
		wait, ok := limiter.Take(organisation, lowered, 900)
		if ok {
			t.Error("took twice the lowered burst")
		}
		if want := 800 * time.Millisecond; wait < want-time.Millisecond || wait > want+time.Millisecond {
			t.Errorf("wait %v, want %v", wait, want)
		}
	})
}

// TestRefund guards against charging an organisation for a request that did not
// run.
func TestRefund(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := New(Config{})
		small := Limit{Rate: 100, Burst: 100}
		time.Sleep(2 * time.Second)
		if _, ok := limiter.Take(organisation, small, 100); !ok {
			t.Fatal("refused with a full bucket")
		}
		limiter.Refund(organisation, 100)
		if _, ok := limiter.Take(organisation, small, 100); !ok {
			t.Error("refused after the cost was refunded")
		}
	})
}

// TestWait guards against a wait that is too short, so that a caller who waits
// it out is refused again.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := New(Config{})
		wait, ok := limiter.Take(organisation, limit, 1460)
		if ok {
			t.Fatal("a new bucket admits a request before the instance count is known")
		}
		time.Sleep(wait + time.Microsecond)
		if _, ok := limiter.Take(organisation, limit, 1460); !ok {
			t.Errorf("refused after waiting %v", wait)
		}
	})
}

// TestPartial guards against two faults of partial usage reports: one that
// comes before the first full report must not take all that was ever spent off
// the buckets, and organisations that it leaves out must stay as they were.
func TestPartial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := New(Config{})
		limiter.SetInstances(1)
		time.Sleep(10 * time.Second)
		limiter.Take(organisation, limit, 1000)
		limiter.Take("idle", limit, 1000)
		level := func(name string) float64 { return limiter.Status(name, limit).Level }
		steps := []struct {
			name  string
			spent map[string]float64
			full  bool
			// want is what the bucket holds after the usage.
			want map[string]float64
		}{
			{"partial first", map[string]float64{organisation: 50_000}, false, map[string]float64{organisation: 59_000, "idle": 59_000}},
			{"full", map[string]float64{organisation: 50_000, "idle": 40_000}, true, map[string]float64{organisation: 59_000, "idle": 59_000}},
			{"a change", map[string]float64{organisation: 53_000}, false, map[string]float64{organisation: 56_000, "idle": 59_000}},
			{"full again", map[string]float64{organisation: 54_000, "idle": 42_000}, true, map[string]float64{organisation: 55_000, "idle": 57_000}},
		}
		for _, step := range steps {
			limiter.MergeUsage("other", Usage{Start: 7, Uptime: time.Hour, Initialised: true, Partial: !step.full, Spent: step.spent})
			for name, want := range step.want {
				if got := level(name); got != want {
					t.Errorf("%s: the bucket of %s holds %.0f, want %.0f", step.name, name, got, want)
				}
			}
		}
	})
}
