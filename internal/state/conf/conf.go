// Package conf holds the numbered configuration: organisations, keys, routes,
// adapters, upstreams and halves. A Config is immutable; an Editor derives the
// next one.
package conf

import (
	"fmt"
	"time"
)

// Tokens counts prompt and generated tokens.
type Tokens int64

// Half names one half of a splitting company. Empty means both halves.
type Half string

// CompatibleWith reports whether work of one half may run at the other.
func (half Half) CompatibleWith(other Half) bool {
	return half == "" || other == "" || half == other
}

// Class orders work in queues.
type Class uint8

const (
	// Interactive work has a person waiting and goes first.
	Interactive Class = iota
	// Patient work may wait up to its route's longest wait.
	Patient
)

// String returns the class as written in settings and logs.
func (class Class) String() string {
	if class == Patient {
		return "patient"
	}
	return "interactive"
}

// OrganisationSpec configures an organisation. Rate is in tokens per second.
type OrganisationSpec struct {
	Name  string
	Half  Half
	Rate  Tokens
	Burst Tokens
	// Shards lists the upstreams whose side processes host the quota shards.
	Shards []string
}

// DigestSize is the length of a key digest in bytes.
const DigestSize = 32

// KeySpec configures a caller's key. The secret itself is never stored.
type KeySpec struct {
	ID           string
	Organisation string
	Salt         []byte
	Digest       [DigestSize]byte
}

// RouteSpec configures how a kind of work is served.
type RouteSpec struct {
	Name    string
	Service string
	// Plain marks a route to a plain service; the others run on an adapter.
	Plain bool
	// PathPrefix and Methods select the calls of a plain service.
	PathPrefix string
	Methods    []string
	Class      Class
	MaxWait    time.Duration
	Idempotent bool
	// Open admits calls without a key.
	Open             bool
	DefaultMaxTokens Tokens
	// Cost is what one call of a plain service counts.
	Cost Tokens
}

// AdapterSpec configures an adapter. An empty organisation means that all may
// use it.
type AdapterSpec struct {
	Name           string
	Organisation   string
	Service        string
	Versions       []uint32
	DefaultVersion uint32
}

// HasVersion reports whether the adapter may be served in this version.
func (adapter AdapterSpec) HasVersion(version uint32) bool {
	for _, known := range adapter.Versions {
		if known == version {
			return true
		}
	}
	return false
}

// UpstreamSpec configures an upstream.
type UpstreamSpec struct {
	ID            string
	Service       string
	Plain         bool
	Half          Half
	FailureDomain string
	// FencingChecked says that the upstream refuses old fencing tokens.
	FencingChecked bool
}

// FleetSpec configures what the whole fleet shares.
type FleetSpec struct {
	// LoadRateMilli is the number of adapter loads per 1,000 s.
	LoadRateMilli int64
	LoadBurst     int64
	LoadShards    []string
}

// MarshalText implements encoding.TextMarshaler.
func (class Class) MarshalText() ([]byte, error) { return []byte(class.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (class *Class) UnmarshalText(text []byte) error {
	for _, known := range []Class{Interactive, Patient} {
		if known.String() == string(text) {
			*class = known
			return nil
		}
	}
	return fmt.Errorf("unknown class %q; write %q or %q", text, Interactive, Patient)
}
