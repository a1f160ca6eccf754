package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Transport reaches the shards.
	Transport Transport
	// ShardCount is the number of the organisation's shards.
	ShardCount int
	// LocalShards lists the shards hosted by this process; they are asked first.
	LocalShards []int
	// Rate and Burst are those of the whole organisation.
	Rate  conf.Tokens
	Burst conf.Tokens
	// Seed makes the order of shards and the jitter reproducible.
	Seed uint64
}

// Client reserves one organisation's tokens at one side process. Its methods may
// be called concurrently. It runs no goroutine while it has neither waiting calls
// of Reserve nor tokens to refund.
type Client struct {
	transport Transport
	wakeup    chan struct{}
	closing   context.Context
	cancel    context.CancelFunc

	mutex      sync.Mutex
	rate       conf.Tokens
	burst      conf.Tokens
	shards     []shardView
	held       []*heldGrant // with remaining tokens, in order of arrival
	waiters    []*waiter
	collecting bool
	closed     bool
	demand     demand
	contention contention
	random     *rand.Rand
	idleTimer  *time.Timer
}

// waiter is a waiting call of Reserve.
type waiter struct {
	tokens conf.Tokens
	ready  chan Reservation
}

// NewClient returns a client that holds no grants.
func NewClient(config ClientConfig) *Client {
	client := &Client{
		transport: config.Transport,
		wakeup:    make(chan struct{}, 1),
		rate:      config.Rate,
		burst:     config.Burst,
		shards:    make([]shardView, config.ShardCount),
		random:    rand.New(rand.NewPCG(config.Seed, 0)),
	}
	client.closing, client.cancel = context.WithCancel(context.Background())
	for index := range client.shards {
		client.shards[index] = newShardView(config, index)
	}
	return client
}

// Reserve waits until it has collected tokens; calls are served in order. The
// caller calls Commit directly before it dispatches the request, and Settle when
// the request has ended. The error is a fault of kind RateExceeded if tokens
// exceed the burst, WaitExceeded if the deadline of ctx passes, Cancelled if ctx
// is cancelled, and Draining if the client is closed.
func (client *Client) Reserve(ctx context.Context, tokens conf.Tokens) (Reservation, error) {
	reservation, waiter, err := client.reserveOrQueue(tokens)
	if waiter == nil {
		return reservation, err
	}
	select {
	case reservation := <-waiter.ready:
		return reservation, nil
	case <-ctx.Done():
	case <-client.closing.Done():
	}
	if client.removeWaiter(waiter) {
		return Reservation{}, client.waitError(ctx, tokens)
	}
	return <-waiter.ready, nil
}

// Resize changes rate and burst. The number of shards never changes.
func (client *Client) Resize(rate, burst conf.Tokens) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.rate, client.burst = rate, burst
	for index := range client.shards {
		client.shards[index].resize(rate, burst, index, len(client.shards))
	}
}

// EstimateWait returns how long a request of this cost would wait in Reserve. It
// uses the last known levels and, while requests wait, the rate at which this
// process was served recently. It tends to underestimate.
func (client *Client) EstimateWait(tokens conf.Tokens) time.Duration {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	now := time.Now()
	missing := tokens - client.available(now)
	for _, waiter := range client.waiters {
		missing += waiter.tokens
	}
	for index := range client.shards {
		missing -= client.shards[index].estimate(now, client.contention.accrualShare)
	}
	if missing <= 0 {
		return 0
	}
	return accrualTime(missing, client.contention.serviceRate(client.rate))
}

// Close refunds all held tokens and fails the waiting calls of Reserve. Open
// reservations can still be settled.
func (client *Client) Close(ctx context.Context) {
	client.mutex.Lock()
	client.closed = true
	client.cancel()
	client.returnAll()
	client.mutex.Unlock()
	var group sync.WaitGroup
	for shard := range client.shards {
		group.Go(func() { client.sendRefunds(ctx, shard) })
	}
	group.Wait()
}

// reserveOrQueue serves a call of Reserve at once or queues it.
func (client *Client) reserveOrQueue(tokens conf.Tokens) (Reservation, *waiter, error) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	now := time.Now()
	switch {
	case tokens <= 0:
		return Reservation{}, nil, nil
	case client.closed:
		return Reservation{}, nil, errShuttingDown()
	case tokens > client.burst:
		return Reservation{}, nil, fault.New(fault.RateExceeded, fault.NotRun,
			"the request costs %d tokens, more than the organisation's burst of %d; lower max_tokens or raise the burst", tokens, client.burst)
	}
	client.demand.record(now, tokens)
	if len(client.waiters) == 0 && client.available(now) >= tokens {
		return client.reserveHeld(now, tokens), nil, nil
	}
	waiter := &waiter{tokens: tokens, ready: make(chan Reservation, 1)}
	client.waiters = append(client.waiters, waiter)
	if !client.collecting {
		client.collecting = true
		client.contention.begin(now)
		go client.collect()
	}
	return Reservation{}, waiter, nil
}

// removeWaiter removes a waiter and reports whether it was still queued.
func (client *Client) removeWaiter(waiter *waiter) bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for index, queued := range client.waiters {
		if queued == waiter {
			client.waiters = append(client.waiters[:index:index], client.waiters[index+1:]...)
			client.wakeCollector()
			return true
		}
	}
	return false
}

// waitError returns the fault for a call of Reserve that was not served.
func (client *Client) waitError(ctx context.Context, tokens conf.Tokens) error {
	switch err := ctx.Err(); {
	case err == nil:
		return errShuttingDown()
	case errors.Is(err, context.DeadlineExceeded):
		return fault.New(fault.WaitExceeded, fault.NotRun,
			"the organisation's tokens did not suffice within the route's longest wait; retry later or raise the rate",
		).WithRetryAfter(max(time.Second, client.EstimateWait(tokens)))
	default:
		return fault.New(fault.Cancelled, fault.NotRun, "the caller gave the request up while it waited for tokens; send it again if it is still needed")
	}
}

func errShuttingDown() error {
	return fault.New(fault.Draining, fault.NotRun, "the side process is shutting down; send the request to another upstream")
}

// wakeCollector wakes the goroutine that collects tokens.
func (client *Client) wakeCollector() {
	select {
	case client.wakeup <- struct{}{}:
	default:
	}
}
