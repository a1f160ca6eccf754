// Package infra simulates the platform: its log service, weight store and instance
// list. It serves the protocols of section 14 of the design page. It also holds
// what all simulators share: fault injection, JSON over HTTP, a log of request
// headers, and an in-memory network.
package infra

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Config configures a Platform. DefaultConfig holds the defaults.
type Config struct {
	// Seed determines the jitter of the instance list and the calls that
	// fractional faults affect.
	Seed uint64
	// Retention is the age at which log records expire.
	Retention time.Duration
	// AppendRate limits the appends per second over all streams.
	AppendRate float64
	// LoadRate and LoadBurst configure the token bucket, in loads per second and
	// loads, that limits the starts of loads.
	LoadRate  float64
	LoadBurst int
	// LoadTime is the duration of a load while at most LoadsAtFullSpeed loads
	// are in flight.
	LoadTime         time.Duration
	LoadsAtFullSpeed int
	// ListLag is the minimum time until a change of the instance list becomes
	// visible. A random part of ListLagJitter is added to it.
	ListLag, ListLagJitter time.Duration
}

// DefaultConfig returns the limits and times of section 1 of the design page.
func DefaultConfig() Config {
	return Config{
		Seed: 1, Retention: 7 * 24 * time.Hour, AppendRate: 300,
		LoadRate: 3, LoadBurst: 8, LoadTime: 250 * time.Millisecond, LoadsAtFullSpeed: 8,
		ListLag: 500 * time.Millisecond,
	}
}

// validate returns an error that names an invalid value.
func (config Config) validate() error {
	switch {
	case config.Retention <= 0:
		return fmt.Errorf("retention %v; write a time above 0", config.Retention)
	case config.AppendRate <= 0:
		return fmt.Errorf("append rate %v; write a rate above 0", config.AppendRate)
	case config.LoadRate <= 0 || config.LoadBurst <= 0:
		return fmt.Errorf("load rate %v with burst %d; write values above 0", config.LoadRate, config.LoadBurst)
	case config.LoadTime <= 0 || config.LoadsAtFullSpeed <= 0:
		return fmt.Errorf("load time %v for up to %d loads; write values above 0", config.LoadTime, config.LoadsAtFullSpeed)
	case config.ListLag < 0 || config.ListLagJitter < 0:
		return fmt.Errorf("list lag %v with spread %v; write times of at least 0", config.ListLag, config.ListLagJitter)
	}
	return nil
}

// Platform is an http.Handler that serves the log service, the weight store and
// the instance list.
type Platform struct {
	mux      *http.ServeMux
	counters *counters
	log      *logService
	store    *weightStore
	list     *instanceList
}

// New returns a Platform without records and instances, or an error if the
// configuration is invalid.
func New(config Config) (*Platform, error) {
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("platform stand-in: %w", err)
	}
	counters := &counters{}
	platform := &Platform{
		mux: http.NewServeMux(), counters: counters,
		log: newLogService(config, counters), store: newWeightStore(config, counters), list: newInstanceList(config),
	}
	platform.mux.HandleFunc("POST /v1/streams/{name}/records", platform.log.serveAppend)
	platform.mux.HandleFunc("GET /v1/streams/{name}/records", platform.log.serveRead)
	platform.mux.HandleFunc("GET /v1/weights/{adapter}/{version}", platform.store.serve)
	platform.mux.HandleFunc("GET /v1/instances", platform.list.serveList)
	platform.mux.HandleFunc("PUT /v1/instances/{id}", platform.list.servePut)
	platform.mux.HandleFunc("DELETE /v1/instances/{id}", platform.list.serveDelete)
	platform.mux.HandleFunc("POST /control", platform.serveControl)
	platform.mux.HandleFunc("GET /observed", func(writer http.ResponseWriter, _ *http.Request) {
		WriteJSON(writer, platform.Observed())
	})
	return platform, nil
}

// ServeHTTP implements http.Handler.
func (platform *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	platform.mux.ServeHTTP(writer, request)
}

// Fetch loads an adapter from the weight store without HTTP. It returns an error
// if a fault affects the load or ctx ends before the load does.
func (platform *Platform) Fetch(ctx context.Context, adapter string, version uint32) error {
	return platform.store.fetch(ctx, adapter, version)
}

// Append adds a record to a stream without HTTP, rate limit or faults, and
// returns its offset.
func (platform *Platform) Append(stream string, data []byte) uint64 {
	return platform.log.append(stream, slices.Clone(data))
}

// Records returns the records of a stream that have not expired.
func (platform *Platform) Records(stream string) []Record {
	platform.log.mutex.Lock()
	defer platform.log.mutex.Unlock()
	return slices.Clone(platform.log.openStream(stream).records)
}

// PutInstance adds or changes an instance. Readers see the change after the lag.
func (platform *Platform) PutInstance(instance Instance) error {
	if err := instance.validate(); err != nil {
		return fmt.Errorf("instance %q: %w", instance.ID, err)
	}
	platform.list.put(instance, false)
	return nil
}

// RemoveInstance removes an instance. Readers see the change after the lag.
func (platform *Platform) RemoveInstance(id string) { platform.list.put(Instance{ID: id}, true) }

// Instances returns the instances that readers see now.
func (platform *Platform) Instances() []Instance {
	platform.list.mutex.Lock()
	defer platform.list.mutex.Unlock()
	return platform.list.view()
}

// Control holds the faults to set. A part whose fault is nil keeps its faults.
type Control struct {
	Log   *Fault `json:"log,omitempty"`
	Store *Fault `json:"store,omitempty"`
	List  *Fault `json:"list,omitempty"`
}

// Control sets the faults of all parts. If one of them is invalid, it returns an
// error and sets none.
func (platform *Platform) Control(control Control) error {
	parts := []struct {
		name   string
		faults *FaultInjector
		fault  *Fault
	}{
		{"log", platform.log.faults, control.Log},
		{"store", platform.store.faults, control.Store},
		{"list", platform.list.faults, control.List},
	}
	for _, part := range parts {
		if err := part.faults.Check(part.fault); err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
	}
	for _, part := range parts {
		part.faults.Set(part.fault)
	}
	return nil
}

// serveControl handles POST /control.
func (platform *Platform) serveControl(writer http.ResponseWriter, request *http.Request) {
	var control Control
	if !DecodeJSON(writer, request, &control) {
		return
	}
	if err := platform.Control(control); err != nil {
		WriteError(writer, http.StatusBadRequest, "%v", err)
		return
	}
	WriteJSON(writer, control)
}
