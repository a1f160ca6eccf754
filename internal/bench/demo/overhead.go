package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/metric"
)

// OverheadConfig configures a measurement of the time that an entry instance
// and a side process add to a call.
type OverheadConfig struct {
	// Rate is the number of calls per second, direct and through the entry
	// instance in turn.
	Rate     float64
	Duration time.Duration
	Seed     uint64
}

// Overhead compares calls of the plain service through one entry instance with
// direct calls at the same rate.
type Overhead struct {
	Rate         float64 `json:"calls-per-second"`
	Length       string  `json:"length"`
	Direct       Latency `json:"direct"`
	ThroughEntry Latency `json:"through-entry"`
	Failed       int     `json:"failed"`
	// AddedP50 and AddedP99 are the differences between the quantiles of the two
	// in milliseconds.
	AddedP50 float64 `json:"added-p50-ms"`
	AddedP99 float64 `json:"added-p99-ms"`
}

// MeasureOverhead measures the overhead with one entry instance, one engine and four
// plain services on TCP loopback.
func MeasureOverhead(ctx context.Context, config OverheadConfig) (Overhead, error) {
	deployment := Bonsai()
	deployment.Engines, deployment.PlainUpstreams, deployment.Adapters = 1, 4, 50
	// The first organisation sends all calls. Its rate follows from its part of
	// the planned load, so the planned load is four times the
	// measured rate.
	deployment.RequestRate = 4 * config.Rate
	fleet, err := NewFleet(FleetConfig{Deployment: deployment, Network: NewTCPNetwork(), Policy: "default", Entries: 1, Seed: config.Seed})
	if err != nil {
		return Overhead{}, err
	}
	defer fleet.Close()
	if err := fleet.Start(ctx); err != nil {
		return Overhead{}, err
	}
	key := fleet.plan.Organisations[0].Key
	entry := fleet.EntryURLs()[0] + "/services/" + deployment.PlainService
	direct, directFailed := fleet.sendCalls(ctx, config, func(index int) (string, string) {
		return fleet.urls[deployment.Engines+index%deployment.PlainUpstreams], ""
	})
	through, throughFailed := fleet.sendCalls(ctx, config, func(int) (string, string) { return entry, key })
	return Overhead{
		Rate: config.Rate, Length: config.Duration.String(), Direct: newLatency(direct), ThroughEntry: newLatency(through),
		Failed:   directFailed + throughFailed,
		AddedP50: milliseconds(through.Quantile(50) - direct.Quantile(50)),
		AddedP99: milliseconds(through.Quantile(99) - direct.Quantile(99)),
	}, ctx.Err()
}

// sendCalls sends calls at a fixed rate and returns the durations of those that
// succeeded and the number of those that failed.
func (fleet *Fleet) sendCalls(ctx context.Context, config OverheadConfig, target func(index int) (base, key string)) (*metric.Histogram, int) {
	histogram := metric.NewHistogram()
	var calls sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	begin := time.Now()
	for index := range int(config.Rate * config.Duration.Seconds()) {
		due := begin.Add(time.Duration(float64(index) / config.Rate * float64(time.Second)))
		if sleep(ctx, time.Until(due)) != nil {
			break
		}
		base, key := target(index)
		calls.Go(func() {
			sent := time.Now()
			if err := fleet.get(ctx, fmt.Sprintf("%s/stock/%d", base, index), key); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed++
				return
			}
			histogram.Observe(time.Since(sent))
		})
	}
	calls.Wait()
	return histogram, failed
}

// get sends a GET request and returns an error unless the status is 200. An empty
// key sends no Authorization header.
func (fleet *Fleet) get(ctx context.Context, url, key string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := fleet.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", response.Status)
	}
	return nil
}
