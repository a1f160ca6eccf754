package main

import (
	"context"
	"os/signal"
	"syscall"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/platform"
)

// relayCommand runs an entry instance on the platform.
type relayCommand struct{ settingsFlag }

// Execute implements flags.Commander.
func (command *relayCommand) Execute([]string) error {
	settings, err := setup.LoadRelay(command.Settings)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	return platform.RunRelay(ctx, settings)
}

// loaderCommand runs the process beside an engine on the platform.
type loaderCommand struct{ settingsFlag }

// Execute implements flags.Commander.
func (command *loaderCommand) Execute([]string) error {
	settings, err := setup.LoadLoader(command.Settings)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	return platform.RunLoader(ctx, settings)
}

// untilSignal returns a context that the first SIGTERM or SIGINT ends.
func untilSignal() (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGHUP)
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
