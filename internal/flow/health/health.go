// Package health ejects upstreams that fail repeatedly, as one process sees
// them. It affects only latency: an ejected upstream is passed over, and other
// checks decide what may run.
package health

import (
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// Defaults of Config.
const (
	DefaultMaxFailures     = 3
	DefaultInitialEjection = time.Second
	DefaultMaxEjection     = 30 * time.Second
	DefaultProbeTimeout    = 10 * time.Second
)

// Config configures a Tracker. Zero values mean the defaults.
type Config struct {
	// MaxFailures is the number of consecutive failures that ejects an
	// upstream.
	MaxFailures int
	// InitialEjection is the length of the first ejection. It doubles with each
	// failed probe up to MaxEjection.
	InitialEjection time.Duration
	MaxEjection     time.Duration
	// ProbeTimeout is the time after which a probe without an outcome counts as
	// lost.
	ProbeTimeout time.Duration
}

// Tracker tracks the health of the upstreams of one service. Its methods may be
// called concurrently.
type Tracker struct {
	config       Config
	mutex        sync.RWMutex
	upstreams    map[string]*upstream
	ejectedCount int
}

// upstream stays ejected from the failure that ejects it until a request or
// probe succeeds.
type upstream struct {
	failures  int
	ejected   bool
	ejection  time.Duration // length of the last ejection
	probeAt   time.Time     // when the next probe is allowed
	probeSent bool          // a probe has no outcome yet
}

// State says how an upstream may be used.
type State uint8

const (
	// Usable means that requests may be sent.
	Usable State = iota
	// Ejected means that no request should be sent.
	Ejected
	// ProbeDue means that one request may be sent if TryProbe allows it.
	ProbeDue
)

// New returns a Tracker without upstreams, or a fault if a value is out of
// range.
func New(config Config) (*Tracker, error) {
	if config.MaxFailures == 0 {
		config.MaxFailures = DefaultMaxFailures
	}
	for _, setting := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{{&config.InitialEjection, DefaultInitialEjection}, {&config.MaxEjection, DefaultMaxEjection}, {&config.ProbeTimeout, DefaultProbeTimeout}} {
		if *setting.value == 0 {
			*setting.value = setting.fallback
		}
	}
	if config.MaxFailures < 0 || config.InitialEjection < 0 || config.MaxEjection < config.InitialEjection || config.ProbeTimeout < 0 {
		return nil, fault.New(fault.Invalid, fault.NotRun,
			"ejection after %d failures, for %v to %v, probe timeout %v; set positive values, and the longest ejection to at least the first",
			config.MaxFailures, config.InitialEjection, config.MaxEjection, config.ProbeTimeout)
	}
	return &Tracker{config: config, upstreams: map[string]*upstream{}}, nil
}

// SetUpstreams sets the upstreams of the service and keeps the state of those
// that remain. If more than half of them would be ejected, those whose next
// probe is earliest become usable again.
func (tracker *Tracker) SetUpstreams(ids []string) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	next := make(map[string]*upstream, len(ids))
	tracker.ejectedCount = 0
	for _, id := range ids {
		known := tracker.upstreams[id]
		if known == nil {
			known = &upstream{}
		}
		if known.ejected && next[id] == nil {
			tracker.ejectedCount++
		}
		next[id] = known
	}
	tracker.upstreams = next
	for 2*tracker.ejectedCount > len(tracker.upstreams) {
		tracker.endEjection()
	}
}

// endEjection makes the ejected upstream with the earliest next probe usable.
func (tracker *Tracker) endEjection() {
	var first *upstream
	for _, known := range tracker.upstreams {
		if known.ejected && (first == nil || known.probeAt.Before(first.probeAt)) {
			first = known
		}
	}
	*first = upstream{}
	tracker.ejectedCount--
}

// State returns how an upstream may be used now. An unknown one is usable.
func (tracker *Tracker) State(id string) State {
	tracker.mutex.RLock()
	defer tracker.mutex.RUnlock()
	upstream := tracker.upstreams[id]
	switch {
	case upstream == nil || !upstream.ejected:
		return Usable
	case time.Now().Before(upstream.probeAt):
		return Ejected
	default:
		return ProbeDue
	}
}

// TryProbe takes the only probe of an upstream whose ejection has ended, and
// reports whether the caller may send it. For an upstream that is not ejected
// it returns true. The caller reports the outcome by RecordSuccess or
// RecordFailure; without it, the next probe is allowed after ProbeTimeout.
func (tracker *Tracker) TryProbe(id string) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	upstream := tracker.upstreams[id]
	now := time.Now()
	if upstream == nil || !upstream.ejected {
		return true
	}
	if now.Before(upstream.probeAt) {
		return false
	}
	upstream.probeAt = now.Add(tracker.config.ProbeTimeout)
	upstream.probeSent = true
	return true
}

// RecordSuccess records an answer of an upstream, which ends its ejection.
func (tracker *Tracker) RecordSuccess(id string) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	known := tracker.upstreams[id]
	if known == nil {
		return
	}
	if known.ejected {
		tracker.ejectedCount--
	}
	*known = upstream{}
}

// RecordFailure records a failure of an upstream. It reports whether the
// failure ejects the upstream, or ejects it again after a probe. At most half
// of the service's upstreams are ejected at a time, because more failures at
// once point to a cause elsewhere.
func (tracker *Tracker) RecordFailure(id string) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	upstream := tracker.upstreams[id]
	if upstream == nil {
		return false
	}
	upstream.failures++
	now := time.Now()
	switch {
	case upstream.ejected && upstream.probeSent:
		upstream.ejection = min(tracker.config.MaxEjection, 2*upstream.ejection)
	case upstream.ejected || upstream.failures < tracker.config.MaxFailures:
		return false
	case 2*(tracker.ejectedCount+1) > len(tracker.upstreams):
		return false
	default:
		upstream.ejection = tracker.config.InitialEjection
		upstream.ejected = true
		tracker.ejectedCount++
	}
	upstream.probeSent = false
	upstream.probeAt = now.Add(upstream.ejection)
	return true
}
