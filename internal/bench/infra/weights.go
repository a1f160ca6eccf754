package infra

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Load is one load of an adapter from the weight store.
type Load struct {
	Adapter     string    `json:"adapter"`
	Version     uint32    `json:"version"`
	RequestedAt time.Time `json:"asked"`
	Started     time.Time `json:"started"`
	Ended       time.Time `json:"ended"`
	// InFlight is the number of loads requested and not ended when this load
	// started, including this load.
	InFlight int  `json:"in-flight"`
	Failed   bool `json:"failed,omitempty"`
}

// weightStore simulates the platform's weight store with the platform's model of
// load times: a token bucket limits the starts of loads, and a load takes LoadTime
// while at most LoadsAtFullSpeed loads are in flight, and proportionally longer
// above that. Loads that wait for their start count as in flight, so ordering too
// many loads at once slows all of them down.
type weightStore struct {
	config   Config
	limiter  *rate.Limiter
	faults   *FaultInjector
	counters *counters

	mutex    sync.Mutex
	inFlight int
}

// newWeightStore returns a weight store without loads in flight.
func newWeightStore(config Config, counters *counters) *weightStore {
	return &weightStore{
		config:   config,
		limiter:  rate.NewLimiter(rate.Limit(config.LoadRate), config.LoadBurst),
		faults:   NewFaultInjector(config.Seed+1, ModeDown, ModeRefusing, ModeSlow),
		counters: counters,
	}
}

// addInFlight adds to the number of loads in flight and returns the sum.
func (store *weightStore) addInFlight(by int) int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.inFlight += by
	return store.inFlight
}

// fetch waits as long as the load of an adapter takes and records the load. It
// returns an error if a fault affects the load or ctx ends before the load does.
func (store *weightStore) fetch(ctx context.Context, adapter string, version uint32) (err error) {
	load := Load{Adapter: adapter, Version: version, RequestedAt: time.Now()}
	store.addInFlight(1)
	defer func() {
		store.addInFlight(-1)
		load.Ended = time.Now()
		load.Failed = err != nil
		store.counters.addLoad(load)
	}()
	for _, mode := range []string{ModeDown, ModeRefusing} {
		if _, hit := store.faults.Inject(mode, adapter); hit {
			return &unavailableError{mode}
		}
	}
	reservation := store.limiter.Reserve()
	if err := sleep(ctx, reservation.Delay()); err != nil {
		reservation.Cancel()
		return err
	}
	load.Started = time.Now()
	load.InFlight = store.addInFlight(0)
	if err := sleep(ctx, store.loadDuration(load)); err != nil {
		return err
	}
	if _, down := store.faults.ActiveSince(ModeDown); down {
		return &unavailableError{ModeDown}
	}
	return nil
}

// sleep waits for a duration. It returns an error if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("weight store: %w", ctx.Err())
	}
}

// loadDuration returns how long a load takes once it has started.
func (store *weightStore) loadDuration(load Load) time.Duration {
	duration := store.config.LoadTime
	if full := store.config.LoadsAtFullSpeed; load.InFlight > full {
		duration = duration * time.Duration(load.InFlight) / time.Duration(full)
	}
	if fault, hit := store.faults.Inject(ModeSlow, load.Adapter); hit {
		duration += time.Duration(fault.Delay)
	}
	return duration
}

// unavailableError reports that a fault of the given mode affects a load.
type unavailableError struct{ mode string }

// Error implements error.
func (err *unavailableError) Error() string { return "weight store: " + err.mode }

// serve handles GET /v1/weights/ADAPTER/VERSION.
func (store *weightStore) serve(writer http.ResponseWriter, request *http.Request) {
	adapter := request.PathValue("adapter")
	version, err := strconv.ParseUint(request.PathValue("version"), 10, 32)
	if err != nil {
		WriteError(writer, http.StatusBadRequest, "version %q is not a number", request.PathValue("version"))
		return
	}
	err = store.fetch(request.Context(), adapter, uint32(version))
	var unavailable *unavailableError
	switch {
	case err == nil:
		WriteJSON(writer, map[string]any{"adapter": adapter, "version": version})
	case errors.As(err, &unavailable) && unavailable.mode == ModeDown:
		AbortConnection()
	default:
		WriteRetryableError(writer, http.StatusServiceUnavailable, time.Second, "%v", err)
	}
}
