package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
)

// TestBudget simulates five instances whose upstreams fail every request. In no
// window of ten seconds may all instances together send more retries than the
// bounds allow, even if the requests arrive in bursts with pauses between them.
func TestBudget(t *testing.T) {
	const instances = 5
	bounds := Bounds{RetryRatio: 0.2, RetryExtra: 58, RetryWindow: setup.Period{Duration: 10 * time.Second}}
	synctest.Test(t, func(t *testing.T) {
		var budgets []*retryBudget
		for range instances {
			budgets = append(budgets, newRetryBudget(func() Bounds { return bounds }, func() int { return instances }))
		}
		var requests, retries []time.Time
		began := time.Now()
		for step := 0; time.Since(began) < 40*time.Second; step++ {
			budget := budgets[step%instances]
			if time.Since(began)%(15*time.Second) < 5*time.Second {
				budget.recordRequest("advisor")
				requests = append(requests, time.Now())
			}
			if budget.takeRetry("advisor") != nil {
				retries = append(retries, time.Now())
			}
			time.Sleep(5 * time.Millisecond)
		}
		within := func(list []time.Time, from time.Time) (count int) {
			for _, at := range list {
				if !at.Before(from) && at.Sub(from) < bounds.RetryWindow.Duration {
					count++
				}
			}
			return count
		}
		for _, from := range retries {
			// The bounds refer to the window with the most requests among three.
			fullest := max(within(requests, from), within(requests, from.Add(-5*time.Second)), within(requests, from.Add(-10*time.Second)))
			if got, allowed := within(retries, from), float64(bounds.RetryRatio)*float64(fullest)+float64(bounds.RetryExtra); float64(got) > allowed {
				t.Fatalf("%d retries within 10 s from %v, %.0f allowed", got, from.Sub(began), allowed)
			}
		}
		if len(retries) < 100 {
			t.Errorf("only %d retries were allowed", len(retries))
		}
	})
}
