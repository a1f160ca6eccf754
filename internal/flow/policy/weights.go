package policy

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// Weights sets how a score in milliseconds is made up. The factors weigh
// expected times; the others are milliseconds by themselves.
type Weights struct {
	// Wait is the factor of the expected wait in the queue.
	Wait float64
	// Load is the factor of the time to load an adapter.
	Load float64
	// Distance is the factor of the failure domain's distance.
	Distance float64
	// Send is added for each own send since the last report.
	Send float64
	// Prefill is added for each prompt token of those sends.
	Prefill float64
	// Evict is added where a load needs another adapter's slot.
	Evict float64
	// Batch is taken off for each running request, up to a full batch, where
	// the adapter is loaded.
	Batch float64
	// Prefix is taken off where the same prompt prefix went last.
	Prefix float64
	// Overflow is added to the candidate after the adapter's replicas.
	Overflow float64
	// Equal is the difference up to which scores count as equal.
	Equal float64
}

// Bonsai returns the weights for the worst-served organisation and few
// refusals: queues weigh more than loads, and work overflows early.
func Bonsai() Weights {
	return Weights{
		Wait: 1.5, Load: 1, Distance: 1, Send: 4, Prefill: 0.05,
		Evict: 40, Batch: 0, Prefix: 20, Overflow: 60, Equal: 5,
	}
}

// Gourd returns the weights for few load stalls and full batches: work stays
// where the adapter is loaded, and prefers fuller batches there.
func Gourd() Weights {
	return Weights{
		Wait: 1, Load: 3, Distance: 1, Send: 2, Prefill: 0.03,
		Evict: 400, Batch: 3, Prefix: 40, Overflow: 300, Equal: 2,
	}
}

// Profiles lists the weights by the names that settings use.
var Profiles = map[string]func() Weights{"bonsai": Bonsai, "gourd": Gourd}

// Config configures a Router.
type Config struct {
	Weights Weights
	// FailureDomain is the entry instance's own.
	FailureDomain string
	// Distance is the time to a side process in another failure domain and
	// back. It defaults to 1 ms to each.
	Distance func(failureDomain string) time.Duration
	// LoadTime is the time that an adapter's load takes. The default is what
	// the weight store needs with few loads in flight.
	LoadTime time.Duration
	// ReplicaRate is the fleet's rate of requests for one adapter, per second,
	// that one replica carries.
	ReplicaRate float64
	// HalfLife is that of the adapters' popularity. Many entry instances each
	// see few requests for an adapter, so that a short one gives no estimate.
	HalfLife time.Duration
	// Adapters and Upstreams are the expected numbers.
	Adapters  int
	Upstreams int
	// Health defaults to Healthy.
	Health Health
	Seed   uint64
	Start  time.Time
}

func (config *Config) complete() error {
	if config.Weights == (Weights{}) {
		config.Weights = Bonsai()
	}
	if config.Weights.Equal < 0 {
		return fault.New(fault.Invalid, fault.NotRun, "weight equal is negative; set 0 or more milliseconds")
	}
	if config.Distance == nil {
		config.Distance = func(string) time.Duration { return time.Millisecond }
	}
	if config.LoadTime <= 0 {
		config.LoadTime = 250 * time.Millisecond
	}
	if config.ReplicaRate <= 0 {
		config.ReplicaRate = 2
	}
	if config.HalfLife <= 0 {
		config.HalfLife = 2 * time.Minute
	}
	if config.Adapters <= 0 {
		config.Adapters = 4096
	}
	if config.Upstreams <= 0 {
		config.Upstreams = 64
	}
	if config.Health == nil {
		config.Health = NoEjection{}
	}
	if config.Start.IsZero() {
		config.Start = time.Now()
	}
	return nil
}
