package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/logs"
	"jacinthfront.dev/jacinthfront/internal/bench/demo"
	"jacinthfront.dev/jacinthfront/internal/bench/trial"
)

// benchCommand measures and compares routing policies on TCP loopback.
type benchCommand struct {
	Deployment string        `long:"deployment" choice:"bonsai" choice:"gourd" default:"bonsai" description:"deployment to run"`
	Policy     string        `long:"policy" choice:"naive" choice:"default" choice:"all" default:"all" description:"policy to measure; all compares them"`
	Scenario   string        `long:"scenario" default:"steady" description:"scenario to run, or all"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the load and the stand-ins"`
	For        time.Duration `long:"for" default:"30s" description:"measured time of each scenario"`
	Warmup     time.Duration `long:"warmup" default:"15s" description:"time under load before the measured time"`
	Entries    int           `long:"entries" default:"3" description:"number of entry instances"`
	Skew       float64       `long:"skew" description:"exponent of the adapters' Zipf distribution; 0 takes the deployment's"`
	Format     string        `long:"format" choice:"text" choice:"json" default:"text" description:"format of the result"`
	Plot       string        `long:"plot" value-name:"FILE" description:"writes the measures as bars to a .svg or .png file"`
	LogLevel   string        `long:"log-level" default:"error" description:"level of the daemons' log lines"`
}

// benchResult is the JSON output of the bench command.
type benchResult struct {
	Results     []trial.Result     `json:"results"`
	Comparisons []trial.Comparison `json:"comparisons"`
}

// Execute implements flags.Commander.
func (command *benchCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	config, err := command.config()
	if err != nil {
		return err
	}
	results, err := command.run(ctx, config)
	if err != nil {
		return err
	}
	if err := command.print(results); err != nil {
		return err
	}
	if command.Plot != "" {
		if err := trial.WritePlot(results, command.Plot); err != nil {
			return err
		}
	}
	for index := range results {
		if !results[index].InvariantsHeld() {
			return errInvariantViolated
		}
	}
	return nil
}

// config returns the configuration of the trials.
func (command *benchCommand) config() (trial.Config, error) {
	deployment, err := demo.ByName(command.Deployment)
	if err != nil {
		return trial.Config{}, err
	}
	if command.Skew != 0 {
		deployment.ZipfExponent = command.Skew
	}
	logger, err := logs.NewLogger(logs.Config{Level: command.LogLevel, Text: true, Instance: "bench"})
	return trial.Config{
		Deployment: deployment, NewNetwork: func() demo.Network { return demo.NewTCPNetwork() }, Seed: command.Seed,
		Warmup: command.Warmup, Duration: command.For, EntryCount: command.Entries, Logger: logger,
	}, err
}

// run runs the chosen scenarios with each chosen policy.
func (command *benchCommand) run(ctx context.Context, config trial.Config) ([]trial.Result, error) {
	scenarios, err := trial.SelectScenarios(command.Scenario)
	if err != nil {
		return nil, err
	}
	policies := []string{command.Policy}
	if command.Policy == "all" {
		policies = []string{trial.NaivePolicy, trial.DefaultPolicy}
	}
	var results []trial.Result
	for _, scenario := range scenarios {
		for _, policy := range policies {
			_, _ = fmt.Fprintf(os.Stderr, "bench: %s, %s, %s\n", config.Deployment.Name, scenario.Name, policy)
			result, err := trial.Run(ctx, config, scenario, policy)
			if err != nil {
				return nil, err
			}
			results = append(results, result)
		}
	}
	return results, nil
}

func (command *benchCommand) print(results []trial.Result) error {
	if command.Format == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(benchResult{results, trial.Compare(results)})
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, line := range trial.FormatTables(results) {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return err
		}
	}
	return table.Flush()
}

func init() {
	register("bench", "Measure a deployment under scenarios",
		"Runs real daemons against the stand-ins and prints load stalls, tokens per engine step, the worst-served organisation and wrongful refusals.\n\nExample: testbed bench --deployment gourd --policy all --scenario steady --seed 1 --for 30s",
		&benchCommand{})
}
