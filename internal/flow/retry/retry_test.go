package retry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// TestBudget guards against retries beyond 10% of the requests or 3 per second,
// and against a budget that a quiet time fills without limit.
func TestBudget(t *testing.T) {
	tests := []struct {
		name     string
		requests int
		quiet    time.Duration
		want     int
	}{
		{"new", 0, 0, 3},
		{"minimum does not add up over a quiet hour", 0, time.Hour, 3},
		{"few requests: the minimum", 10, 0, 3},
		{"many requests: their tenth", 200, 0, 20},
		{"earned retries are capped", 5000, 0, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget, err := New(Config{})
				if err != nil {
					t.Fatal(err)
				}
				for range test.requests {
					budget.RecordRequest()
				}
				time.Sleep(test.quiet)
				got := 0
				for budget.Allow() {
					got++
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("retries (-want +got):\n%s", diff)
				}
				time.Sleep(time.Second)
				for range 3 {
					if !budget.Allow() {
						t.Error("no retry a second later")
					}
				}
			})
		})
	}
}

// TestBackoff guards against a backoff above its limit, without jitter, or that
// differs for the same seed.
func TestBackoff(t *testing.T) {
	for attempt, limit := range []time.Duration{25, 25, 50, 100, 200, 400, 800, 1600, 2000, 2000} {
		limit *= time.Millisecond
		one, _ := New(Config{Seed: 7})
		two, _ := New(Config{Seed: 7})
		distinct := map[time.Duration]bool{}
		for range 100 {
			wait := one.Backoff(attempt)
			if diff := cmp.Diff(wait, two.Backoff(attempt)); diff != "" || wait > limit {
				t.Fatalf("attempt %d: wait %v above %v, or not reproducible: %s", attempt, wait, limit, diff)
			}
			distinct[wait] = true
		}
		if len(distinct) < 90 {
			t.Errorf("attempt %d: only %d distinct waits of 100", attempt, len(distinct))
		}
	}
	if wait := newBudget(t, Config{}).Backoff(1 << 40); wait > DefaultMaxBackoff {
		t.Errorf("wait %v", wait)
	}
}

// TestConfig guards against settings that would allow more retries than
// requests.
func TestConfig(t *testing.T) {
	for _, config := range []Config{{Ratio: 1.5}, {Ratio: -1}, {MinPerSecond: -1}, {InitialBackoff: time.Hour}, {InitialBackoff: -1}} {
		_, err := New(config)
		if found, ok := fault.As(err); !ok || found.Kind() != fault.Invalid {
			t.Errorf("New(%+v): %v", config, err)
		}
	}
}

func newBudget(t *testing.T, config Config) *Budget {
	t.Helper()
	budget, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return budget
}
