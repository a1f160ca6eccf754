package entry

import (
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/policy"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// Limits bounds what callers may send and how long requests may take.
type Limits struct {
	// MaxBodyBytes and MaxHeaderBytes bound the size of a request.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// HeaderTimeout and BodyTimeout bound the time in which the headers and the body
	// must arrive.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// MaxInFlight is the number of requests that may be served at the same time.
	MaxInFlight int
	// MaxAttempts bounds the attempts of one request, handbacks not counted.
	MaxAttempts int
	// RequestTimeout is the longest time that a request may take.
	RequestTimeout time.Duration
	// DrainTimeout bounds a planned stop. It must exceed RequestTimeout.
	DrainTimeout time.Duration
	// DrainDelay is the time between becoming unready and closing the listener, in
	// which the load balancer stops sending requests.
	DrainDelay time.Duration
}

// Config configures an Entry.
type Config struct {
	ConfigSource   ConfigSource
	InstanceSource InstanceSource
	SideDialer     SideDialer
	// Authenticate returns the configured key that matches the presented one, or an
	// error.
	Authenticate func(config *conf.Config, key string) (conf.KeySpec, error)
	// RetryBudget defaults to one that allows every retry.
	RetryBudget RetryBudget
	// Admission defaults to one that admits all requests.
	Admission Admission
	// NewHealth returns the record of the results of a service's upstreams. The
	// default ejects no upstream.
	NewHealth func(service string) HealthTracker
	// NewPolicy returns the routing policy of a service. plain tells whether it is a
	// plain service, without adapters.
	NewPolicy func(service string, plain bool, health policy.Health) policy.Policy
	// Logger defaults to none.
	Logger *zap.Logger
	// Counters defaults to none.
	Counters Counters
	// NewRequestID returns a request id. The default is a random UUID.
	NewRequestID func() string
	Limits       Limits
	// RefreshInterval is the interval at which the members of the policies are
	// updated from the configuration and the instance list.
	RefreshInterval time.Duration
	// LivenessInterval is the time without an event after which the side process of a
	// running attempt is probed. The probe may take twice as long if the work may
	// run twice, otherwise ten times as long.
	LivenessInterval time.Duration
}

// DefaultLimits returns the limits given in section 12 of the design page.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:   1 << 20,
		MaxHeaderBytes: 16 << 10,
		HeaderTimeout:  5 * time.Second,
		BodyTimeout:    10 * time.Second,
		MaxInFlight:    2048,
		MaxAttempts:    4,
		RequestTimeout: 5 * time.Minute,
		DrainTimeout:   6 * time.Minute,
		DrainDelay:     3 * time.Second,
	}
}

func (config *Config) setDefaults() error {
	if config.ConfigSource == nil || config.InstanceSource == nil || config.Authenticate == nil || config.SideDialer == nil || config.NewPolicy == nil {
		return fault.New(fault.Invalid, fault.NotRun, "entry needs ConfigSource, InstanceSource, Authenticate, SideDialer and NewPolicy; set them all")
	}
	if config.Limits == (Limits{}) {
		config.Limits = DefaultLimits()
	}
	if err := config.Limits.validate(); err != nil {
		return err
	}
	if config.RetryBudget == nil {
		config.RetryBudget = unlimitedRetries{}
	}
	if config.Admission == nil {
		config.Admission = admitAll{}
	}
	if config.NewHealth == nil {
		config.NewHealth = func(string) HealthTracker { return noHealth{} }
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.Counters == nil {
		config.Counters = noCounters{}
	}
	if config.NewRequestID == nil {
		config.NewRequestID = uuid.NewString
	}
	if config.RefreshInterval <= 0 {
		config.RefreshInterval = 500 * time.Millisecond
	}
	if config.LivenessInterval <= 0 {
		config.LivenessInterval = time.Second
	}
	return nil
}

func (limits *Limits) validate() error {
	positive := limits.MaxBodyBytes > 0 && limits.MaxHeaderBytes > 0 && limits.HeaderTimeout > 0 && limits.BodyTimeout > 0 &&
		limits.MaxInFlight > 0 && limits.MaxAttempts > 0 && limits.RequestTimeout > 0 && limits.DrainDelay >= 0
	if !positive {
		return fault.New(fault.Invalid, fault.NotRun, "every limit of the entry instance must be positive; set the missing ones")
	}
	if limits.DrainTimeout <= limits.RequestTimeout {
		return fault.New(fault.Invalid, fault.NotRun,
			"drain-limit %s must exceed request-limit %s, or a planned stop interrupts requests; raise drain-limit", limits.DrainTimeout, limits.RequestTimeout)
	}
	return nil
}
