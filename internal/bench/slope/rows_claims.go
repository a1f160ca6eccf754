package slope

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/demo"
	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
)

// claimDuration is how long requests with an Idempotency-Key are sent.
const claimDuration = 6 * time.Second

// claimTraffic measures the calls to the log's claim streams and their bytes
// against the number of requests with an Idempotency-Key, each of which is sent
// twice. sizes are the rates of requests a second.
func claimTraffic(ctx context.Context, sizes []float64) ([]series, error) {
	var table table
	for _, size := range sizes {
		counted, keys, err := runClaims(ctx, size, 6, claimDuration)
		if err != nil {
			return nil, err
		}
		appends, reads := counted.total(kindAppend), counted.total(kindClaims)
		table.add("-appends", "calls", keys, float64(appends.calls))
		table.add("-reads", "calls", keys, float64(reads.calls))
		table.add("-bytes", "B", keys, float64(appends.sent+appends.received+reads.sent+reads.received))
	}
	return table.list(), nil
}

const (
	// claimBytesRate, in requests a second, and claimBytesDuration are such that
	// each of the 256 partitions holds several claims.
	claimBytesRate     = 100
	claimBytesDuration = 15 * time.Second
)

// claimBytes returns the bytes read from the log for each request with an
// Idempotency-Key, where size is the number of upstreams of its service.
func claimBytes(ctx context.Context, size float64) (float64, error) {
	counted, keys, err := runClaims(ctx, claimBytesRate, int(size), claimBytesDuration)
	return float64(counted.total(kindClaims).received) / keys, err
}

// runClaims runs a fleet, sends it requests with an Idempotency-Key, each twice,
// and returns the traffic and the number of keys. rate is in requests a second.
func runClaims(ctx context.Context, rate float64, upstreams int, duration time.Duration) (traffic, float64, error) {
	network, counter := demo.NewMemoryNetwork(), newCounter()
	deployment := demo.Bonsai()
	deployment.Engines, deployment.PlainUpstreams, deployment.Adapters = 2, upstreams, 50
	deployment.RequestRate, deployment.KindWeights = rate, [4]float64{0, 0, 1, 0}
	fleet, err := demo.NewFleet(demo.FleetConfig{
		Deployment: deployment, Network: countedNetwork{network, counter}, Policy: "default", Entries: 2, Seed: 1,
	})
	if err != nil {
		return traffic{}, 0, err
	}
	defer fleet.Close()
	startCtx, cancel := context.WithTimeout(ctx, fleetStartTimeout)
	defer cancel()
	if err := fleet.Start(startCtx); err != nil {
		return traffic{}, 0, fmt.Errorf("the fleet did not become ready: %w", err)
	}
	plan := fleet.Plan()
	plan.RepeatFraction = 1
	generator := reqgen.New(reqgen.Config{
		EntryURLs: fleet.EntryURLs, Plan: plan, Seed: 1,
		Client: &http.Client{Transport: &http.Transport{DialContext: network.DialContext, MaxIdleConnsPerHost: 64}},
	})
	counter.takeCounts()
	generator.Run(ctx, duration)
	sleep(ctx, time.Second)
	counted := traffic{counts: counter.takeCounts()}
	keys := float64(generator.Report().Total().Sent) / 2
	return counted, keys, ctx.Err()
}

func init() {
	register(row{
		name: "claim-bytes", description: "read from the log for one request with an Idempotency-Key, 6 in each partition", unit: "B",
		sizeName: "upstreams", sizes: []float64{2, 4, 8, 16}, measureOnce: true, measure: claimBytes,
	}, row{
		name: "claims", description: "calls to the log for requests with an Idempotency-Key, each sent twice", sizeName: "requests",
		sizes: []float64{5, 10, 20, 40}, measureAll: claimTraffic,
	})
}
