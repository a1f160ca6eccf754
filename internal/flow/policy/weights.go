package policy

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// Weights configures the score of an upstream, which is in milliseconds. Factors
// multiply expected times; the other weights are in milliseconds.
type Weights struct {
	// QueueWait is the factor of the expected wait in the queue.
	QueueWait float64
	// AdapterLoad is the factor of the time until the adapter is loaded.
	AdapterLoad float64
	// DomainDistance is the factor of the round trip to the upstream's failure
	// domain.
	DomainDistance float64
	// SentRequest is added for each request that this instance sent since the
	// last load report.
	SentRequest float64
	// SentToken is added for each prompt token of those requests.
	SentToken float64
	// Eviction is added for each request that is expected to miss the adapter
	// which a load evicts.
	Eviction float64
	// RunningRequest is subtracted for each running request, up to a full batch,
	// where the adapter is loaded.
	RunningRequest float64
	// SharedPrefix is subtracted for the upstream that was last chosen for the
	// same prompt prefix.
	SharedPrefix float64
	// Overflow is added for the candidate that follows the adapter's replicas on
	// the ring.
	Overflow float64
	// TieMargin is the difference up to which scores count as equal.
	TieMargin float64
}

// BonsaiWeights returns weights that favour the worst-served organisation and
// few refusals: queue waits count more than adapter loads, and requests overflow
// to another upstream early.
func BonsaiWeights() Weights {
	return Weights{
		QueueWait: 1.5, AdapterLoad: 1, DomainDistance: 1, SentRequest: 4, SentToken: 0.05,
		Eviction: 40, RunningRequest: 0, SharedPrefix: 20, Overflow: 60, TieMargin: 5,
	}
}

// GourdWeights returns weights that favour few load stalls and full batches:
// requests stay where the adapter is loaded and prefer larger batches there.
func GourdWeights() Weights {
	return Weights{
		QueueWait: 1, AdapterLoad: 3, DomainDistance: 1, SentRequest: 2, SentToken: 0.03,
		Eviction: 400, RunningRequest: 3, SharedPrefix: 40, Overflow: 300, TieMargin: 2,
	}
}

// Profiles maps the names of profiles in settings to their weights.
var Profiles = map[string]func() Weights{"bonsai": BonsaiWeights, "gourd": GourdWeights}

// Config configures a Router.
type Config struct {
	Weights Weights
	// FailureDomain is the failure domain of this entry instance.
	FailureDomain string
	// DomainRoundTrip returns the round trip time to a side process in another
	// failure domain. The default is 1 ms for each.
	DomainRoundTrip func(failureDomain string) time.Duration
	// LoadTime is the time that loading an adapter takes. The default of 250 ms
	// is the load time of the weight store with few loads in flight.
	LoadTime time.Duration
	// RatePerReplica is the fleet's request rate per second for one adapter that
	// one replica serves.
	RatePerReplica float64
	// PopularityHalfLife is the half-life of the adapters' request counts. It
	// must not be short: each of many entry instances sees too few requests for
	// an adapter to estimate the rate from a short time.
	PopularityHalfLife time.Duration
	// ExpectedAdapters and ExpectedUpstreams set the initial sizes of tables.
	ExpectedAdapters  int
	ExpectedUpstreams int
	// Health defaults to NoEjection.
	Health Health
	Seed   uint64
	Start  time.Time
}

func (config *Config) setDefaults() error {
	if config.Weights == (Weights{}) {
		config.Weights = BonsaiWeights()
	}
	if config.Weights.TieMargin < 0 {
		return fault.New(fault.Invalid, fault.NotRun, "weight TieMargin is negative; set 0 or more milliseconds")
	}
	if config.DomainRoundTrip == nil {
		config.DomainRoundTrip = func(string) time.Duration { return time.Millisecond }
	}
	if config.LoadTime <= 0 {
		config.LoadTime = 250 * time.Millisecond
	}
	if config.RatePerReplica <= 0 {
		config.RatePerReplica = 2
	}
	if config.PopularityHalfLife <= 0 {
		config.PopularityHalfLife = 2 * time.Minute
	}
	if config.ExpectedAdapters <= 0 {
		config.ExpectedAdapters = 4096
	}
	if config.ExpectedUpstreams <= 0 {
		config.ExpectedUpstreams = 64
	}
	if config.Health == nil {
		config.Health = NoEjection{}
	}
	if config.Start.IsZero() {
		config.Start = time.Now()
	}
	return nil
}
