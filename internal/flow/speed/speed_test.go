package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRate plays engines of several speeds whose prompts wait for a step, travel,
// are partly kept or come behind others. A gate with a wrong rate leaves a fast
// engine idle, as on ctpl-front scale-1, or lets a slow one pause.
func TestRate(t *testing.T) {
	tests := []struct {
		name  string
		rate  float64
		step  time.Duration
		kept  float64
		delay float64
	}{
		{"slow engine", 4, 20 * time.Millisecond, 0, 0},
		{"usual engine", 19, 9 * time.Millisecond, 0.1, 0.1},
		{"fast engine", 38, 5 * time.Millisecond, 0.1, 0.1},
		{"very fast engine", 120, 3 * time.Millisecond, 0.05, 0.05},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(30) {
				random := rand.New(rand.NewPCG(seed, 1))
				estimator := new(Estimator)
				for range mostReadings {
					prompt := int64(300 + random.ExpFloat64()*900)
					read := float64(prompt)
					if random.Float64() < test.kept {
						read /= 10
					}
					took := time.Duration(read/test.rate*1e6) + time.Duration(random.Float64()*float64(test.step)) + 2*time.Millisecond
					if random.Float64() < test.delay {
						took += time.Duration(random.ExpFloat64() * float64(40*time.Millisecond))
					}
					estimator.RecordFirstEvent(prompt, took)
				}
				if got := estimator.PrefillRate(); math.Abs(got/test.rate-1) > 0.25 {
					t.Errorf("seed %d: rate %.1f, want %.1f", seed, got, test.rate)
				}
			}
		})
	}
}

// TestUnknown guards against an estimate from too little, or from readings that
// say nothing.
func TestUnknown(t *testing.T) {
	tests := []struct {
		name     string
		readings int
		prompt   func(number int) int64
		took     func(number int) time.Duration
	}{
		{
			"few", leastReadings - 1,
			func(number int) int64 { return int64(100 * number) },
			func(number int) time.Duration { return time.Duration(number) * time.Millisecond },
		},
		{
			"all prompts alike", mostReadings,
			func(int) int64 { return 1000 },
			func(number int) time.Duration { return time.Duration(number) * time.Millisecond },
		},
		{
			"longer prompts come sooner", mostReadings,
			func(number int) int64 { return int64(200 * number) },
			func(number int) time.Duration { return time.Duration(mostReadings-number) * time.Millisecond },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			estimator := new(Estimator)
			for number := range test.readings {
				estimator.RecordFirstEvent(test.prompt(number+1), test.took(number+1))
			}
			if got := estimator.PrefillRate(); got != 0 {
				t.Errorf("rate %.2f from readings that tell none", got)
			}
		})
	}
}

// TestFollow guards against an estimate that keeps the speed that an engine had
// before it turned slow.
func TestFollow(t *testing.T) {
	estimator := new(Estimator)
	feed := func(rate float64, pause time.Duration) {
		for number := range mostReadings {
			prompt := int64(200 + 50*number)
			estimator.RecordFirstEvent(prompt, time.Duration(float64(prompt)/rate*float64(time.Millisecond)))
			estimator.RecordInterval(pause)
		}
	}
	feed(38, 30*time.Millisecond)
	feed(12, 90*time.Millisecond)
	if got := estimator.PrefillRate(); math.Abs(got-12) > 1 {
		t.Errorf("rate %.1f after the engine turned slow, want 12", got)
	}
	if got := estimator.EventInterval(); got != 90*time.Millisecond {
		t.Errorf("pause %v after the engine turned slow, want 90 ms", got)
	}
}

// TestAtLeast guards against an engine of a faster make that is held back until
// a dozen readings are there, as after all was lost, and against a bound above
// what the engine does.
func TestAtLeast(t *testing.T) {
	const rate = 38.4
	var estimator Estimator
	if got := estimator.MinPrefillRate(); got != 0 {
		t.Errorf("bound %v of nothing, want 0", got)
	}
	for _, prompt := range []int64{628, 1800, 900} {
		estimator.RecordFirstEvent(prompt, 12*time.Millisecond+time.Duration(float64(prompt)/rate*float64(time.Millisecond)))
	}
	if got := estimator.MinPrefillRate(); got < 19 || got > rate {
		t.Errorf("bound %.1f after three readings, want 19 to %v", got, rate)
	}
	if got := estimator.PrefillRate(); got != 0 {
		t.Errorf("rate %v after three readings, want 0", got)
	}
}
