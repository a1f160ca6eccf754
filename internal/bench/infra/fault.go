package infra

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Fault asks a stand-in to misbehave in one way.
type Fault struct {
	// Mode names the way; "none" ends all faults of the part.
	Mode string `json:"mode"`
	// For is how long the fault lasts; 0 means until it is ended.
	For Duration `json:"for,omitempty"`
	// Delay is the additional time of slow modes.
	Delay Duration `json:"delay,omitempty"`
	// Fraction is the part of calls affected; 0 stands for all.
	Fraction float64 `json:"share,omitempty"`
	// Count is the number of calls affected; 0 stands for no limit.
	Count int `json:"count,omitempty"`
	// AfterTokens is the number of tokens after which streams are cut.
	AfterTokens int `json:"after,omitempty"`
	// ID restricts the fault to one stream, adapter, instance or request id;
	// empty affects all.
	ID string `json:"id,omitempty"`
}

// modeNone ends all faults of a part.
const modeNone = "none"

// FaultInjector holds the faults in force at one part of a stand-in.
type FaultInjector struct {
	modes  []string
	mutex  sync.Mutex
	random *rand.Rand
	active map[string]activeFault
}

// activeFault is a fault with its period.
type activeFault struct {
	Fault
	since, until time.Time
}

// NewFaultInjector returns a part without faults that knows the given modes.
func NewFaultInjector(seed uint64, modes ...string) *FaultInjector {
	return &FaultInjector{modes: modes, random: rand.New(rand.NewPCG(seed, uint64(len(modes)))), active: map[string]activeFault{}}
}

// Check returns an error if the fault cannot be set.
func (faults *FaultInjector) Check(fault *Fault) error {
	switch {
	case fault == nil, fault.Mode == modeNone:
		return nil
	case !slices.Contains(faults.modes, fault.Mode):
		return fmt.Errorf("mode %q is not known; write one of none, %s", fault.Mode, strings.Join(faults.modes, ", "))
	case fault.Fraction < 0 || fault.Fraction > 1:
		return fmt.Errorf("share %v is not between 0 and 1", fault.Fraction)
	case fault.For < 0 || fault.Delay < 0 || fault.Count < 0 || fault.AfterTokens < 0:
		return fmt.Errorf("for, delay, count and after of mode %q must not be negative", fault.Mode)
	}
	return nil
}

// Set puts a checked fault in force. A nil fault changes nothing.
func (faults *FaultInjector) Set(fault *Fault) {
	if fault == nil {
		return
	}
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	if fault.Mode == modeNone {
		clear(faults.active)
		return
	}
	active := activeFault{Fault: *fault, since: time.Now()}
	if fault.For > 0 {
		active.until = active.since.Add(time.Duration(fault.For))
	}
	faults.active[fault.Mode] = active
}

// Inject reports whether a call is affected by a mode, and counts it.
func (faults *FaultInjector) Inject(mode, id string) (Fault, bool) {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	active, ok := faults.current(mode)
	if !ok || active.ID != "" && active.ID != id {
		return Fault{}, false
	}
	if active.Fraction > 0 && faults.random.Float64() >= active.Fraction {
		return Fault{}, false
	}
	if active.Count > 0 {
		active.Count--
		faults.active[mode] = active
		if active.Count == 0 {
			delete(faults.active, mode)
		}
	}
	return active.Fault, true
}

// ActiveSince returns when a mode came into force, if it is in force.
func (faults *FaultInjector) ActiveSince(mode string) (time.Time, bool) {
	faults.mutex.Lock()
	defer faults.mutex.Unlock()
	active, ok := faults.current(mode)
	return active.since, ok
}

// current returns the fault of a mode and removes one that is over.
func (faults *FaultInjector) current(mode string) (activeFault, bool) {
	active, ok := faults.active[mode]
	if ok && !active.until.IsZero() && !time.Now().Before(active.until) {
		delete(faults.active, mode)
		return activeFault{}, false
	}
	return active, ok
}
