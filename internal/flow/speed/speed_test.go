package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRate guards against a wrong prefill rate, which leaves a fast engine
// idle, as in scenario ctpl-front scale-1, or makes the streams of a slow one
// pause. The samples include network time, waits for the current step, partly
// cached prompts and waits behind other prompts.
func TestRate(t *testing.T) {
	tests := []struct {
		name   string
		rate   float64
		step   time.Duration
		cached float64
		delay  float64
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
				for range maxSamples {
					prompt := int64(300 + random.ExpFloat64()*900)
					prefilled := float64(prompt)
					if random.Float64() < test.cached {
						prefilled /= 10
					}
					took := time.Duration(prefilled/test.rate*1e6) + time.Duration(random.Float64()*float64(test.step)) + 2*time.Millisecond
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

// TestUnknown guards against an estimate from too few samples, or from samples
// that do not determine a rate.
func TestUnknown(t *testing.T) {
	tests := []struct {
		name    string
		samples int
		prompt  func(number int) int64
		took    func(number int) time.Duration
	}{
		{
			"few", minSamples - 1,
			func(number int) int64 { return int64(100 * number) },
			func(number int) time.Duration { return time.Duration(number) * time.Millisecond },
		},
		{
			"all prompts alike", maxSamples,
			func(int) int64 { return 1000 },
			func(number int) time.Duration { return time.Duration(number) * time.Millisecond },
		},
		{
			"longer prompts take less time", maxSamples,
			func(number int) int64 { return int64(200 * number) },
			func(number int) time.Duration { return time.Duration(maxSamples-number) * time.Millisecond },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			estimator := new(Estimator)
			for number := range test.samples {
				estimator.RecordFirstEvent(test.prompt(number+1), test.took(number+1))
			}
			if got := estimator.PrefillRate(); got != 0 {
				t.Errorf("rate %.2f from samples that determine none", got)
			}
		})
	}
}

// TestSlowdown guards against an estimate that keeps the speed that an engine
// had before it became slower.
func TestSlowdown(t *testing.T) {
	estimator := new(Estimator)
	feed := func(rate float64, interval time.Duration) {
		for number := range maxSamples {
			prompt := int64(200 + 50*number)
			estimator.RecordFirstEvent(prompt, time.Duration(float64(prompt)/rate*float64(time.Millisecond)))
			estimator.RecordInterval(interval)
		}
	}
	feed(38, 30*time.Millisecond)
	feed(12, 90*time.Millisecond)
	if got := estimator.PrefillRate(); math.Abs(got-12) > 1 {
		t.Errorf("rate %.1f after the engine became slower, want 12", got)
	}
	if got := estimator.EventInterval(); got != 90*time.Millisecond {
		t.Errorf("interval %v after the engine became slower, want 90 ms", got)
	}
}

// TestMinPrefillRate guards against a faster engine that is held back until
// minSamples samples have come, as after a restart of all engines, and against
// a bound above the real rate.
func TestMinPrefillRate(t *testing.T) {
	const rate = 38.4
	var estimator Estimator
	if got := estimator.MinPrefillRate(); got != 0 {
		t.Errorf("bound %v without samples, want 0", got)
	}
	for _, prompt := range []int64{628, 1800, 900} {
		estimator.RecordFirstEvent(prompt, 12*time.Millisecond+time.Duration(float64(prompt)/rate*float64(time.Millisecond)))
	}
	if got := estimator.MinPrefillRate(); got < 19 || got > rate {
		t.Errorf("bound %.1f after three samples, want 19 to %v", got, rate)
	}
	if got := estimator.PrefillRate(); got != 0 {
		t.Errorf("rate %v after three samples, want 0", got)
	}
}
