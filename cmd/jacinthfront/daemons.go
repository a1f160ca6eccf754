package main

import (
	"context"
	"os"

	"github.com/BurntSushi/toml"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/internal/daemon/start"
)

// settingsFlag is the flag that all daemons have.
type settingsFlag struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"TOML settings file"`
}

// entryCommand runs an entry instance.
type entryCommand struct{ settingsFlag }

// Execute implements flags.Commander.
func (command *entryCommand) Execute([]string) error {
	settings, err := setup.LoadEntry(command.Settings)
	if err != nil {
		return err
	}
	process, err := start.Entry(settings, start.Environment{})
	if err != nil {
		return err
	}
	return waitForSignal(process)
}

// sideCommand runs a side process.
type sideCommand struct{ settingsFlag }

// Execute implements flags.Commander.
func (command *sideCommand) Execute([]string) error {
	settings, err := setup.LoadSide(command.Settings)
	if err != nil {
		return err
	}
	process, err := start.Side(settings, start.Environment{})
	if err != nil {
		return err
	}
	return waitForSignal(process)
}

// waitForSignal drains the process on the first SIGTERM or SIGINT. The signal
// handler is then removed, so that a second signal ends the process at once.
func waitForSignal(process *start.Process) error {
	ctx, stop := signalContext()
	defer stop()
	context.AfterFunc(ctx, stop)
	return process.DrainWhenDone(ctx)
}

// checkCommand checks a settings file and prints the settings in effect.
type checkCommand struct {
	settingsFlag
	Role string `long:"role" choice:"entry" choice:"side" choice:"relay" choice:"loader" required:"true" description:"role that the settings are for"`
}

// Execute implements flags.Commander.
func (command *checkCommand) Execute([]string) error {
	var settings any
	var err error
	switch command.Role {
	case "entry":
		settings, err = setup.LoadEntry(command.Settings)
	case "side":
		settings, err = setup.LoadSide(command.Settings)
	case "relay":
		settings, err = setup.LoadRelay(command.Settings)
	case "loader":
		settings, err = setup.LoadLoader(command.Settings)
	}
	if err != nil {
		return err
	}
	return toml.NewEncoder(os.Stdout).Encode(settings)
}
