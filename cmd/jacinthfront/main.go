// Command jacinthfront runs entry instances, side processes and loaders, and is
// the client of the operator interface.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	_ "jacinthfront.dev/jacinthfront/internal/base/hangup"
)

// The exit codes, listed in docs/ERRORS.md.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4
)

const description = `Serves very many LoRA adapters through thin entry instances and one side process beside each upstream.

Exit codes: 0 success, 1 failed or refused, 2 wrong arguments or settings, 3 conflict with a newer configuration, 4 outcome unknown.`

func main() {
	// A process that is told to read its settings again while it starts must not end. It is
	// yet to read them. Before main, package hangup ignores the signal, if it is built with cgo.
	signal.Ignore(syscall.SIGHUP)
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	parser := flags.NewNamedParser("jacinthfront", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	if err := addCommands(parser); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err)
}

// command is a subcommand with its help texts.
type command struct {
	name, short, long string
	data              any
}

func addCommands(parser *flags.Parser) error {
	commands := []command{
		{"entry", "Run an entry instance", "Runs an entry instance until SIGTERM or SIGINT, then drains it.\n\nExample: jacinthfront entry --settings entry.toml", &entryCommand{}},
		{"side", "Run a side process", "Runs the side process of one upstream until SIGTERM or SIGINT, then drains it.\n\nExample: jacinthfront side --settings side.toml", &sideCommand{}},
		{"relay", "Run an entry instance on the platform", "Runs an entry instance that reaches upstreams directly, until SIGTERM or SIGINT, then drains it.\n\nExample: jacinthfront relay --settings relay.toml", &relayCommand{}},
		{"loader", "Run a loader on the platform", "Runs the loader of one engine, which tells the engine to load and unload adapters.\n\nExample: jacinthfront loader --settings loader.toml", &loaderCommand{}},
		{"explain", "Explain where a request would go", "Asks a relay where a described request would go now, and why, without sending it. The candidates come in the order of preference.\n\nExample: jacinthfront explain --relay 10.0.0.1:9464 --host api.example.org --path /chat --organisation acme --model m --adapter a --prompt-tokens 900", &explainCommand{}},
		{"check", "Check a settings file", "Checks a settings file and prints the settings in effect, defaults included.\n\nExample: jacinthfront check --role side --settings side.toml", &checkCommand{}},
		{"config", "Show and change the configuration", "Reads the configuration and publishes patches through the operator interface of any instance.", &configCommand{}},
		{"key", "Issue, withdraw and list keys", "Manages callers' keys through the operator interface of any instance.", &keyCommand{}},
		{"status", "Show the state of the fleet", "Asks every listed instance for its version and when it was confirmed, requests, adapters, shards and faults.\n\nExample: jacinthfront status --format json", &statusCommand{}},
	}
	for _, command := range commands {
		if _, err := parser.AddCommand(command.name, command.short, command.long, command.data); err != nil {
			return err
		}
	}
	return nil
}

// exitCode prints an error and returns the exit code for it.
func exitCode(err error) int {
	if err == nil {
		return 0
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			return 0
		}
		fmt.Fprintln(os.Stderr, usage.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "jacinthfront:", err)
	reason, ok := fault.As(err)
	switch {
	case !ok:
		return exitFailed
	case reason.Kind() == fault.Invalid:
		return exitUsage
	case reason.Kind() == fault.Conflict:
		return exitConflict
	case reason.Ran() == fault.RunUnknown:
		return exitUnknown
	default:
		return exitFailed
	}
}
