// Package start assembles entry instances and side processes from their
// settings and runs them until they are told to stop.
package start

import (
	"context"
	"net"
	"net/http"
	"sync"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/wire/conns"
)

// Environment is what surrounds a process. Tests replace the network by
// in-memory connections; the zero value is the real one.
type Environment struct {
	// Listen defaults to TCP.
	Listen func(address string) (net.Listener, error)
	// Dial defaults to TCP.
	Dial conns.Dialer
	// HTTP sends requests to platform and upstream.
	HTTP *http.Client
	// Logger defaults to the one of the settings.
	Logger *zap.Logger
}

func (environment Environment) withDefaults() Environment {
	if environment.Listen == nil {
		environment.Listen = func(address string) (net.Listener, error) {
			return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		}
	}
	return environment
}

// Process is a running entry instance or side process.
type Process struct {
	parts *parts
	serve context.CancelFunc
	drain func(ctx context.Context) error
	ready func() bool
	// status returns the role and the details for operators.
	status func() (role string, detail any)

	stopping sync.Once
	done     chan struct{}
	err      error
}

// Ready reports whether the process may get new work.
func (process *Process) Ready() bool { return process.ready() }

// Status returns the role and the details of the state.
func (process *Process) Status() (role string, detail any) { return process.status() }

// Config returns the configuration in force.
func (process *Process) Config() *conf.Config { return process.parts.syncer.Current() }

// Version returns the number of the configuration in force.
func (process *Process) Version() uint64 { return process.Config().Version() }

// Done is closed when all parts of the process have ended.
func (process *Process) Done() <-chan struct{} { return process.done }

// Err returns why the process ended; it is valid after Done.
func (process *Process) Err() error { return process.err }

// Stop drains the process and ends it. The end of ctx cuts the drain short.
func (process *Process) Stop(ctx context.Context) error {
	var err error
	process.stopping.Do(func() {
		err = process.drain(ctx)
		process.serve()
		<-process.done
	})
	return err
}

// Kill ends the process at once, without a drain.
func (process *Process) Kill() {
	process.serve()
	<-process.done
}

// Wait runs until ctx ends, then drains the process, or until a part fails.
func (process *Process) Wait(ctx context.Context) error {
	select {
	case <-process.done:
		return process.err
	case <-ctx.Done():
		return process.Stop(context.WithoutCancel(ctx))
	}
}
