package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// Entry is an entry instance.
type Entry struct {
	config   Config
	server   *http.Server
	fleet    *fleet
	places   *memory
	inFlight atomic.Int64
	draining atomic.Bool
	// background counts cancellations that outlive their requests.
	background sync.WaitGroup
	// drained is closed when Drain has ended.
	drained chan struct{}
}

// New returns an Entry.
func New(config Config) (*Entry, error) {
	if err := config.complete(); err != nil {
		return nil, err
	}
	entry := &Entry{config: config, fleet: newFleet(&config), places: newMemory(memorySize), drained: make(chan struct{})}
	handler, err := entry.handler()
	if err != nil {
		return nil, err
	}
	entry.server = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: config.Limits.HeaderTimeout,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    config.Limits.MaxHeaderBytes,
	}
	entry.fleet.update()
	return entry, nil
}

// Serve serves callers on the listener until Drain has ended or ctx ends.
func (entry *Entry) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go entry.fleet.run(ctx, entry.config.RefreshInterval)
	stop := context.AfterFunc(ctx, func() { _ = entry.server.Close() })
	defer stop()
	err := entry.server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	if entry.draining.Load() {
		select {
		case <-entry.drained:
		case <-ctx.Done():
		}
	}
	return nil
}

// Ready reports whether the load balancer may send requests: the configuration
// has been read, and every service has an upstream that is not leaving.
func (entry *Entry) Ready() bool {
	return !entry.draining.Load() && entry.config.ConfigSource.Current().Version() > 0 && entry.fleet.populated()
}

// Drain makes the instance unready, keeps serving until the load balancer has
// noticed, and then waits for the requests in flight, within the drain limit.
// It is called once.
func (entry *Entry) Drain(ctx context.Context) error {
	defer close(entry.drained)
	ctx, cancel := context.WithTimeout(ctx, entry.config.Limits.DrainTimeout)
	defer cancel()
	entry.draining.Store(true)
	entry.server.SetKeepAlivesEnabled(false)
	select {
	case <-time.After(entry.config.Limits.DrainDelay):
	case <-ctx.Done():
	}
	err := entry.server.Shutdown(ctx)
	if err != nil {
		_ = entry.server.Close()
	}
	entry.background.Wait()
	return err
}

// admit takes one of the places for requests in flight.
func (entry *Entry) admit() *fault.Fault {
	if entry.inFlight.Add(1) > int64(entry.config.Limits.MaxInFlight) {
		entry.inFlight.Add(-1)
		entry.config.Counters.Add("refused-in-flight", 1)
		return fault.New(fault.Overloaded, fault.NotRun,
			"this instance serves as many requests as it may; come back after the time in Retry-After").WithRetryAfter(time.Second)
	}
	return nil
}

func (entry *Entry) leave() { entry.inFlight.Add(-1) }
