package trial

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/bench/demo"
	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
)

// The policies that are compared.
const (
	NaivePolicy   = "naive"
	DefaultPolicy = "default"
)

// Config configures the runs of scenarios.
type Config struct {
	Deployment demo.Deployment
	// NewNetwork returns the network of one run.
	NewNetwork func() demo.Network
	Seed       uint64
	// Warmup is the time before the measured Duration.
	Warmup     time.Duration
	Duration   time.Duration
	EntryCount int
	Logger     *zap.Logger
}

// Result holds the invariants and measurements of one scenario under one policy.
type Result struct {
	Scenario   string           `json:"scenario"`
	Deployment string           `json:"deployment"`
	Policy     string           `json:"policy"`
	Seed       uint64           `json:"seed"`
	Length     string           `json:"length"`
	Invariants []demo.Invariant `json:"promises"`
	Measures   demo.Measures    `json:"measures"`
	Problems   []string         `json:"problems"`
}

// InvariantsHeld reports whether all invariants held.
func (result *Result) InvariantsHeld() bool {
	for _, invariant := range result.Invariants {
		if !invariant.Held {
			return false
		}
	}
	return true
}

// Run runs one scenario under one policy in a new fleet.
func Run(ctx context.Context, config Config, scenario Scenario, policy string) (Result, error) {
	fleet, err := demo.NewFleet(demo.FleetConfig{
		Deployment: config.Deployment, Network: config.NewNetwork(), Policy: policy, Entries: config.EntryCount,
		Seed: config.Seed, Delays: true, Logger: config.Logger,
	})
	if err != nil {
		return Result{}, err
	}
	defer fleet.Close()
	if err := fleet.Start(ctx); err != nil {
		return Result{}, err
	}
	plan := fleet.Plan()
	if scenario.adjustPlan != nil {
		scenario.adjustPlan(&plan, config.Warmup, config.Duration)
		fleet.SetSurge(plan.Surge)
	}
	generator := reqgen.New(reqgen.Config{
		EntryURLs: fleet.EntryURLs, Client: fleet.Client(), Plan: plan, Seed: config.Seed, ExpectedToken: demo.ExpectedToken,
		Warmup: config.Warmup, AfterWarmup: fleet.StartMeasuring,
	})
	stepsDone := make(chan error, 1)
	go func() { stepsDone <- performSteps(ctx, fleet, scenario, config) }()
	generator.Run(ctx, config.Warmup+config.Duration)
	if err := <-stepsDone; err != nil {
		return Result{}, fmt.Errorf("scenario %s: %w", scenario.Name, err)
	}
	report := generator.Report()
	result := Result{
		Scenario: scenario.Name, Deployment: config.Deployment.Name, Policy: policy, Seed: config.Seed,
		Length: config.Duration.String(), Invariants: fleet.CheckLoadInvariants(report), Measures: fleet.Measure(report), Problems: report.Problems(),
	}
	if scenario.checkInvariant != nil {
		result.Invariants = append(result.Invariants, scenario.checkInvariant(fleet))
	}
	return result, ctx.Err()
}

// performSteps performs the steps of a scenario at their times.
func performSteps(ctx context.Context, fleet *demo.Fleet, scenario Scenario, config Config) error {
	begin := time.Now().Add(config.Warmup)
	for _, step := range scenario.steps {
		timer := time.NewTimer(time.Until(begin.Add(fractionOf(config.Duration, step.at))))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
		if err := step.action(ctx, fleet, config.Duration); err != nil {
			return err
		}
	}
	return nil
}

// Comparison compares the default policy with the naive one under one scenario.
type Comparison struct {
	Scenario string `json:"scenario"`
	// Stall is the default policy's load stall divided by the naive one's.
	Stall float64 `json:"load-stall-ratio"`
	// Tokens is the default policy's tokens per step divided by the naive one's.
	Tokens float64 `json:"tokens-per-step-ratio"`
	// Worst is the p95 time to first token of the worst-served organisation,
	// divided by the naive policy's.
	Worst float64 `json:"worst-organisation-ratio"`
	// Wrongful is the default policy's number of wrongful refusals minus the
	// naive one's.
	Wrongful int64 `json:"wrongful-refusals-difference"`
}

// Compare compares the policies for each scenario that ran under both.
func Compare(results []Result) []Comparison {
	naive := map[string]demo.Measures{}
	for _, result := range results {
		if result.Policy == NaivePolicy {
			naive[result.Scenario] = result.Measures
		}
	}
	var comparisons []Comparison
	for _, result := range results {
		base, ok := naive[result.Scenario]
		if !ok || result.Policy != DefaultPolicy {
			continue
		}
		measures := result.Measures
		comparisons = append(comparisons, Comparison{
			Scenario: result.Scenario, Stall: ratio(measures.LoadStall, base.LoadStall),
			Tokens: ratio(measures.TokensPerStep, base.TokensPerStep), Worst: ratio(measures.WorstP95, base.WorstP95),
			Wrongful: measures.WrongfulRefusals - base.WrongfulRefusals,
		})
	}
	return comparisons
}

// ratio returns value divided by base, or 0 if base is 0.
func ratio(value, base float64) float64 {
	if base == 0 {
		return 0
	}
	return value / base
}
