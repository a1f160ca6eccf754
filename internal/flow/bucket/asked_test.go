package bucket

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// TestReserveFromNothing guards against orders that are denied for good while drafts that
// cost less keep the bucket empty, if nothing was spent on orders before.
func TestReserveFromNothing(t *testing.T) {
	limit := Limit{Rate: 600, Burst: 1200}
	for _, instances := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			fleet := seededFleet(instances)
			random := rand.New(rand.NewPCG(1, 2))
			orders, served := 0, 0
			for step := range 3000 {
				// Drafts ask for four times the rate at all instances, orders for a third at one.
				if step%4 == 0 {
					fleet.limiters[step/4%instances].TakeRequest(organisation, limit, Request{Cost: 100, Class: draftClass, Identity: random.Uint64()})
				}
				if step >= 1000 && step%100 == 2 {
					_, ok := fleet.limiters[0].TakeRequest(organisation, limit, Request{Cost: 200, Class: orderClass, Identity: random.Uint64()})
					orders++
					if ok {
						served++
					}
				}
				if step%10 == 0 {
					fleet.exchange(random, 0, -1)
				}
				time.Sleep(10 * time.Millisecond)
			}
			if served*10 < orders*8 {
				t.Errorf("%d instances: %d of %d orders served, want at least 0.8", instances, served, orders)
			}
		})
	}
}
