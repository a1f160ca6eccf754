package setup

import (
	"time"
)

// Limits bounds the resources that requests take from an entry instance.
type Limits struct {
	// BodyBytes is the largest size of a request body.
	BodyBytes int64 `toml:"body-bytes"`
	// HeaderBytes is the largest size of a request header.
	HeaderBytes int `toml:"header-bytes"`
	// HeaderTime is the longest time in which a caller must send the header.
	HeaderTime time.Duration `toml:"header-time"`
	// BodyTime is the longest time in which a caller must send the body.
	BodyTime time.Duration `toml:"body-time"`
	// RequestLimit is the longest time that one request may take.
	RequestLimit time.Duration `toml:"request-limit"`
	// InFlight is the largest number of concurrent requests.
	InFlight int `toml:"in-flight"`
}

// Routing selects the routing policy and its weights.
type Routing struct {
	// Policy is default or naive.
	Policy string `toml:"policy"`
	// Profile names a set of weights of the routing score: bonsai or gourd.
	Profile string `toml:"profile"`
	// Seed makes tie-breaking reproducible; 0 means a random seed.
	Seed uint64 `toml:"seed"`
}

// Entry holds the settings of an entry instance.
type Entry struct {
	Process
	Limits  Limits  `toml:"limits"`
	Routing Routing `toml:"routing"`
}

const (
	defaultBodyBytes   = 1 << 20
	defaultHeaderBytes = 16 << 10
	defaultHeaderTime  = 5 * time.Second
	defaultBodyTime    = 10 * time.Second
	defaultInFlight    = 4096
)

// DefaultEntry returns the defaults of an entry instance.
func DefaultEntry() Entry {
	return Entry{
		Process: defaultProcess(),
		Limits: Limits{
			BodyBytes:    defaultBodyBytes,
			HeaderBytes:  defaultHeaderBytes,
			HeaderTime:   defaultHeaderTime,
			BodyTime:     defaultBodyTime,
			RequestLimit: defaultRequestLimit,
			InFlight:     defaultInFlight,
		},
		Routing: Routing{Policy: "default", Profile: "bonsai"},
	}
}

// LoadEntry reads and checks the settings of an entry instance.
func LoadEntry(file string) (Entry, error) {
	entry := DefaultEntry()
	if err := load(file, &entry); err != nil {
		return Entry{}, err
	}
	return entry, entry.check(file)
}

func (entry Entry) check(file string) error {
	checks := entry.checks(file)
	checks.address("listen.callers", entry.Listen.Callers)
	checks.atLeast("limits.body-bytes", entry.Limits.BodyBytes, 1)
	checks.atLeast("limits.header-bytes", int64(entry.Limits.HeaderBytes), 1024)
	checks.positive("limits.header-time", entry.Limits.HeaderTime)
	checks.positive("limits.body-time", entry.Limits.BodyTime)
	checks.positive("limits.request-limit", entry.Limits.RequestLimit)
	checks.atLeast("limits.in-flight", int64(entry.Limits.InFlight), 1)
	checks.oneOf("routing.policy", entry.Routing.Policy, "default", "naive")
	checks.oneOf("routing.profile", entry.Routing.Profile, "bonsai", "gourd")
	checks.longerThan("shutdown.drain-limit", entry.Shutdown.DrainLimit, "limits.request-limit", entry.Limits.RequestLimit)
	return checks.err()
}
