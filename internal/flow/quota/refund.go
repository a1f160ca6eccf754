package quota

import (
	"context"
	"slices"
	"time"
)

const (
	// refundBatchDelay delays refunds so that several reservations of one grant
	// share a message.
	refundBatchDelay = 100 * time.Millisecond
	// unspentRefundDelay delays refunds of unspent tokens, so that grants that are
	// returned together share one goroutine.
	unspentRefundDelay = time.Millisecond
	// idleTimeout is how long unspent tokens are held after the last request.
	idleTimeout = 100 * time.Millisecond
	// A failed refund is repeated after twice refundRetryDelay, doubling with each
	// failure, up to maxRefundAttempts attempts in all. Then its tokens are lost.
	refundRetryDelay  = 200 * time.Millisecond
	maxRefundAttempts = 8
)

// armIdleTimer starts the timer that returns unspent tokens.
func (client *Client) armIdleTimer(now time.Time) {
	if len(client.held) == 0 {
		return
	}
	wait := client.demand.updated.Add(idleTimeout).Sub(now)
	for _, heldGrant := range client.held {
		wait = min(wait, heldGrant.expires.Sub(now)-dispatchMargin)
	}
	wait = max(unspentRefundDelay, wait)
	if client.idleTimer == nil {
		client.idleTimer = time.AfterFunc(wait, client.returnIdle)
		return
	}
	client.idleTimer.Reset(wait)
}

// returnIdle returns all tokens after idleTimeout without a request, and
// otherwise those that are about to expire.
func (client *Client) returnIdle() {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	now := time.Now()
	if client.collecting {
		return
	}
	client.returnExpired(now)
	if now.Sub(client.demand.updated) >= idleTimeout {
		client.returnAll()
		return
	}
	client.armIdleTimer(now)
}

// returnExpired returns what can no longer be spent. The shard still counts it as
// outstanding, so it is credited in full.
func (client *Client) returnExpired(now time.Time) {
	for _, heldGrant := range slices.Clone(client.held) {
		if !heldGrant.spendable(now) {
			client.returnUnspent(heldGrant)
		}
	}
}

// returnAll returns all unspent tokens.
func (client *Client) returnAll() {
	for _, heldGrant := range slices.Clone(client.held) {
		client.returnUnspent(heldGrant)
	}
}

// returnUnspent returns the remaining tokens of one grant.
func (client *Client) returnUnspent(released *heldGrant) {
	released.refundTotal += released.remaining
	client.shards[released.shard].recordReturn(released.remaining)
	released.remaining = 0
	client.held = slices.DeleteFunc(client.held, func(heldGrant *heldGrant) bool { return heldGrant == released })
	client.queueRefund(released, unspentRefundDelay)
}

// queueRefund queues a refund for a grant.
func (client *Client) queueRefund(heldGrant *heldGrant, delay time.Duration) {
	shardView := &client.shards[heldGrant.shard]
	if !heldGrant.refundQueued {
		heldGrant.refundQueued = true
		shardView.pendingRefunds = append(shardView.pendingRefunds, heldGrant)
	}
	client.scheduleRefunds(heldGrant.shard, delay)
}

// scheduleRefunds arranges for the queued refunds of a shard to be sent after the
// delay.
func (client *Client) scheduleRefunds(shard int, delay time.Duration) {
	shardView := &client.shards[shard]
	switch {
	case shardView.refundInFlight:
	case shardView.refundTimer == nil:
		shardView.refundTimer = time.AfterFunc(delay, func() { client.sendRefunds(context.Background(), shard) })
	case delay == unspentRefundDelay:
		shardView.refundTimer.Reset(unspentRefundDelay)
	}
}

// sendRefunds sends the queued refunds of one shard.
func (client *Client) sendRefunds(ctx context.Context, shard int) {
	for {
		heldGrant, refund, ok := client.nextRefund(shard)
		if !ok {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := client.transport.Return(callCtx, shard, refund)
		cancel()
		if !client.recordRefund(heldGrant, refund, err) {
			return
		}
	}
}

// nextRefund returns the next refund of a shard that still has an effect. It
// returns false if there is none or another call is sending.
func (client *Client) nextRefund(shard int) (*heldGrant, Refund, bool) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	shardView := &client.shards[shard]
	if shardView.refundInFlight {
		return nil, Refund{}, false
	}
	now := time.Now()
	for len(shardView.pendingRefunds) > 0 {
		heldGrant := shardView.pendingRefunds[0]
		shardView.pendingRefunds = shardView.pendingRefunds[1:]
		heldGrant.refundQueued = false
		if heldGrant.refundTotal > heldGrant.acknowledged && now.Sub(heldGrant.expires) < RefundWindow {
			shardView.refundInFlight = true
			return heldGrant, Refund{
				ID:          heldGrant.grant.ID,
				Incarnation: heldGrant.grant.Incarnation,
				Tokens:      heldGrant.refundTotal,
				Settled:     heldGrant.exhausted(),
			}, true
		}
	}
	shardView.refundTimer = nil
	return nil, Refund{}, false
}

// recordRefund records the outcome of a refund and reports whether to send the
// next one.
func (client *Client) recordRefund(heldGrant *heldGrant, refund Refund, err error) bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	shardView := &client.shards[heldGrant.shard]
	shardView.refundInFlight = false
	if err == nil {
		heldGrant.acknowledged = max(heldGrant.acknowledged, refund.Tokens)
		heldGrant.failedRefunds = 0
		return true
	}
	shardView.refundTimer = nil
	heldGrant.failedRefunds++
	if heldGrant.failedRefunds < maxRefundAttempts {
		client.queueRefund(heldGrant, refundRetryDelay<<heldGrant.failedRefunds)
	}
	if len(shardView.pendingRefunds) > 0 {
		client.scheduleRefunds(heldGrant.shard, refundRetryDelay)
	}
	return false
}
