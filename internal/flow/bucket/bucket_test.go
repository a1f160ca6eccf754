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

// allowed is what may run within eight seconds by the users' rule: a tenth over
// rate and burst, and 11,000 tokens.
const allowed = (60_000*8+60_000)*1.1 + 11_000

type admitted struct {
	at   time.Time
	cost float64
}

// instances is a fleet of ledgers that exchange what they spent.
type instances struct {
	ledgers []*Limiter
	starts  []int64
}

func newInstances(count int) *instances {
	fleet := &instances{}
	for i := range count {
		ledger := New(Config{})
		ledger.SetInstances(count)
		fleet.ledgers = append(fleet.ledgers, ledger)
		fleet.starts = append(fleet.starts, int64(i+1))
	}
	return fleet
}

// restart replaces an instance by one that knows nothing.
func (fleet *instances) restart(i int) {
	fleet.ledgers[i] = New(Config{})
	fleet.starts[i] += 100
}

// settle tells the instances of which loaders have heard how many there are.
func (fleet *instances) settle() {
	for _, ledger := range fleet.ledgers {
		if ledger.LocalUsage().Uptime >= 120*time.Millisecond {
			ledger.SetInstances(len(fleet.ledgers))
		}
	}
}

// exchange tells each what the others spent; a part of it is lost.
func (fleet *instances) exchange(random *rand.Rand, loss float64, cut int) {
	for from, ledger := range fleet.ledgers {
		for to, other := range fleet.ledgers {
			if from == to || from == cut || to == cut || random.Float64() < loss {
				continue
			}
			statement := ledger.LocalUsage()
			statement.Start = fleet.starts[from]
			other.MergeUsage(fmt.Sprint(from), statement)
		}
	}
}

// TestBound plays an organisation that sends seven times its rate through all
// instances, while datagrams are lost, an instance is cut off and another starts
// anew. Within any eight seconds no more may run than the users allow.
func TestBound(t *testing.T) {
	tests := []struct {
		name    string
		loss    float64
		cut     bool
		restart bool
		outage  bool
	}{
		{name: "calm"},
		{name: "loss", loss: 0.3},
		{name: "cut", cut: true},
		{name: "restart", restart: true},
		{name: "all restart", loss: 0.2, outage: true},
		{name: "all at once", loss: 0.2, cut: true, restart: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, 2))
				fleet := newInstances(5)
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
						for i := range fleet.ledgers {
							fleet.restart(i)
						}
					}
					fleet.settle()
					for range 3 {
						ledger := fleet.ledgers[random.IntN(5)]
						cost := 400 + random.Float64()*2000
						if _, ok := ledger.Take(organisation, limit, cost); ok {
							history = append(history, admitted{time.Now(), cost})
						}
					}
					if step%10 == 0 {
						fleet.exchange(random, test.loss, cut)
					}
					time.Sleep(10 * time.Millisecond)
				}
				checkBound(t, history)
			})
		})
	}
}

func checkBound(t *testing.T, history []admitted) {
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
	if most > allowed {
		t.Errorf("%.0f tokens within 8 s, at most %.0f are allowed", most, allowed)
	}
	if least := 60_000 * 30 * 0.75; total < least {
		t.Errorf("%.0f tokens in 30 s, at least %.0f were within the rate", total, least)
	}
}

// TestWithinRate guards against refusals of an organisation that stays within
// its rate, spread unevenly over the instances.
func TestWithinRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(3, 4))
		fleet := newInstances(5)
		time.Sleep(time.Second)
		refused := 0
		for step := range 2000 {
			if _, ok := fleet.ledgers[0].Take(organisation, limit, 1460*0.9*60_000/146_000); !ok {
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

// TestCutWithinRate guards against refusals of an organisation within its rate
// because an instance that served a tenth of it is cut off.
func TestCutWithinRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(5, 6))
		fleet := newInstances(2)
		refused := 0
		for step := range 1500 {
			cut := -1
			if step > 500 {
				cut = 1
			}
			at := 0
			if step%10 == 0 {
				at = 1
			}
			// Five ninths of the rate, as the organisations usually send.
			if _, ok := fleet.ledgers[at].Take(organisation, limit, 600/1.8); !ok && step > 100 {
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

// TestOutage plays the restart of all instances under an organisation that stays
// within its rate and sends most to one of them. Once they know of each other
// nothing is refused: none has to serve it from its own part of the burst.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(7, 8))
		fleet := newInstances(4)
		refused := 0
		for step := range 300 {
			if step == 100 {
				for i := range fleet.ledgers {
					fleet.restart(i)
				}
			}
			fleet.settle()
			at := 0
			if step%10 == 0 {
				at = 1 + random.IntN(3)
			}
			settled := fleet.ledgers[at].Initialised()
			// Callers come back at once after the outage.
			cost := 400.0
			if step > 130 && step < 160 {
				cost = 1200
			}
			if _, ok := fleet.ledgers[at].Take(organisation, limit, cost); !ok && settled {
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
// others would serve, or serving what they would refuse.
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
				fleet := newInstances(3)
				fleet.exchange(random, 0, -1)
				time.Sleep(5 * time.Second)
				if _, ok := fleet.ledgers[0].Take(organisation, limit, test.spent); !ok {
					t.Fatal("the burst is refused")
				}
				fleet.restart(2)
				fleet.exchange(random, 0, -1)
				if !fleet.ledgers[2].Initialised() {
					t.Fatal("the instance does not take over the buckets of the others")
				}
				if _, ok := fleet.ledgers[2].Take(organisation, limit, 25_000); ok != test.want {
					t.Errorf("admitted %v, want %v", ok, test.want)
				}
			})
		})
	}
}

// TestLowered guards against a bucket that keeps the burst of a limit that was
// lowered.
func TestLowered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := New(Config{})
		ledger.SetInstances(1)
		time.Sleep(10 * time.Second)
		ledger.Take(organisation, limit, 1)
		lowered := Limit{Rate: 1000, Burst: 1000}
		if _, ok := ledger.Take(organisation, lowered, 900); !ok {
			t.Error("refused within the lowered burst")
		}
		wait, ok := ledger.Take(organisation, lowered, 900)
		if ok {
			t.Error("took twice the lowered burst")
		}
		if want := 800 * time.Millisecond; wait < want-time.Millisecond || wait > want+time.Millisecond {
			t.Errorf("told to wait %v, want %v", wait, want)
		}
	})
}

// TestReturn guards against a request that did not run counting against its
// organisation.
func TestReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := New(Config{})
		small := Limit{Rate: 100, Burst: 100}
		time.Sleep(2 * time.Second)
		if _, ok := ledger.Take(organisation, small, 100); !ok {
			t.Fatal("refused with a full bucket")
		}
		ledger.Refund(organisation, 100)
		if _, ok := ledger.Take(organisation, small, 100); !ok {
			t.Error("refused after the cost was returned")
		}
	})
}

// TestWait guards against a wait that is told too short, so that who waits it
// out is refused again.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := New(Config{})
		wait, ok := ledger.Take(organisation, limit, 1460)
		if ok {
			t.Fatal("a new bucket holds a whole request before the fleet is known")
		}
		time.Sleep(wait + time.Microsecond)
		if _, ok := ledger.Take(organisation, limit, 1460); !ok {
			t.Errorf("refused after waiting %v", wait)
		}
	})
}

// TestPartial guards against statements that tell only what changed: one that
// comes before the first whole one must not take all that was ever spent off the
// buckets, and organisations that are left out must stay as they were.
func TestPartial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ledger := New(Config{})
		ledger.SetInstances(1)
		time.Sleep(10 * time.Second)
		ledger.Take(organisation, limit, 1000)
		ledger.Take("idle", limit, 1000)
		level := func(name string) float64 { return ledger.Status(name, limit).Level }
		steps := []struct {
			name  string
			spent map[string]float64
			whole bool
			// want is what the bucket holds after the statement.
			want map[string]float64
		}{
			{"partial first", map[string]float64{organisation: 50_000}, false, map[string]float64{organisation: 59_000, "idle": 59_000}},
			{"whole", map[string]float64{organisation: 50_000, "idle": 40_000}, true, map[string]float64{organisation: 59_000, "idle": 59_000}},
			{"a change", map[string]float64{organisation: 53_000}, false, map[string]float64{organisation: 56_000, "idle": 59_000}},
			{"whole again", map[string]float64{organisation: 54_000, "idle": 42_000}, true, map[string]float64{organisation: 55_000, "idle": 57_000}},
		}
		for _, step := range steps {
			ledger.MergeUsage("other", Usage{Start: 7, Uptime: time.Hour, Initialised: true, Partial: !step.whole, Spent: step.spent})
			for name, want := range step.want {
				if got := level(name); got != want {
					t.Errorf("%s: the bucket of %s holds %.0f, want %.0f", step.name, name, got, want)
				}
			}
		}
	})
}
