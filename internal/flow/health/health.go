// Package health ejects upstreams that fail repeatedly, as one process sees
// them. It affects speed only: an ejected upstream is passed over, and other
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

// Config configures a Service. Zero values mean the defaults.
type Config struct {
	// MaxFailures is the number of consecutive failures that eject an upstream.
	MaxFailures int
	// InitialEjection is the length of the first ejection. It doubles with each failed
	// probe up to Longest.
	InitialEjection time.Duration
	MaxEjection     time.Duration
	// ProbeTimeout is after what time a probe without an outcome counts as lost.
	ProbeTimeout time.Duration
}

// Tracker follows the upstreams of one service. Its methods may be called
// concurrently.
type Tracker struct {
	config    Config
	mutex     sync.RWMutex
	upstreams map[string]*upstream
	ejected   int
}

// upstream is ejected from the failure that ejects it until a probe succeeds.
type upstream struct {
	failures int
	ejected  bool
	length   time.Duration // of the last ejection
	until    time.Time     // when it may be probed
	probed   bool          // a probe is under way
}

// State says how an upstream may be used.
type State uint8

const (
	// Usable means that requests may be sent.
	Usable State = iota
	// Ejected means that no request should be sent.
	Ejected
	// ProbeDue means that one request may be sent, if Probe allows it.
	ProbeDue
)

// New returns a Service without upstreams, or a fault if a value is out of range.
func New(config Config) (*Tracker, error) {
	if config.MaxFailures == 0 {
		config.MaxFailures = DefaultMaxFailures
	}
	for _, pair := range []struct {
		value *time.Duration
		other time.Duration
	}{{&config.InitialEjection, DefaultInitialEjection}, {&config.MaxEjection, DefaultMaxEjection}, {&config.ProbeTimeout, DefaultProbeTimeout}} {
		if *pair.value == 0 {
			*pair.value = pair.other
		}
	}
	if config.MaxFailures < 0 || config.InitialEjection < 0 || config.MaxEjection < config.InitialEjection || config.ProbeTimeout < 0 {
		return nil, fault.New(fault.Invalid, fault.NotRun,
			"ejection after %d failures, for %v to %v, probe %v; set positive values and the longest to at least the first",
			config.MaxFailures, config.InitialEjection, config.MaxEjection, config.ProbeTimeout)
	}
	return &Tracker{config: config, upstreams: map[string]*upstream{}}, nil
}

// SetUpstreams sets the upstreams of the service. What is known of those that stay is
// kept, but when more than half of them would be ejected, those whose probe is
// next are used again.
func (service *Tracker) SetUpstreams(ids []string) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	next := make(map[string]*upstream, len(ids))
	service.ejected = 0
	for _, id := range ids {
		known := service.upstreams[id]
		if known == nil {
			known = &upstream{}
		}
		if known.ejected && next[id] == nil {
			service.ejected++
		}
		next[id] = known
	}
	service.upstreams = next
	for 2*service.ejected > len(service.upstreams) {
		service.release()
	}
}

// release ends the ejection whose probe is next.
func (service *Tracker) release() {
	var first *upstream
	for _, known := range service.upstreams {
		if known.ejected && (first == nil || known.until.Before(first.until)) {
			first = known
		}
	}
	*first = upstream{}
	service.ejected--
}

// State returns how an upstream may be used now. An unknown one is usable.
func (service *Tracker) State(id string) State {
	service.mutex.RLock()
	defer service.mutex.RUnlock()
	upstream := service.upstreams[id]
	switch {
	case upstream == nil || !upstream.ejected:
		return Usable
	case time.Now().Before(upstream.until):
		return Ejected
	default:
		return ProbeDue
	}
}

// TryProbe takes the only probe of an ejected upstream whose time has passed, and
// reports whether the caller may send it. The caller reports its outcome with
// Succeeded or Failed; without either, the next probe is allowed later.
func (service *Tracker) TryProbe(id string) bool {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	upstream := service.upstreams[id]
	now := time.Now()
	if upstream == nil || !upstream.ejected {
		return true
	}
	if now.Before(upstream.until) {
		return false
	}
	upstream.until = now.Add(service.config.ProbeTimeout)
	upstream.probed = true
	return true
}

// RecordSuccess records an answer of an upstream, which ends its ejection.
func (service *Tracker) RecordSuccess(id string) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	known := service.upstreams[id]
	if known == nil {
		return
	}
	if known.ejected {
		service.ejected--
	}
	*known = upstream{}
}

// RecordFailure records a failure of an upstream and reports whether this ejects it,
// or ejects it again after a probe. At most half of the service's upstreams are
// ejected at a time, because more failures at once point to a cause elsewhere.
func (service *Tracker) RecordFailure(id string) bool {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	upstream := service.upstreams[id]
	if upstream == nil {
		return false
	}
	upstream.failures++
	now := time.Now()
	switch {
	case upstream.ejected && upstream.probed:
		upstream.length = min(service.config.MaxEjection, 2*upstream.length)
	case upstream.ejected || upstream.failures < service.config.MaxFailures:
		return false
	case 2*(service.ejected+1) > len(service.upstreams):
		return false
	default:
		upstream.length = service.config.InitialEjection
		upstream.ejected = true
		service.ejected++
	}
	upstream.probed = false
	upstream.until = now.Add(upstream.length)
	return true
}
