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
	"jacinthfront.dev/jacinthfront/internal/link/depart"
)

// drainAnswerMargin is how long before the end of a planned stop the requests that arrived
// during it must be answered.
const drainAnswerMargin = 500 * time.Millisecond

// Entry is an entry instance, which serves the HTTP interface of callers.
type Entry struct {
	config   Config
	server   *http.Server
	services *serviceTable
	history  *history
	inFlight atomic.Int64
	// drainEnd is when Drain gives up, nil before it was called.
	drainEnd atomic.Pointer[time.Time]
	// background counts the cancel calls that outlive their requests.
	background sync.WaitGroup
	// drained is closed when Drain has ended.
	drained chan struct{}
	// callers watches for callers that leave.
	callers *depart.Watch
}

// New returns an Entry.
func New(config Config) (*Entry, error) {
	if err := config.setDefaults(); err != nil {
		return nil, err
	}
	entry := &Entry{config: config, services: newServiceTable(&config), history: newHistory(historySize), drained: make(chan struct{}), callers: depart.New()}
	handler, err := entry.handler()
	if err != nil {
		return nil, err
	}
	entry.server = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: config.Limits.HeaderTimeout,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    config.Limits.MaxHeaderBytes,
		ConnContext:       depart.WithConn,
	}
	entry.services.update()
	return entry, nil
}

// Serve serves callers on the listener until Drain has ended or ctx ends.
func (entry *Entry) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go entry.services.run(ctx, entry.config.RefreshInterval)
	go entry.callers.Run(ctx)
	stop := context.AfterFunc(ctx, func() { _ = entry.server.Close() })
	defer stop()
	err := entry.server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	if entry.draining() {
		select {
		case <-entry.drained:
		case <-ctx.Done():
		}
	}
	return nil
}

// Ready reports whether the load balancer may send requests: the instance is not
// draining, the configuration has been read, and every service has had an
// upstream that is not draining.
func (entry *Entry) Ready() bool {
	return !entry.draining() && entry.config.ConfigSource.Current().Version() > 0 && entry.services.allHadUpstream()
}

// Drain makes the instance unready, keeps serving for DrainDelay while the load
// balancer stops sending requests, and then waits for the requests in flight
// until the drain timeout. It is called once.
func (entry *Entry) Drain(ctx context.Context) error {
	defer close(entry.drained)
	ctx, cancel := context.WithTimeout(ctx, entry.config.Limits.DrainTimeout)
	defer cancel()
	end, _ := ctx.Deadline()
	entry.drainEnd.Store(&end)
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

// draining reports whether Drain was called.
func (entry *Entry) draining() bool { return entry.drainEnd.Load() != nil }

// answerLimit returns when a request that arrived at a time must be answered: within
// RequestTimeout, and before a planned stop cuts it.
func (entry *Entry) answerLimit(arrived time.Time) time.Time {
	limit := arrived.Add(entry.config.Limits.RequestTimeout)
	if end := entry.drainEnd.Load(); end != nil && limit.After(end.Add(-drainAnswerMargin)) {
		return end.Add(-drainAnswerMargin)
	}
	return limit
}

// acquireInFlight counts a request in flight, or refuses it at the limit.
func (entry *Entry) acquireInFlight() *fault.Fault {
	if entry.inFlight.Add(1) > int64(entry.config.Limits.MaxInFlight) {
		entry.inFlight.Add(-1)
		entry.config.Counters.Add("refused-in-flight", 1)
		return fault.New(fault.Overloaded, fault.NotRun,
			"this instance serves as many requests as it may; come back after the time in Retry-After").WithRetryAfter(time.Second)
	}
	return nil
}

func (entry *Entry) releaseInFlight() { entry.inFlight.Add(-1) }
