package main

import (
	"context"
	"fmt"
	"os"
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
	return platform.RunRelay(ctx, settings, command.reloads(ctx))
}

// reloads returns the bounds of the settings file each time SIGHUP says that it
// has changed. A file that cannot be used is reported and passed over.
func (command *relayCommand) reloads(ctx context.Context) <-chan setup.RelayBounds {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	bounds := make(chan setup.RelayBounds)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
			}
			settings, err := setup.LoadRelay(command.Settings)
			if err != nil {
				fmt.Fprintln(os.Stderr, "jacinthfront: settings kept as they were:", err)
				continue
			}
			select {
			case <-ctx.Done():
				return
			case bounds <- settings.Bounds:
			}
		}
	}()
	return bounds
}

// loaderCommand runs the process beside an engine on the platform.
type loaderCommand struct{ settingsFlag }

// Execute implements flags.Commander.
func (command *loaderCommand) Execute([]string) error {
	settings, err := setup.LoadLoader(command.Settings)
	if err != nil {
		return err
	}
	// Nothing in a loader's settings changes while its engine lives.
	signal.Ignore(syscall.SIGHUP)
	ctx, stop := untilSignal()
	defer stop()
	return platform.RunLoader(ctx, settings)
}

// untilSignal returns a context that the first SIGTERM or SIGINT ends.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
