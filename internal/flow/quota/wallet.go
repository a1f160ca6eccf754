package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// ClientConfig configures a Wallet.
type ClientConfig struct {
	// Transport reaches the shards.
	Transport Transport
	// ShardCount is the number of the organisation's shards.
	ShardCount int
	// LocalShards lists the shards hosted by this process; they are asked first.
	LocalShards []int
	// Rate and Burst are the whole organisation's.
	Rate  model.Tokens
	Burst model.Tokens
	// Seed makes the order of shards and the jitter reproducible.
	Seed uint64
}

// Client is the consumer of one organisation's tokens at one side process. Its
// methods may be called concurrently. It runs no goroutine while it has neither
// waiting calls of Take nor tokens to return.
type Client struct {
	source Transport
	wake   chan struct{}
	ended  context.Context
	end    context.CancelFunc

	mutex     sync.Mutex
	rate      model.Tokens
	burst     model.Tokens
	views     []view
	holdings  []*holding // with tokens to spend, in the order of arrival
	queue     []*waiter
	gathering bool
	closed    bool
	demand    demand
	sharing   sharing
	random    *rand.Rand
	sweeper   *time.Timer
}

// waiter is a waiting call of Take.
type waiter struct {
	tokens model.Tokens
	ready  chan Reservation
}

// NewClient returns a wallet that holds nothing.
func NewClient(config ClientConfig) *Client {
	wallet := &Client{
		source: config.Transport,
		wake:   make(chan struct{}, 1),
		rate:   config.Rate,
		burst:  config.Burst,
		views:  make([]view, config.ShardCount),
		random: rand.New(rand.NewPCG(config.Seed, 0)),
	}
	wallet.ended, wallet.end = context.WithCancel(context.Background())
	for index := range wallet.views {
		wallet.views[index] = newView(config, index)
	}
	return wallet
}

// Reserve waits until it has gathered tokens; calls are served in their order.
// The caller calls Commit directly before it dispatches the request, and Settle
// when the request has ended.
func (wallet *Client) Reserve(ctx context.Context, tokens model.Tokens) (Reservation, error) {
	debit, waiter, err := wallet.enter(tokens)
	if waiter == nil {
		return debit, err
	}
	select {
	case debit := <-waiter.ready:
		return debit, nil
	case <-ctx.Done():
	case <-wallet.ended.Done():
	}
	if wallet.leave(waiter) {
		return Reservation{}, wallet.refusal(ctx, tokens)
	}
	return <-waiter.ready, nil
}

// Resize follows a configuration change. The number of shards never changes.
func (wallet *Client) Resize(rate, burst model.Tokens) {
	wallet.mutex.Lock()
	defer wallet.mutex.Unlock()
	wallet.rate, wallet.burst = rate, burst
	for index := range wallet.views {
		wallet.views[index].resize(rate, burst, index, len(wallet.views))
	}
}

// EstimateWait returns how long a request of this cost would wait in Take. It
// rests on the levels last seen and, while requests wait, on the rate at which
// this process was served lately; it errs on the side of a short wait.
func (wallet *Client) EstimateWait(tokens model.Tokens) time.Duration {
	wallet.mutex.Lock()
	defer wallet.mutex.Unlock()
	now := time.Now()
	missing := tokens - wallet.free(now)
	for _, waiter := range wallet.queue {
		missing += waiter.tokens
	}
	for index := range wallet.views {
		missing -= wallet.views[index].estimate(now, wallet.sharing.factor)
	}
	if missing <= 0 {
		return 0
	}
	return accrualTime(missing, wallet.sharing.served(wallet.rate))
}

// Close returns everything that is held and fails the waiting calls of Take.
// Debits can still be settled.
func (wallet *Client) Close(ctx context.Context) {
	wallet.mutex.Lock()
	wallet.closed = true
	wallet.end()
	wallet.giveBack()
	wallet.mutex.Unlock()
	var group sync.WaitGroup
	for shard := range wallet.views {
		group.Go(func() { wallet.send(ctx, shard) })
	}
	group.Wait()
}

// enter serves a call of Take at once or queues it.
func (wallet *Client) enter(tokens model.Tokens) (Reservation, *waiter, error) {
	wallet.mutex.Lock()
	defer wallet.mutex.Unlock()
	now := time.Now()
	switch {
	case tokens <= 0:
		return Reservation{}, nil, nil
	case wallet.closed:
		return Reservation{}, nil, errLeaving()
	case tokens > wallet.burst:
		return Reservation{}, nil, fault.New(fault.RateExceeded, fault.NotRun,
			"the request costs %d tokens, more than the organisation's burst of %d; lower max_tokens or raise the burst", tokens, wallet.burst)
	}
	wallet.demand.note(now, tokens)
	if len(wallet.queue) == 0 && wallet.free(now) >= tokens {
		return wallet.spend(now, tokens), nil, nil
	}
	waiter := &waiter{tokens: tokens, ready: make(chan Reservation, 1)}
	wallet.queue = append(wallet.queue, waiter)
	if !wallet.gathering {
		wallet.gathering = true
		wallet.sharing.begin(now)
		go wallet.gather()
	}
	return Reservation{}, waiter, nil
}

// leave removes a waiter and reports whether it was still queued.
func (wallet *Client) leave(waiter *waiter) bool {
	wallet.mutex.Lock()
	defer wallet.mutex.Unlock()
	for index, queued := range wallet.queue {
		if queued == waiter {
			wallet.queue = append(wallet.queue[:index:index], wallet.queue[index+1:]...)
			wallet.signal()
			return true
		}
	}
	return false
}

// refusal returns the fault of a call of Take that was not served.
func (wallet *Client) refusal(ctx context.Context, tokens model.Tokens) error {
	switch err := ctx.Err(); {
	case err == nil:
		return errLeaving()
	case errors.Is(err, context.DeadlineExceeded):
		return fault.New(fault.WaitExceeded, fault.NotRun,
			"the organisation's tokens did not suffice within the route's longest wait; retry later or raise the rate",
		).WithRetryAfter(max(time.Second, wallet.EstimateWait(tokens)))
	default:
		return fault.New(fault.Cancelled, fault.NotRun, "the caller gave the request up while it waited for tokens; send it again if it is still needed")
	}
}

func errLeaving() error {
	return fault.New(fault.Leaving, fault.NotRun, "the side process is shutting down; send the request to another upstream")
}

// signal wakes the gathering goroutine.
func (wallet *Client) signal() {
	select {
	case wallet.wake <- struct{}{}:
	default:
	}
}
