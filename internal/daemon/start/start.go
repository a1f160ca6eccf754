// Package start builds entry instances and side processes from their settings
// and runs them until they are stopped.
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

// Environment holds the network functions and the logger of a process. Tests
// replace the network by in-memory connections. The zero value uses the real
// network.
type Environment struct {
	// Listen opens a listener; nil means TCP.
	Listen func(address string) (net.Listener, error)
	// Dial connects to other instances; nil means TCP.
	Dial conns.Dialer
	// HTTP sends the requests to the platform and the upstream.
	HTTP *http.Client
	// Logger overrides the logger that the settings describe.
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
	components *components
	cancel     context.CancelFunc
	drain      func(ctx context.Context) error
	ready      func() bool
	// status returns the role and the details of the state for operators.
	status func() (role string, detail any)

	stopOnce sync.Once
	done     chan struct{}
	err      error
}

// Ready reports whether the process takes new requests.
func (process *Process) Ready() bool { return process.ready() }

// Status returns the role and the details of the state, which operators get as
// JSON.
func (process *Process) Status() (role string, detail any) { return process.status() }

// Config returns the current configuration.
func (process *Process) Config() *conf.Config { return process.components.syncer.Current() }

// ConfigVersion returns the version of the current configuration.
func (process *Process) ConfigVersion() uint64 { return process.Config().Version() }

// Done returns a channel that is closed when all components of the process have
// ended.
func (process *Process) Done() <-chan struct{} { return process.done }

// Err returns the error of the component that ended the process, or nil if it was
// stopped. It is valid once Done is closed.
func (process *Process) Err() error { return process.err }

// Stop drains the process and ends it. The drain ends early if ctx does. The first
// call returns the error of the drain, later ones return nil.
func (process *Process) Stop(ctx context.Context) error {
	var err error
	process.stopOnce.Do(func() {
		err = process.drain(ctx)
		process.cancel()
		<-process.done
	})
	return err
}

// Kill ends the process at once, without a drain.
func (process *Process) Kill() {
	process.cancel()
	<-process.done
}

// DrainWhenDone waits until ctx ends and then drains and ends the process. If a component
// fails before, it returns that error.
func (process *Process) DrainWhenDone(ctx context.Context) error {
	select {
	case <-process.done:
		return process.err
	case <-ctx.Done():
		return process.Stop(context.WithoutCancel(ctx))
	}
}
