// Package trial compares policies: it runs a deployment through scenarios and
// measures load stall, tokens per step, the worst-served organisation and
// wrongful refusals.
package trial

import (
	"context"
	"fmt"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/demo"
	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
)

// Scenario is a request plan with the failures and changes that happen during a
// run.
type Scenario struct {
	Name string
	// adjustPlan changes the steady plan; the measured time begins after the
	// warm-up.
	adjustPlan func(plan *reqgen.Plan, warmup, duration time.Duration)
	// steps are performed during the measured time.
	steps []step
	// checkInvariant checks an additional invariant at the end of the run.
	checkInvariant func(fleet *demo.Fleet) demo.Invariant
}

// step is an action at a time given as a fraction of the measured time.
type step struct {
	at     float64
	action func(ctx context.Context, fleet *demo.Fleet, duration time.Duration) error
}

const (
	surgeFactor = 5
	// restartDowntime is how long a restarted engine is unreachable.
	restartDowntime = 500 * time.Millisecond
	// failedLoadFraction is the fraction of adapter loads that fail.
	failedLoadFraction = 0.3
)

// fractionOf returns a fraction of a duration.
func fractionOf(duration time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(duration))
}

// Scenarios returns all scenarios in the order in which they run.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady"},
		{Name: "popularity-shift", adjustPlan: func(plan *reqgen.Plan, warmup, duration time.Duration) {
			plan.PopularityShiftAfter = warmup + fractionOf(duration, 0.25)
		}},
		{Name: "one-organisation-5x", adjustPlan: func(plan *reqgen.Plan, warmup, duration time.Duration) {
			plan.Surge = reqgen.Surge{
				Organisation: plan.Organisations[0].Name, Factor: surgeFactor, From: warmup, Until: warmup + duration,
			}
		}},
		{Name: "engine-restarts", steps: []step{restartStep(0, 0.1), restartStep(1, 0.25), restartStep(2, 0.4), restartStep(3, 0.55)}},
		{Name: "load-failures", steps: []step{{0.2, func(_ context.Context, fleet *demo.Fleet, duration time.Duration) error {
			return fleet.FailLoads(failedLoadFraction, fractionOf(duration, 0.5))
		}}}},
		{Name: "entry-replacement", steps: []step{{0.2, replaceEntry}, {0.6, replaceEntry}}},
		{Name: "log-outage", steps: []step{{0.2, func(_ context.Context, fleet *demo.Fleet, duration time.Duration) error {
			return fleet.FailLog(fractionOf(duration, 0.5))
		}}}},
		{Name: "failure-domain-loss", steps: []step{{0.3, func(ctx context.Context, fleet *demo.Fleet, duration time.Duration) error {
			return fleet.FailDomain(ctx, duration)
		}}}},
		{Name: "half-split", checkInvariant: (*demo.Fleet).CheckHalves, steps: []step{{0.3, func(ctx context.Context, fleet *demo.Fleet, _ time.Duration) error {
			return fleet.SplitHalves(ctx)
		}}}},
	}
}

// restartStep returns a step that restarts an engine.
func restartStep(index int, at float64) step {
	return step{at, func(_ context.Context, fleet *demo.Fleet, _ time.Duration) error {
		return fleet.RestartEngine(index, restartDowntime)
	}}
}

func replaceEntry(ctx context.Context, fleet *demo.Fleet, _ time.Duration) error {
	return fleet.ReplaceEntry(ctx)
}

// SelectScenarios returns the scenario with the given name, or all scenarios for
// "all".
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
