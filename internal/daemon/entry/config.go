package entry

import (
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/policy"
	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// Limits bounds what callers may send and for how long.
type Limits struct {
	// Body and Headers are in bytes.
	Body    int64
	Headers int
	// HeaderTime and BodyTime bound the time in which they must arrive.
	HeaderTime time.Duration
	BodyTime   time.Duration
	// InFlight is the number of requests served at the same time.
	InFlight int
	// Attempts is the number of upstreams that one request is sent to.
	Attempts int
	// Request is the longest that a request may take.
	Request time.Duration
	// Drain bounds a planned stop. It must exceed Request.
	Drain time.Duration
	// DrainDelay is the time between becoming unready and closing the
	// listener, in which the load balancer stops sending requests.
	DrainDelay time.Duration
}

// Config configures an Entry.
type Config struct {
	Configs Configs
	Roster  Roster
	Sides   Sides
	// Authenticate returns the configured key that was presented.
	Authenticate func(config *model.Config, key string) (model.KeySpec, error)
	// Budget defaults to one that permits every retry.
	Budget Budget
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
	// NewID returns a request id. The default is a random UUID.
	NewID  func() string
	Limits Limits
	// Refresh is the interval at which configuration and instance list are
	// compared with the policies' members.
	Refresh time.Duration
	// ProbeAfter is the silence of a running attempt after which its side
	// process is asked for a sign of life, and the time that it has to answer.
	ProbeAfter time.Duration
}

// DefaultLimits returns the limits of section 12 of the design page.
func DefaultLimits() Limits {
	return Limits{
		Body:       1 << 20,
		Headers:    16 << 10,
		HeaderTime: 5 * time.Second,
		BodyTime:   10 * time.Second,
		InFlight:   2048,
		Attempts:   4,
		Request:    5 * time.Minute,
		Drain:      6 * time.Minute,
		DrainDelay: 3 * time.Second,
	}
}

func (config *Config) complete() error {
	if config.Configs == nil || config.Roster == nil || config.Authenticate == nil || config.Sides == nil || config.NewPolicy == nil {
		return fault.New(fault.Invalid, fault.NotRun, "entry needs Configs, Roster, Authenticate, Sides and NewPolicy; set them all")
	}
	if config.Limits == (Limits{}) {
		config.Limits = DefaultLimits()
	}
	if err := config.Limits.check(); err != nil {
		return err
	}
	if config.Budget == nil {
		config.Budget = freeBudget{}
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
	if config.NewID == nil {
		config.NewID = uuid.NewString
	}
	if config.Refresh <= 0 {
		config.Refresh = 500 * time.Millisecond
	}
	if config.ProbeAfter <= 0 {
		config.ProbeAfter = time.Second
	}
	return nil
}

func (limits *Limits) check() error {
	positive := limits.Body > 0 && limits.Headers > 0 && limits.HeaderTime > 0 && limits.BodyTime > 0 &&
		limits.InFlight > 0 && limits.Attempts > 0 && limits.Request > 0 && limits.DrainDelay >= 0
	if !positive {
		return fault.New(fault.Invalid, fault.NotRun, "every limit of the entry instance must be positive; set the missing ones")
	}
	if limits.Drain <= limits.Request {
		return fault.New(fault.Invalid, fault.NotRun,
			"drain-limit %s must exceed request-limit %s, or a planned stop interrupts requests; raise drain-limit", limits.Drain, limits.Request)
	}
	return nil
}
