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
	Adapter string    `json:"adapter"`
	Version uint32    `json:"version"`
	Asked   time.Time `json:"asked"`
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended"`
	// InFlight is the number of loads asked for and not ended when this one
	// started, itself included.
	InFlight int  `json:"in-flight"`
	Failed   bool `json:"failed,omitempty"`
}

// weightStore serves adapter weights by the load-time law: loads start at a
// limited rate with a burst, and take LoadTime while at most LoadsAtFullSpeed
// are in flight and proportionally longer beyond. Loads that wait for their
// start count as in flight, so that a fleet that orders too many slows itself.
type weightStore struct {
	config  Config
	limiter *rate.Limiter
	faults  *FaultInjector
	counts  *counts

	mutex    sync.Mutex
	inFlight int
}

// newWeightStore returns a store.
func newWeightStore(config Config, counts *counts) *weightStore {
	return &weightStore{
		config:  config,
		limiter: rate.NewLimiter(rate.Limit(config.LoadRate), config.LoadBurst),
		faults:  NewFaultInjector(config.Seed+1, ModeDown, ModeRefusing, ModeSlow),
		counts:  counts,
	}
}

// change adjusts the number of loads in flight and returns it.
func (store *weightStore) change(by int) int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.inFlight += by
	return store.inFlight
}

// fetch loads an adapter.
func (store *weightStore) fetch(ctx context.Context, adapter string, version uint32) (err error) {
	load := Load{Adapter: adapter, Version: version, Asked: time.Now()}
	store.change(1)
	defer func() {
		store.change(-1)
		load.Ended = time.Now()
		load.Failed = err != nil
		store.counts.addLoad(load)
	}()
	for _, mode := range []string{ModeDown, ModeRefusing} {
		if _, hit := store.faults.Inject(mode, adapter); hit {
			return &unavailableError{mode}
		}
	}
	reservation := store.limiter.Reserve()
	if err := wait(ctx, reservation.Delay()); err != nil {
		reservation.Cancel()
		return err
	}
	load.Started = time.Now()
	load.InFlight = store.change(0)
	if err := wait(ctx, store.duration(load)); err != nil {
		return err
	}
	if _, down := store.faults.ActiveSince(ModeDown); down {
		return &unavailableError{ModeDown}
	}
	return nil
}

// wait returns after a duration, or with an error when the context ends before.
func wait(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("weight store: %w", ctx.Err())
	}
}

// duration returns how long a started load takes.
func (store *weightStore) duration(load Load) time.Duration {
	duration := store.config.LoadTime
	if full := store.config.LoadsAtFullSpeed; load.InFlight > full {
		duration = duration * time.Duration(load.InFlight) / time.Duration(full)
	}
	if fault, hit := store.faults.Inject(ModeSlow, load.Adapter); hit {
		duration += time.Duration(fault.Delay)
	}
	return duration
}

// unavailableError says that a fault of the given mode affects a load.
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
