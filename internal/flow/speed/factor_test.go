package speed

import (
	"math/rand/v2"
	"testing"
	"time"
)

// record records a factor each 120 ms over a time, as one response after another states it,
// and returns the time at its end.
func record(factors *Factors, from time.Time, duration time.Duration, factor func() float64) time.Time {
	for at := from; at.Before(from.Add(duration)); at = at.Add(120 * time.Millisecond) {
		factors.Record(Statement{factor(), at})
	}
	return from.Add(duration)
}

func constant(factor float64) func() float64 { return func() float64 { return factor } }

// TestLasting guards against a slow moment that counts as lasting, which would move
// adapters, and against an engine that became slower for good and keeps its old factor.
// The load is eight responses a second.
func TestLasting(t *testing.T) {
	start := time.Now()
	for _, usual := range []float64{0.6, 1, 1.6} {
		for seed := range uint64(20) {
			random, factors := rand.New(rand.NewPCG(seed, 1)), new(Factors)
			at := record(factors, start, time.Second, constant(usual))
			for range 40 {
				at = record(factors, at, 600*time.Millisecond, constant(2.5*usual))
				at = record(factors, at, time.Duration(1000+random.IntN(5000))*time.Millisecond, constant(usual))
				if got := factors.Work(at).Lasting; got != usual {
					t.Fatalf("seed %d: lasting factor %v beside slow moments, want %v", seed, got, usual)
				}
			}
			at = record(factors, at, 8*time.Second, constant(2*usual))
			if got := factors.Work(at).Lasting; got != 2*usual {
				t.Errorf("seed %d: lasting factor %v after a lasting change, want %v", seed, got, 2*usual)
			}
			if got := factors.Work(at.Add(2 * sampleTTL)); got != (Work{}) {
				t.Errorf("%v is known of an upstream that has long stated nothing", got)
			}
		}
	}
}

// TestFirstStatements guards against a slow moment at the start that counts as lasting, and
// against a lasting factor from one burst of responses.
func TestFirstStatements(t *testing.T) {
	factors, start := new(Factors), time.Now()
	for number, want := range []float64{0, 0, 1} {
		factors.Record(Statement{2.5 - 0.75*float64(number), start.Add(time.Duration(number) * 60 * time.Millisecond)})
		if got := factors.Work(start).Lasting; got != want {
			t.Errorf("lasting factor %v after statement %d, want %v", got, number, want)
		}
	}
}

// TestPresent guards against a slow moment that counts after it has passed.
func TestPresent(t *testing.T) {
	now := time.Now()
	stated := Statement{2.5, now}
	for _, test := range []struct {
		work            Work
		after           time.Duration
		least, greatest float64
	}{
		{Work{}, 0, 0, 0},
		{Work{stated, 1}, 0, 2.5, 2.5},
		{Work{stated, 1}, 200 * time.Millisecond, 1.9, 2.1},
		{Work{stated, 1}, 600 * time.Millisecond, 1.3, 1.6},
		{Work{stated, 1}, momentTTL, 1, 1},
		{Work{stated, 0}, time.Second, 2.5, 2.5},
		{Work{stated, 0}, momentTTL, 0, 0},
	} {
		if got := test.work.Present(now.Add(test.after)); got < test.least || got > test.greatest {
			t.Errorf("%+v after %v: factor %v, want %v to %v", test.work, test.after, got, test.least, test.greatest)
		}
	}
}
