package entry

import (
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/policy"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// Limits bounds what callers may send and for how long.
type Limits struct {
	// MaxBodyBytes and Headers are in bytes.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// HeaderTimeout and BodyTime bound the time in which they must arrive.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// MaxInFlight is the number of requests served at the same time.
	MaxInFlight int
	// MaxAttempts is the number of upstreams that one request is sent to.
	MaxAttempts int
	// RequestTimeout is the longest that a request may take.
	RequestTimeout time.Duration
	// DrainTimeout bounds a planned stop. It must exceed Request.
	DrainTimeout time.Duration
	// DrainDelay is the time between becoming unready and closing the
	// listener, in which the load balancer stops sending requests.
	DrainDelay time.Duration
}

// Config configures an Entry.
type Config struct {
	ConfigSource   ConfigSource
	InstanceSource InstanceSource
	SideDialer     SideDialer
	// Authenticate returns the configured key that was presented.
	Authenticate func(config *conf.Config, key string) (conf.KeySpec, error)
	// RetryBudget defaults to one that permits every retry.
	RetryBudget RetryBudget
	// Admission defaults to one that admits all requests.
	Admission Admission
	// NewHealth returns the health record of a service. The default ejects
	// nothing.
	NewHealth func(service string) Health
	// NewPolicy returns the policy of a service.
	NewPolicy func(service string, plain bool, health policy.Health) policy.Policy
	// Logger defaults to none.
	Logger *zap.Logger
	// Counters defaults to none.
	Counters Counters
	// NewRequestID returns a request id. The default is a random UUID.
	NewRequestID func() string
	Limits       Limits
	// RefreshInterval is the interval at which configuration and instance list are
	// compared with the policies' members.
	RefreshInterval time.Duration
	// ProbeAfter is the silence of a running attempt after which its side
	// process is asked for a sign of life, and the time that it has to answer.
	ProbeAfter time.Duration
}

// DefaultLimits returns the limits of section 12 of the design page.
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

func (config *Config) complete() error {
	if config.ConfigSource == nil || config.InstanceSource == nil || config.Authenticate == nil || config.SideDialer == nil || config.NewPolicy == nil {
		return fault.New(fault.Invalid, fault.NotRun, "entry needs Configs, Roster, Authenticate, Sides and NewPolicy; set them all")
	}
	if config.Limits == (Limits{}) {
		config.Limits = DefaultLimits()
	}
	if err := config.Limits.check(); err != nil {
		return err
	}
	if config.RetryBudget == nil {
		config.RetryBudget = freeBudget{}
	}
	if config.Admission == nil {
		config.Admission = openAdmission{}
	}
	if config.NewHealth == nil {
		config.NewHealth = func(string) Health { return noHealth{} }
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
	if config.ProbeAfter <= 0 {
		config.ProbeAfter = time.Second
	}
	return nil
}

func (limits *Limits) check() error {
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
