// Package conf holds one version of the configuration: organisations, keys,
// routes, adapters, upstreams and the settings of the whole fleet. A Config is
// immutable; an Editor derives the next version from it.
package conf

import (
	"fmt"
	"time"
)

// Tokens counts prompt and generated tokens.
type Tokens int64

// Half names one of the two parts of a company that is being split, whose
// requests must not run at the other part's upstreams. The empty string means
// both parts.
type Half string

// CompatibleWith reports whether requests of one half may run at upstreams of
// the other: the halves are equal, or one of them is empty.
func (half Half) CompatibleWith(other Half) bool {
	return half == "" || other == "" || half == other
}

// Class is the priority class of a route's requests in queues.
type Class uint8

const (
	// Interactive requests have a person waiting and are served first.
	Interactive Class = iota
	// Patient requests may wait up to their route's MaxWait.
	Patient
)

// String returns the class as written in settings and logs.
func (class Class) String() string {
	if class == Patient {
		return "patient"
	}
	return "interactive"
}

// OrganisationSpec configures an organisation and its token bucket.
type OrganisationSpec struct {
	Name string
	Half Half
	// Rate is the refill rate of the token bucket in tokens per second.
	Rate Tokens
	// Burst is the capacity of the token bucket.
	Burst Tokens
	// Shards lists the upstreams whose side processes host the quota shards.
	Shards []string
}

// DigestSize is the length of a key digest in bytes.
const DigestSize = 32

// KeySpec configures a caller's API key. The secret itself is never stored.
type KeySpec struct {
	ID           string
	Organisation string
	Salt         []byte
	// Digest is the HMAC-SHA-256 of the secret under the salt.
	Digest [DigestSize]byte
}

// RouteSpec configures how one kind of request is served.
type RouteSpec struct {
	Name    string
	Service string
	// Plain marks a route to a plain service, which has neither an engine nor
	// adapters. The requests of all other routes run on an adapter.
	Plain bool
	// PathPrefix and Methods select the requests to a plain service.
	PathPrefix string
	Methods    []string
	Class      Class
	// MaxWait is the longest time that a request may wait in a queue.
	MaxWait    time.Duration
	Idempotent bool
	// Open admits requests without a key.
	Open bool
	// DefaultMaxTokens bounds the generated tokens of a request that names no
	// bound itself.
	DefaultMaxTokens Tokens
	// Cost is the number of tokens that one request to a plain service counts
	// against its organisation's rate.
	Cost Tokens
}

// AdapterSpec configures an adapter. If Organisation is empty, all
// organisations may use the adapter.
type AdapterSpec struct {
	Name           string
	Organisation   string
	Service        string
	Versions       []uint32
	DefaultVersion uint32
}

// HasVersion reports whether the version is one of the adapter's versions.
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
	// FencingChecked means that the upstream rejects outdated fencing tokens.
	FencingChecked bool
}

// FleetSpec configures the limit on adapter loads that all upstreams of the
// fleet share.
type FleetSpec struct {
	// LoadRateMilli is the number of adapter loads per 1,000 s.
	LoadRateMilli int64
	// LoadBurst is the number of adapter loads that may start at once.
	LoadBurst int64
	// LoadShards lists the upstreams whose side processes host the quota shards
	// for adapter loads.
	LoadShards []string
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
