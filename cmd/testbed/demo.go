package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/logs"
	"jacinthfront.dev/jacinthfront/internal/bench/demo"
)

// errInvariantViolated reports that a required invariant did not hold.
var errInvariantViolated = errors.New("a promise was broken; see the table")

// demoCommand runs a deployment on TCP loopback and checks the invariants.
type demoCommand struct {
	Deployment string        `long:"deployment" choice:"bonsai" choice:"gourd" default:"bonsai" description:"deployment to run"`
	For        time.Duration `long:"for" description:"length of the load; without it the deployment stays up"`
	Entries    int           `long:"entries" default:"3" description:"number of entry instances"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of the load and the stand-ins"`
	Policy     string        `long:"policy" choice:"default" choice:"naive" default:"default" description:"routing policy"`
	Format     string        `long:"format" choice:"text" choice:"json" default:"text" description:"format of the result"`
	LogLevel   string        `long:"log-level" default:"error" description:"level of the daemons' log lines"`
}

// Execute implements flags.Commander.
func (command *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	deployment, err := demo.ByName(command.Deployment)
	if err != nil {
		return err
	}
	logger, err := logs.NewLogger(logs.Config{Level: command.LogLevel, Text: true, Instance: "demo"})
	if err != nil {
		return err
	}
	if command.For == 0 {
		return command.runUntilStopped(ctx, deployment, logger)
	}
	progress := io.Writer(os.Stderr)
	result, err := demo.Run(ctx, demo.Config{
		Deployment: deployment, Network: demo.NewTCPNetwork(), Policy: command.Policy, Entries: command.Entries,
		Seed: command.Seed, Duration: command.For, Logger: logger, Progress: progress,
	})
	if err != nil {
		return err
	}
	if err := command.print(result); err != nil {
		return err
	}
	if !result.Held() {
		return errInvariantViolated
	}
	return nil
}

func (command *demoCommand) print(result demo.Result) error {
	if command.Format == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, line := range resultLines(result) {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return err
		}
	}
	return table.Flush()
}

// resultLines formats a result as lines with tab-separated columns.
func resultLines(result demo.Result) []string {
	lines := []string{"", "PROMISE\tHELD\tSEEN"}
	for _, invariant := range result.Invariants {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s", invariant.Name, yesOrNo(invariant.Held), invariant.Observed))
	}
	lines = append(lines, measureLines(result.Measures)...)
	for _, problem := range result.Problems {
		lines = append(lines, "problem:\t"+problem)
	}
	return lines
}

// measureLines formats the measures as lines with tab-separated columns.
func measureLines(measures demo.Measures) []string {
	lines := []string{
		"", "MEASURE\tVALUE\t",
		fmt.Sprintf("load stall per model request\t%.1f ms\t%.1f%% of requests stalled, %d loads", measures.LoadStall, 100*measures.StalledFraction, measures.Loads),
		fmt.Sprintf("tokens per engine step\t%.2f\t", measures.TokensPerStep),
		fmt.Sprintf("worst-served organisation, p95 first token\t%.0f ms\t%s", measures.WorstP95, measures.WorstOrganisation),
		fmt.Sprintf("wrongful refusals\t%d\tof %d requests, %d completed, %d unknown, errors %v",
			measures.WrongfulRefusals, measures.Sent, measures.Completed, measures.UnknownEffect, measures.Errors),
		"", "ORGANISATION\tKIND\tSENT\tDONE\tREFUSED\tFIRST TOKEN p50/p95/p99\tBETWEEN TOKENS p50/p95/p99",
	}
	for _, group := range measures.Groups {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%s\t%s", group.Organisation, group.Kind,
			group.Sent, group.Completed, group.Refused, latencyText(group.FirstToken), latencyText(group.TokenInterval)))
	}
	return lines
}

func latencyText(latency demo.Latency) string {
	return fmt.Sprintf("%.0f/%.0f/%.0f ms", latency.P50, latency.P95, latency.P99)
}

func yesOrNo(held bool) string {
	if held {
		return "yes"
	}
	return "NO"
}

// runUntilStopped runs a deployment until a signal arrives, and prints shell
// commands for trying it out.
func (command *demoCommand) runUntilStopped(ctx context.Context, deployment demo.Deployment, logger *zap.Logger) error {
	fleet, err := demo.NewFleet(demo.FleetConfig{
		Deployment: deployment, Network: demo.NewTCPNetwork(), Policy: command.Policy, Entries: command.Entries, Seed: command.Seed, Logger: logger,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := fleet.Start(ctx); err != nil {
		return err
	}
	for _, line := range fleet.ExampleCommands() {
		fmt.Println(line)
	}
	<-ctx.Done()
	return nil
}

func init() {
	register("demo", "Run a deployment and check the promises",
		"Runs stand-ins, entry instances and side processes in one process on loopback under a seeded load.\n\nExample: testbed demo --deployment bonsai --for 10s",
		&demoCommand{})
}
