package slope

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/demo"
	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
)

// claimTime is how long bookings with an Idempotency-Key are sent.
const claimTime = 6 * time.Second

// claims counts the log's calls against the rate of requests with an
// Idempotency-Key, each of which the load sends twice.
func claims(ctx context.Context, sizes []float64) ([]series, error) {
	var table table
	for _, size := range sizes {
		counted, bookings, err := claimsOf(ctx, size, 6, claimTime)
		if err != nil {
			return nil, err
		}
		appends, reads := counted.kind(kindAppend), counted.kind(kindClaims)
		table.add("-appends", "calls", bookings, float64(appends.calls))
		table.add("-reads", "calls", bookings, float64(reads.calls))
		table.add("-bytes", "B", bookings, float64(appends.sent+appends.received+reads.sent+reads.received))
	}
	return table.list(), nil
}

const (
	// partitionRate and partitionTime give each of the 256 partitions several
	// claims.
	partitionRate = 100
	partitionTime = 15 * time.Second
)

// claimBytes returns the bytes that are read from the log for one request with
// an Idempotency-Key, against the number of upstreams of its service.
func claimBytes(ctx context.Context, size float64) (float64, error) {
	counted, bookings, err := claimsOf(ctx, partitionRate, int(size), partitionTime)
	return float64(counted.kind(kindClaims).received) / bookings, err
}

// claimsOf sends requests with an Idempotency-Key, each twice, and returns the
// traffic and the number of keys.
func claimsOf(ctx context.Context, rate float64, upstreams int, length time.Duration) (traffic, float64, error) {
	network, counter := demo.NewMemoryNetwork(), newCounter()
	deployment := demo.Bonsai()
	deployment.Engines, deployment.PlainUpstreams, deployment.Adapters = 2, upstreams, 50
	deployment.RequestRate, deployment.Mix = rate, [4]float64{0, 0, 1, 0}
	fleet, err := demo.NewFleet(demo.FleetConfig{
		Deployment: deployment, Network: countedNetwork{network, counter}, Policy: "default", Entries: 2, Seed: 1,
	})
	if err != nil {
		return traffic{}, 0, err
	}
	defer fleet.Close()
	starting, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := fleet.Start(starting); err != nil {
		return traffic{}, 0, fmt.Errorf("the fleet did not become ready: %w", err)
	}
	plan := fleet.Plan()
	plan.RepeatFraction = 1
	generator := reqgen.New(reqgen.Config{
		EntryURLs: fleet.EntryURLs, Plan: plan, Seed: 1,
		Client: &http.Client{Transport: &http.Transport{DialContext: network.DialContext, MaxIdleConnsPerHost: 64}},
	})
	counter.take()
	generator.Run(ctx, length)
	sleep(ctx, time.Second)
	counted := traffic{flows: counter.take()}
	bookings := float64(generator.Report().Total().Sent) / 2
	return counted, bookings, ctx.Err()
}

func init() {
	register(row{
		name: "claim-bytes", what: "read from the log for one request with an Idempotency-Key, 6 in each partition", unit: "B",
		size: "upstreams", sizes: []float64{2, 4, 8, 16}, once: true, measure: claimBytes,
	}, row{
		name: "claims", what: "calls to the log for requests with an Idempotency-Key, each sent twice", size: "requests",
		sizes: []float64{5, 10, 20, 40}, all: claims,
	})
}
