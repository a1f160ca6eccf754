package slope

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/demo"
	"jacinthfront.dev/jacinthfront/internal/bench/load"
)

// claimTime is how long bookings with an Idempotency-Key are sent.
const claimTime = 6 * time.Second

// claims counts the log's calls against the rate of requests with an
// Idempotency-Key, each of which the load sends twice.
func claims(ctx context.Context, sizes []float64) ([]series, error) {
	var table table
	for _, size := range sizes {
		if err := claimsOf(ctx, size, &table); err != nil {
			return nil, err
		}
	}
	return table.list(), nil
}

func claimsOf(ctx context.Context, rate float64, table *table) error {
	network, counter := demo.NewMemory(), newCounter()
	deployment := demo.Bonsai()
	deployment.Runners, deployment.Plains, deployment.Adapters = 2, 6, 50
	deployment.Requests, deployment.Mix = rate, [4]float64{0, 0, 1, 0}
	fleet, err := demo.NewFleet(demo.FleetConfig{
		Deployment: deployment, Network: countedNetwork{network, counter}, Policy: "default", Entries: 2, Seed: 1,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	starting, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := fleet.Start(starting); err != nil {
		return fmt.Errorf("the fleet did not become ready: %w", err)
	}
	plan := fleet.Plan()
	plan.RepeatBookings = 1
	generator := load.New(load.Config{
		Entries: fleet.Entries, Plan: plan, Seed: 1,
		Client: &http.Client{Transport: &http.Transport{DialContext: network.DialContext, MaxIdleConnsPerHost: 64}},
	})
	counter.take()
	generator.Run(ctx, claimTime)
	sleep(ctx, time.Second)
	counted := traffic{flows: counter.take()}
	bookings := float64(generator.Report().Total().Sent) / 2
	appends, reads := counted.kind(kindAppend), counted.kind(kindClaims)
	table.add("-appends", "calls", bookings, float64(appends.calls))
	table.add("-reads", "calls", bookings, float64(reads.calls))
	table.add("-bytes", "B", bookings, float64(appends.sent+appends.received+reads.sent+reads.received))
	return ctx.Err()
}

func init() {
	register(row{
		name: "claims", what: "calls to the log for requests with an Idempotency-Key, each sent twice", size: "requests",
		sizes: []float64{5, 10, 20, 40}, all: claims,
	})
}
