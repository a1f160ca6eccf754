package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"jacinthfront.dev/jacinthfront/internal/base/setup"
	"jacinthfront.dev/jacinthfront/platform"
)

// relayCommand runs an entry instance on the platform.
type relayCommand struct{ settingsFlag }

// Execute implements flags.Commander.
func (command *relayCommand) Execute([]string) error {
	// From here on, a changed file is read again.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	settings, err := setup.LoadRelay(command.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(settings.HeapLimit())
	ctx, stop := signalContext()
	defer stop()
	// Bounds may also change during a planned stop.
	return platform.RunRelay(ctx, settings, command.watchBounds(context.WithoutCancel(ctx), hangups))
}

// watchBounds sends the bounds of the settings file each time it is read again on a
// signal. A file that cannot be used is reported, and the bounds in force stay.
func (command *relayCommand) watchBounds(ctx context.Context, signals <-chan os.Signal) <-chan setup.RelayBounds {
	bounds := make(chan setup.RelayBounds)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			settings, err := setup.LoadRelay(command.Settings)
			if err != nil {
				fmt.Fprintln(os.Stderr, "jacinthfront: cannot reload the settings, keeping the current bounds:", err)
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

// loaderCommand runs a loader, the process beside an engine on the platform.
type loaderCommand struct{ settingsFlag }

// Execute implements flags.Commander.
func (command *loaderCommand) Execute([]string) error {
	settings, err := setup.LoadLoader(command.Settings)
	if err != nil {
		return err
	}
	// A loader's settings do not change while its engine runs: main ignores SIGHUP.
	ctx, stop := signalContext()
	defer stop()
	return platform.RunLoader(ctx, settings)
}

// signalContext returns a context that the first SIGTERM or SIGINT cancels.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
