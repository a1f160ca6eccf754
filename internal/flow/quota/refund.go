package quota

import (
	"context"
	"slices"
	"time"
)

const (
	// refundDelay is how long returns wait, so that several debits of one grant
	// share a message.
	refundDelay = 100 * time.Millisecond
	// promptDelay is how long returns of unspent tokens wait. It lets the grants
	// that are given back together share one goroutine.
	promptDelay = time.Millisecond
	// idleDelay is how long unused tokens are kept after the last request.
	idleDelay = 100 * time.Millisecond
	// A failed return is repeated after retryDelay, doubling, refundAttempts
	// times in all. The tokens are lost after that.
	retryDelay     = 200 * time.Millisecond
	refundAttempts = 8
)

// arm starts the timer that returns unused tokens.
func (wallet *Client) arm(now time.Time) {
	if len(wallet.holdings) == 0 {
		return
	}
	wait := wallet.demand.at.Add(idleDelay).Sub(now)
	for _, holding := range wallet.holdings {
		wait = min(wait, holding.expires.Sub(now)-spendMargin)
	}
	wait = max(promptDelay, wait)
	if wallet.sweeper == nil {
		wallet.sweeper = time.AfterFunc(wait, wallet.sweep)
		return
	}
	wallet.sweeper.Reset(wait)
}

// sweep returns what has been held without demand, and what is about to expire.
func (wallet *Client) sweep() {
	wallet.mutex.Lock()
	defer wallet.mutex.Unlock()
	now := time.Now()
	if wallet.gathering {
		return
	}
	wallet.expire(now)
	if now.Sub(wallet.demand.at) >= idleDelay {
		wallet.giveBack()
		return
	}
	wallet.arm(now)
}

// expire returns what can no longer be spent. The shard still counts it as
// outstanding, so it is credited in full.
func (wallet *Client) expire(now time.Time) {
	for _, holding := range slices.Clone(wallet.holdings) {
		if !holding.spendable(now) {
			wallet.release(holding)
		}
	}
}

// giveBack returns all tokens that have not been spent.
func (wallet *Client) giveBack() {
	for _, holding := range slices.Clone(wallet.holdings) {
		wallet.release(holding)
	}
}

// release returns what is left of one grant.
func (wallet *Client) release(released *holding) {
	released.returned += released.left
	wallet.views[released.shard].credited(released.left)
	released.left = 0
	wallet.holdings = slices.DeleteFunc(wallet.holdings, func(holding *holding) bool { return holding == released })
	wallet.schedule(released, promptDelay)
}

// schedule queues a return for a grant.
func (wallet *Client) schedule(holding *holding, delay time.Duration) {
	view := &wallet.views[holding.shard]
	if !holding.queued {
		holding.queued = true
		view.refunds = append(view.refunds, holding)
	}
	wallet.arrange(holding.shard, delay)
}

// arrange makes sure that returns are sent to a shard after the delay.
func (wallet *Client) arrange(shard int, delay time.Duration) {
	view := &wallet.views[shard]
	switch {
	case view.sending:
	case view.scheduled == nil:
		view.scheduled = time.AfterFunc(delay, func() { wallet.send(context.Background(), shard) })
	case delay == promptDelay:
		view.scheduled.Reset(promptDelay)
	}
}

// send sends the queued returns of one shard.
func (wallet *Client) send(ctx context.Context, shard int) {
	for {
		holding, refund, ok := wallet.nextRefund(shard)
		if !ok {
			return
		}
		limited, cancel := context.WithTimeout(ctx, drawTimeout)
		err := wallet.source.Return(limited, shard, refund)
		cancel()
		if !wallet.sent(holding, refund, err) {
			return
		}
	}
}

// nextRefund picks the next return of a shard that is worth a message. It
// reports false when there is none or another call is sending.
func (wallet *Client) nextRefund(shard int) (*holding, Refund, bool) {
	wallet.mutex.Lock()
	defer wallet.mutex.Unlock()
	view := &wallet.views[shard]
	if view.sending {
		return nil, Refund{}, false
	}
	now := time.Now()
	for len(view.refunds) > 0 {
		holding := view.refunds[0]
		view.refunds = view.refunds[1:]
		holding.queued = false
		if holding.returned > holding.sent && now.Sub(holding.expires) < Memory {
			view.sending = true
			return holding, Refund{
				ID:          holding.grant.ID,
				Incarnation: holding.grant.Incarnation,
				Tokens:      holding.returned,
				Settled:     holding.finished(),
			}, true
		}
	}
	view.scheduled = nil
	return nil, Refund{}, false
}

// sent records the outcome of a return and reports whether to go on.
func (wallet *Client) sent(holding *holding, refund Refund, err error) bool {
	wallet.mutex.Lock()
	defer wallet.mutex.Unlock()
	view := &wallet.views[holding.shard]
	view.sending = false
	if err == nil {
		holding.sent = max(holding.sent, refund.Tokens)
		holding.attempts = 0
		return true
	}
	view.scheduled = nil
	holding.attempts++
	if holding.attempts < refundAttempts {
		wallet.schedule(holding, retryDelay<<holding.attempts)
	}
	if len(view.refunds) > 0 {
		wallet.arrange(holding.shard, retryDelay)
	}
	return false
}
