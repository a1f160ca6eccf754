package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"

	"jacinthfront.dev/jacinthfront/internal/bench/slope"
)

// slopesCommand measures how each cost grows with one size.
type slopesCommand struct {
	Only   string `long:"only" value-name:"NAME" description:"measure only the rows whose names begin with this"`
	Quick  bool   `long:"quick" description:"measure some rows at small sizes, in less than 10 s"`
	Format string `long:"format" choice:"text" choice:"json" default:"text" description:"format of the result"`
}

// Execute implements flags.Commander.
func (command *slopesCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	results, err := slope.Run(ctx, slope.Config{NamePrefix: command.Only, Quick: command.Quick, Progress: os.Stderr})
	if err != nil {
		return err
	}
	if command.Format == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(results)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ROW\tUNIT\tPER\tSLOPE\tINTERCEPT\tSPREAD\tTARGET\tAT TARGET")
	for _, result := range results {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.4g\t%.4g\t%.3g\t%s\n", result.Name, result.Unit, result.SizeName,
			result.Line.Slope, result.Line.Intercept, result.Line.ResidualStdDev, targetText(result))
	}
	return table.Flush()
}

// targetText formats the target size of a result and the fitted cost at that size.
func targetText(result slope.Result) string {
	if result.Target == 0 {
		return "-\t-"
	}
	return fmt.Sprintf("%.6g\t%.4g", result.Target, result.AtTarget)
}

func init() {
	register("slopes", "Measure how costs grow with one size at a time",
		"Varies one size at a time on the real code and fits a line to each cost.\n\nExample: testbed slopes --only memory- --format text",
		&slopesCommand{})
}
