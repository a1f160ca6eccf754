package infra

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Fault describes a failure to inject into one part of a simulator.
type Fault struct {
	// Mode names the kind of failure; "none" ends all faults of the part.
	Mode string `json:"mode"`
	// For is how long the fault lasts; 0 means until it is replaced or ended.
	For Duration `json:"for,omitempty"`
	// Delay is the additional latency of slow modes.
	Delay Duration `json:"delay,omitempty"`
	// Fraction is the fraction of calls affected; 0 means all.
	Fraction float64 `json:"share,omitempty"`
	// Count is the number of calls affected; 0 means no limit.
	Count int `json:"count,omitempty"`
	// AfterTokens is the number of tokens after which a stream is interrupted.
	AfterTokens int `json:"after,omitempty"`
	// ID restricts the fault to the stream, adapter, instance or request with
	// this name or id; empty affects all.
	ID string `json:"id,omitempty"`
}

// modeNone ends all faults of a part of a simulator.
const modeNone = "none"

// FaultInjector holds the active faults of one part of a simulator, at most one
// of each mode.
type FaultInjector struct {
	modes  []string
	mutex  sync.Mutex
	random *rand.Rand
	active map[string]activeFault
}

// activeFault is a fault with its start and end. A zero end means no end.
type activeFault struct {
	Fault
	startedAt, endsAt time.Time
}

// NewFaultInjector returns an injector without faults that accepts the given
// modes. The seed determines which calls a fractional fault affects.
func NewFaultInjector(seed uint64, modes ...string) *FaultInjector {
	return &FaultInjector{modes: modes, random: rand.New(rand.NewPCG(seed, uint64(len(modes)))), active: map[string]activeFault{}}
}

// Check returns an error if the fault cannot be set.
func (injector *FaultInjector) Check(fault *Fault) error {
	switch {
	case fault == nil, fault.Mode == modeNone:
		return nil
	case !slices.Contains(injector.modes, fault.Mode):
		return fmt.Errorf("mode %q is not known; write one of none, %s", fault.Mode, strings.Join(injector.modes, ", "))
	case fault.Fraction < 0 || fault.Fraction > 1:
		return fmt.Errorf("share %v is not between 0 and 1", fault.Fraction)
	case fault.For < 0 || fault.Delay < 0 || fault.Count < 0 || fault.AfterTokens < 0:
		return fmt.Errorf("for, delay, count and after of mode %q must not be negative", fault.Mode)
	}
	return nil
}

// Set activates a fault that Check accepted. A nil fault changes nothing.
func (injector *FaultInjector) Set(fault *Fault) {
	if fault == nil {
		return
	}
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	if fault.Mode == modeNone {
		clear(injector.active)
		return
	}
	active := activeFault{Fault: *fault, startedAt: time.Now()}
	if fault.For > 0 {
		active.endsAt = active.startedAt.Add(time.Duration(fault.For))
	}
	injector.active[fault.Mode] = active
}

// Inject reports whether the active fault of a mode affects a call for id, and
// returns the fault. An affected call counts against the fault's Count.
func (injector *FaultInjector) Inject(mode, id string) (Fault, bool) {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	active, ok := injector.lookup(mode)
	if !ok || active.ID != "" && active.ID != id {
		return Fault{}, false
	}
	if active.Fraction > 0 && injector.random.Float64() >= active.Fraction {
		return Fault{}, false
	}
	if active.Count > 0 {
		active.Count--
		injector.active[mode] = active
		if active.Count == 0 {
			delete(injector.active, mode)
		}
	}
	return active.Fault, true
}

// ActiveSince returns when the fault of a mode was set, and whether it is active.
func (injector *FaultInjector) ActiveSince(mode string) (time.Time, bool) {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	active, ok := injector.lookup(mode)
	return active.startedAt, ok
}

// lookup returns the active fault of a mode, and removes it if it has expired.
func (injector *FaultInjector) lookup(mode string) (activeFault, bool) {
	active, ok := injector.active[mode]
	if ok && !active.endsAt.IsZero() && !time.Now().Before(active.endsAt) {
		delete(injector.active, mode)
		return activeFault{}, false
	}
	return active, ok
}
