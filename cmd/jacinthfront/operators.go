package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/uuid"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/daemon/admin"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

// operatorFlags are the flags that all commands of the operator interface have.
type operatorFlags struct {
	Address string `long:"address" env:"JACINTHFRONT_ADDRESS" default:"http://127.0.0.1:7080" description:"operator interface of any instance"`
	Format  string `long:"format" choice:"text" choice:"json" default:"text" description:"format of the answer"`
}

func (flags operatorFlags) client() admin.Client {
	return admin.Client{URL: strings.TrimSuffix(flags.Address, "/")}
}

// print writes value as JSON, or lines as a table.
func (flags operatorFlags) print(value any, lines []string) error {
	if flags.Format == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, line := range lines {
		if _, err := fmt.Fprintln(table, line); err != nil {
			return err
		}
	}
	return table.Flush()
}

// configCommand groups the commands on the configuration.
type configCommand struct {
	Show    showCommand    `command:"show" description:"Print the configuration as JSON" long-description:"Example: jacinthfront config show --adapter-prefix care-"`
	Patch   patchCommand   `command:"patch" description:"Publish a patch" long-description:"Reads a patch in JSON from a file or standard input and reports its result: accepted, conflict, invalid or unknown. Repeat an unknown one with the same id.\n\nExample: jacinthfront config patch --file patch.json"`
	History historyCommand `command:"history" description:"List the last accepted patches" long-description:"Example: jacinthfront config history --format json"`
	Result  resultCommand  `command:"result" description:"Print the result of a patch" long-description:"Example: jacinthfront config result --id 6f1c…"`
}

type showCommand struct {
	operatorFlags
	AdapterPrefix string `long:"adapter-prefix" description:"show only adapters whose names begin so"`
}

// Execute implements flags.Commander.
func (command *showCommand) Execute([]string) error {
	return command.client().Config(context.Background(), command.AdapterPrefix, os.Stdout)
}

type patchCommand struct {
	operatorFlags
	File     string `long:"file" value-name:"FILE" default:"-" description:"patch in JSON; - is standard input"`
	Operator string `long:"operator" env:"USER" description:"who publishes the patch"`
	Force    bool   `long:"force" description:"admit a patch that leaves a half without an upstream"`
}

// Execute implements flags.Commander.
func (command *patchCommand) Execute([]string) error {
	text, err := readInput(command.File)
	if err != nil {
		return fault.New(fault.Invalid, fault.NotRun, "cannot read the patch: %v; name an existing file with --file", err)
	}
	record, err := codec.DecodePatchJSON(text)
	if err != nil {
		return fault.New(fault.Invalid, fault.NotRun, "%v", err)
	}
	if record.ID == "" {
		record.ID = uuid.NewString()
	}
	if record.Operator == "" {
		record.Operator = command.Operator
	}
	record.Force = record.Force || command.Force
	report, err := command.client().Publish(context.Background(), record)
	if err != nil {
		return fmt.Errorf("patch %s: %w", record.ID, err)
	}
	if err := command.print(report, reportLines(report)); err != nil {
		return err
	}
	return resultError(report)
}

func readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

func reportLines(report admin.PatchReport) []string {
	lines := []string{fmt.Sprintf("patch %s: %s", report.ID, report.Result)}
	if report.Version > 0 {
		lines = append(lines, fmt.Sprintf("version %d", report.Version))
	}
	if report.Field != "" {
		lines = append(lines, report.Field+": "+report.Reason)
	}
	for _, change := range report.Changes {
		lines = append(lines, changeLine(change))
	}
	if report.Advice != "" {
		lines = append(lines, report.Advice)
	}
	return lines
}

// resultError returns the error that sets the exit code for a patch that was not
// accepted.
func resultError(report admin.PatchReport) error {
	switch report.Result {
	case patch.Accepted, patch.Duplicate:
		return nil
	case patch.Conflict:
		return fault.New(fault.Conflict, fault.NotRun, "the patch is void; redo it on version %d", report.Version)
	case patch.Invalid:
		return fault.New(fault.Invalid, fault.NotRun, "the patch is void; correct %s", report.Field)
	default:
		return fault.New(fault.OutcomeUnknown, fault.RunUnknown, "ask again with: jacinthfront config result --id %s", report.ID)
	}
}

type resultCommand struct {
	operatorFlags
	ID string `long:"id" required:"true" description:"id of the patch"`
}

// Execute implements flags.Commander.
func (command *resultCommand) Execute([]string) error {
	report, err := command.client().PatchResult(context.Background(), command.ID)
	if err != nil {
		return err
	}
	if err := command.print(report, reportLines(report)); err != nil {
		return err
	}
	return resultError(report)
}

type historyCommand struct{ operatorFlags }

// Execute implements flags.Commander.
func (command *historyCommand) Execute([]string) error {
	changes, err := command.client().History(context.Background())
	if err != nil {
		return err
	}
	lines := []string{"VERSION\tOPERATOR\tPATCH\tOPERATIONS"}
	for _, change := range changes {
		lines = append(lines, changeLine(change))
	}
	return command.print(changes, lines)
}

// maxOpsShown bounds the operations in a line of the text format; JSON shows all.
const maxOpsShown = 4

func changeLine(change admin.AcceptedPatch) string {
	ops := strings.Join(change.Ops[:min(len(change.Ops), maxOpsShown)], ", ")
	if more := len(change.Ops) - maxOpsShown; more > 0 {
		ops += fmt.Sprintf(" and %d more", more)
	}
	return fmt.Sprintf("%d\t%s\t%s\t%s", change.Version, change.Operator, change.ID, ops)
}
