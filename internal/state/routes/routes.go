// Package routes holds one version of the routing configuration: which request
// goes to which service, for which organisation, and within which limits. A
// Table never changes; a new version is a new Table.
package routes

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Semantics says what may be repeated of a request.
type Semantics uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Semantics = iota
	// AtMostOnce requests must not run twice.
	AtMostOnce
)

// WeightedService is one of the services of a route with its part of the requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Semantics Semantics
	// Streaming marks answers that are a series of events.
	Streaming bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// ResponseGoal is the response-time goal, up to the first event of a stream.
	ResponseGoal time.Duration
	// EventGapGoal is the longest pause between events that meets the goal.
	EventGapGoal time.Duration
	// CallerStreamTimeout is the pause after which callers give up a stream, also before its
	// first event; 0 if it is not known.
	CallerStreamTimeout time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	Services []WeightedService
	// MaxAttempts is the largest number of upstreams that one request may run on.
	MaxAttempts int
	// Open routes need no key.
	Open bool
}

// Model is a base model with its adapters.
type Model struct {
	Name string
	// WeightMegabytes is the size of the weights.
	WeightMegabytes float64
	Adapters        int
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots        int
	Models       []Model
	AdapterSlots int
	// KVTokens is the engine's memory for requests and cached prompts.
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
	// accepts from all callers together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Organisation is a group of callers with keys and a rate.
type Organisation struct {
	Name string
	Keys []string
	// Priority goes before the route's priority where it is set.
	Priority *int
	// RateInTokens means that Rate and Burst count tokens in place of requests.
	RateInTokens bool
	// DefaultTokenCost is the cost in tokens of a request that names no tokens.
	DefaultTokenCost float64
	// Rate is the units per second; 0 means no limit.
	Rate  float64
	Burst float64
}

// Config is the content of a Table.
type Config struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// IdleTimeout is how long a caller's connection may stay unused.
	IdleTimeout time.Duration
}

type digest [sha256.Size]byte

// Table is one version of the configuration with its lookups. Its methods may
// be called concurrently.
type Table struct {
	config   Config
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[digest]*Organisation
}

// New returns the Table of a configuration.
func New(config Config) *Table {
	table := &Table{
		config:   config,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(config.Services)),
		keys:     make(map[digest]*Organisation),
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		table.hosts[route.Host] = append(table.hosts[route.Host], route)
	}
	for _, routes := range table.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range config.Services {
		table.services[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.Organisations {
		organisation := &config.Organisations[i]
		for _, key := range organisation.Keys {
			table.keys[sha256.Sum256([]byte(key))] = organisation
		}
	}
	return table
}

// Version returns the number of the configuration.
func (table *Table) Version() uint64 { return table.config.Version }

// IdleTimeout returns how long a caller's connection may stay unused, or 0 if
// the configuration does not say.
func (table *Table) IdleTimeout() time.Duration { return table.config.IdleTimeout }

// Organisations returns all organisations.
func (table *Table) Organisations() []Organisation { return table.config.Organisations }

// Match returns the route of a request, the one with the longest prefix.
func (table *Table) Match(host, path string) (*Route, bool) {
	for _, route := range table.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Service returns a service by its name.
func (table *Table) Service(name string) (*Service, bool) {
	service, ok := table.services[name]
	return service, ok
}

// Authenticate returns the organisation that holds the key.
func (table *Table) Authenticate(key string) (*Organisation, bool) {
	organisation, ok := table.keys[sha256.Sum256([]byte(key))]
	return organisation, ok
}

// ShortestEventGapGoal returns the shortest goal for pauses between events among the
// routes to a service, or 0 if none has one.
func (table *Table) ShortestEventGapGoal(service string) time.Duration {
	var shortest time.Duration
	for _, route := range table.config.Routes {
		if route.EventGapGoal <= 0 || shortest > 0 && route.EventGapGoal >= shortest {
			continue
		}
		if slices.ContainsFunc(route.Services, func(share WeightedService) bool { return share.Service == service }) {
			shortest = route.EventGapGoal
		}
	}
	return shortest
}

// PickService returns the service for a request, by the weights of the route. point is
// uniform in [0, 1).
func (route *Route) PickService(point float64) string {
	var total float64
	for _, share := range route.Services {
		total += share.Weight
	}
	rest := point * total
	for _, share := range route.Services {
		rest -= share.Weight
		if rest < 0 {
			return share.Service
		}
	}
	if len(route.Services) == 0 {
		return ""
	}
	return route.Services[len(route.Services)-1].Service
}

// Cost returns what a request counts against the organisation's rate. tokens
// is 0 if the request names none.
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
