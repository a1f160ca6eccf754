// Package routes holds the relay's routing table: which service serves a
// request, and which limits apply to it and to its organisation. A Table is
// immutable and belongs to one version of the configuration.
package routes

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Semantics tells whether a request may run more than once.
type Semantics uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Semantics = iota
	// AtMostOnce requests must not run more than once.
	AtMostOnce
)

// WeightedService is one of the services of a route. It gets the part of the
// requests that its weight has in the sum of the route's weights.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route configures the requests for a host and path prefix.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Semantics Semantics
	// Streaming means that the responses are event streams.
	Streaming bool
	// Resumable streams may be continued by another upstream.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// ResponseGoal is the response-time goal; for a stream, the time to its first
	// event.
	ResponseGoal time.Duration
	// EventGapGoal is the longest time between two events of a stream that meets
	// the goal.
	EventGapGoal time.Duration
	// CallerStreamTimeout is the time without an event after which callers abandon
	// a stream, also before its first event. 0 means that it is not known.
	CallerStreamTimeout time.Duration
	// Priority ranks routes; 0 is the highest priority.
	Priority int
	Services []WeightedService
	// MaxAttempts is the largest number of upstreams that are tried for one
	// request.
	MaxAttempts int
	// Open admits requests without a key.
	Open bool
}

// Model is a base model.
type Model struct {
	Name string
	// WeightMegabytes is the size of the model's weights.
	WeightMegabytes float64
	// Adapters is the number of the model's adapters.
	Adapters int
}

// Engine describes the inference engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots  int
	Models []Model
	// AdapterSlots is the number of adapters that an engine holds at once.
	AdapterSlots int
	// KVTokens is the size of the engine's KV cache in tokens, for running
	// requests and cached prompts.
	KVTokens int64
	// WeightMegabytes is the engine's memory for weights.
	WeightMegabytes float64
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConnections is the largest number of connections that an upstream
	// accepts from all its clients together.
	MaxConnections int
	// ColdRate is how many requests per second an upstream takes while it is cold, 0 if
	// it takes all. ColdStart is how long one is cold after its start.
	ColdRate  float64
	ColdStart time.Duration
	// Engine is nil for a plain service.
	Engine *Engine
}

// Organisation is a group of callers that share a rate limit.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the route's priority unless it is nil.
	Priority *int
	// RateInTokens means that Rate and Burst count tokens, not requests.
	RateInTokens bool
	// DefaultTokenCost is the cost in tokens of a request whose number of tokens
	// is not known.
	DefaultTokenCost float64
	// Rate is the number of requests or tokens per second; 0 means no limit.
	Rate float64
	// Burst is the number of requests or tokens that may be spent at once.
	Burst float64
}

// Config is the content of a Table.
type Config struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// IdleTimeout is how long an unused connection of a caller is kept open.
	IdleTimeout time.Duration
}

type keyDigest [sha256.Size]byte

// Table is a Config with indexes for look-ups. Its methods may be called
// concurrently.
type Table struct {
	config        Config
	routesByHost  map[string][]*Route
	services      map[string]*Service
	organisations map[keyDigest]*Organisation
	// callerWaitsDiffer is the result of CallerWaitsDiffer.
	callerWaitsDiffer bool
}

// New returns the Table of a configuration.
func New(config Config) *Table {
	table := &Table{
		config:        config,
		routesByHost:  make(map[string][]*Route),
		services:      make(map[string]*Service, len(config.Services)),
		organisations: make(map[keyDigest]*Organisation),

		callerWaitsDiffer: callerWaitsDiffer(config.Routes),
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		table.routesByHost[route.Host] = append(table.routesByHost[route.Host], route)
	}
	for _, routes := range table.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range config.Services {
		table.services[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.Organisations {
		organisation := &config.Organisations[i]
		for _, key := range organisation.Keys {
			table.organisations[sha256.Sum256([]byte(key))] = organisation
		}
	}
	return table
}

// Version returns the version number of the configuration.
func (table *Table) Version() uint64 { return table.config.Version }

// IdleTimeout returns how long an unused connection of a caller is kept open, or
// 0 if it is not configured.
func (table *Table) IdleTimeout() time.Duration { return table.config.IdleTimeout }

// Organisations returns all organisations.
func (table *Table) Organisations() []Organisation { return table.config.Organisations }

// Routes returns all routes. The result is shared and must not be changed.
func (table *Table) Routes() []Route { return table.config.Routes }

// Match returns the route with the longest prefix that matches a request.
func (table *Table) Match(host, path string) (*Route, bool) {
	for _, route := range table.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Services returns all services.
func (table *Table) Services() []Service { return table.config.Services }

// Service returns a service by its name.
func (table *Table) Service(name string) (*Service, bool) {
	service, ok := table.services[name]
	return service, ok
}

// Authenticate returns the organisation that holds the key.
func (table *Table) Authenticate(key string) (*Organisation, bool) {
	organisation, ok := table.organisations[sha256.Sum256([]byte(key))]
	return organisation, ok
}

// ShortestEventGapGoal returns the shortest EventGapGoal of all routes to a
// service, or 0 if none of them has one.
func (table *Table) ShortestEventGapGoal(service string) time.Duration {
	var shortest time.Duration
	for _, route := range table.config.Routes {
		if route.EventGapGoal <= 0 || shortest > 0 && route.EventGapGoal >= shortest {
			continue
		}
		if slices.ContainsFunc(route.Services, func(weighted WeightedService) bool { return weighted.Service == service }) {
			shortest = route.EventGapGoal
		}
	}
	return shortest
}

// LongestTimeout returns the longest Timeout of all routes to a service. Routes without one
// count with the default that is given.
func (table *Table) LongestTimeout(service string, defaultTimeout time.Duration) time.Duration {
	var longest time.Duration
	for _, route := range table.config.Routes {
		if slices.Contains(route.ServiceNames(), service) {
			longest = max(longest, cmp.Or(route.Timeout, defaultTimeout))
		}
	}
	return longest
}

// ServiceNames returns the names of the services to which the route sends requests.
func (route *Route) ServiceNames() []string {
	names := make([]string, 0, len(route.Services))
	for _, service := range route.Services {
		names = append(names, service.Service)
	}
	return names
}

// Names reports whether the route sends requests to a service.
func (route *Route) Names(service string) bool {
	return slices.ContainsFunc(route.Services, func(weighted WeightedService) bool {
		return weighted.Service == service && weighted.Weight > 0
	})
}

// PickService returns a service of the route, or "" if there is none. If point
// is uniformly distributed in [0, 1), each service is picked in proportion to
// its weight.
func (route *Route) PickService(point float64) string {
	var total float64
	for _, weighted := range route.Services {
		total += weighted.Weight
	}
	remaining := point * total
	for _, weighted := range route.Services {
		remaining -= weighted.Weight
		if remaining < 0 {
			return weighted.Service
		}
	}
	if len(route.Services) == 0 {
		return ""
	}
	return route.Services[len(route.Services)-1].Service
}

// Cost returns how much of the organisation's rate a request uses. tokens is the
// request's number of tokens, or 0 if it is not known.
func (organisation *Organisation) Cost(tokens int64) float64 {
	switch {
	case !organisation.RateInTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return organisation.DefaultTokenCost
	}
}
