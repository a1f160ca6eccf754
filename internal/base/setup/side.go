package setup

import "time"

// Upstream configures the engine or plain service that a side process serves.
type Upstream struct {
	// ID is the upstream's id in the configuration.
	ID string `toml:"id"`
	// URL is the upstream's HTTP address.
	URL string `toml:"url"`
	// Concurrency is the largest number of requests running at a time; 0 means
	// 32.
	Concurrency int `toml:"concurrency"`
}

// Queue bounds the queue of a side process.
type Queue struct {
	// Requests is the largest number of queued requests.
	Requests int `toml:"requests"`
	// Tokens is the largest number of tokens of all queued requests together.
	Tokens int64 `toml:"tokens"`
}

// Claims configures the claims of idempotency keys.
type Claims struct {
	// Partitions is the number of log streams for claims. It must be equal for all
	// processes.
	Partitions int `toml:"partitions"`
	// Window is how long an idempotency key is valid.
	Window time.Duration `toml:"window"`
}

// Side holds the settings of a side process.
type Side struct {
	Process
	Upstream Upstream `toml:"upstream"`
	Queue    Queue    `toml:"queue"`
	Claims   Claims   `toml:"claims"`
	// RequestLimit is the longest time that one request may take.
	RequestLimit time.Duration `toml:"request-limit"`
	// Policy is default or naive. Naive serves requests first come, first served,
	// evicts the least recently used adapter, and leaves rate limits to the entry
	// instances.
	Policy string `toml:"policy"`
	// Seed makes jitter reproducible; 0 means a random seed.
	Seed uint64 `toml:"seed"`
}

const (
	defaultQueueRequests   = 1024
	defaultQueueTokens     = 1 << 20
	defaultClaimPartitions = 256
	defaultClaimWindow     = 24 * time.Hour
)

// DefaultSide returns the defaults of a side process.
func DefaultSide() Side {
	return Side{
		Process:      defaultProcess(),
		Queue:        Queue{Requests: defaultQueueRequests, Tokens: defaultQueueTokens},
		Claims:       Claims{Partitions: defaultClaimPartitions, Window: defaultClaimWindow},
		RequestLimit: defaultRequestLimit,
		Policy:       "default",
	}
}

// LoadSide reads and checks the settings of a side process.
func LoadSide(file string) (Side, error) {
	side := DefaultSide()
	if err := load(file, &side); err != nil {
		return Side{}, err
	}
	return side, side.check(file)
}

func (side Side) check(file string) error {
	checks := side.checks(file)
	checks.notEmpty("upstream.id", side.Upstream.ID)
	checks.url("upstream.url", side.Upstream.URL)
	checks.oneOf("policy", side.Policy, "default", "naive")
	checks.atLeast("upstream.concurrency", int64(side.Upstream.Concurrency), 0)
	checks.atLeast("queue.requests", int64(side.Queue.Requests), 1)
	checks.atLeast("queue.tokens", side.Queue.Tokens, 1)
	checks.atLeast("claims.partitions", int64(side.Claims.Partitions), 1)
	checks.positive("request-limit", side.RequestLimit)
	checks.longerThan("shutdown.drain-limit", side.Shutdown.DrainLimit, "request-limit", side.RequestLimit)
	checks.longerThan("log-retention", side.LogRetention, "claims.window", side.Claims.Window)
	return checks.err()
}
