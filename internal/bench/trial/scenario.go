// Package trial measures policies: it runs a deployment through scenarios and
// compares the users' four measures.
package trial

import (
	"context"
	"fmt"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/demo"
	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
)

// Scenario is a load with what happens during it. Times are parts of the
// measured time.
type Scenario struct {
	Name string
	// plan changes the steady load; the warm-up time comes first.
	plan func(plan *reqgen.Plan, warmup, length time.Duration)
	// steps happen during the measured time.
	steps []step
	// check adds a promise.
	check func(fleet *demo.Fleet) demo.Invariant
}

// step happens after a part of the measured time.
type step struct {
	at     float64
	action func(ctx context.Context, fleet *demo.Fleet, length time.Duration) error
}

const (
	surgeFactor = 5
	restartDown = 500 * time.Millisecond
	// failingLoads is the part of loads that fail.
	failingLoads = 0.3
)

func part(length time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(length))
}

// Scenarios returns all scenarios in their order.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady"},
		{Name: "popularity-shift", plan: func(plan *reqgen.Plan, warmup, length time.Duration) {
			plan.PopularityShiftAfter = warmup + part(length, 0.25)
		}},
		{Name: "one-organisation-5x", plan: func(plan *reqgen.Plan, warmup, length time.Duration) {
			plan.Surge = reqgen.Surge{
				Organisation: plan.Organisations[0].Name, Factor: surgeFactor, From: warmup, Until: warmup + length,
			}
		}},
		{Name: "engine-restarts", steps: []step{restart(0, 0.1), restart(1, 0.25), restart(2, 0.4), restart(3, 0.55)}},
		{Name: "load-failures", steps: []step{{0.2, func(_ context.Context, fleet *demo.Fleet, length time.Duration) error {
			return fleet.FailLoads(failingLoads, part(length, 0.5))
		}}}},
		{Name: "entry-replacement", steps: []step{{0.2, replaceEntry}, {0.6, replaceEntry}}},
		{Name: "log-outage", steps: []step{{0.2, func(_ context.Context, fleet *demo.Fleet, length time.Duration) error {
			return fleet.FailLog(part(length, 0.5))
		}}}},
		{Name: "failure-domain-loss", steps: []step{{0.3, func(ctx context.Context, fleet *demo.Fleet, length time.Duration) error {
			return fleet.FailDomain(ctx, length)
		}}}},
		{Name: "half-split", check: (*demo.Fleet).CheckHalves, steps: []step{{0.3, func(ctx context.Context, fleet *demo.Fleet, _ time.Duration) error {
			return fleet.SplitHalves(ctx)
		}}}},
	}
}

func restart(index int, at float64) step {
	return step{at, func(_ context.Context, fleet *demo.Fleet, _ time.Duration) error {
		return fleet.RestartEngine(index, restartDown)
	}}
}

func replaceEntry(ctx context.Context, fleet *demo.Fleet, _ time.Duration) error {
	return fleet.ReplaceEntry(ctx)
}

// SelectScenarios returns the scenario of a name, or all of them for "all".
func SelectScenarios(name string) ([]Scenario, error) {
	scenarios := Scenarios()
	if name == "all" {
		return scenarios, nil
	}
	names := make([]string, 0, len(scenarios))
	for _, scenario := range scenarios {
		if scenario.Name == name {
			return []Scenario{scenario}, nil
		}
		names = append(names, scenario.Name)
	}
	return nil, fmt.Errorf("no scenario %q; write all or one of %v", name, names)
}
