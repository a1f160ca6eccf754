package quota

import (
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// dispatchMargin is the least remaining lifetime with which a grant is spent. It
// leaves the caller time to dispatch the request.
const dispatchMargin = 30 * time.Millisecond

// heldGrant is a grant held by a client.
type heldGrant struct {
	shard   int
	grant   Grant
	expires time.Time
	// remaining is what may still be spent or refunded unspent.
	remaining conf.Tokens
	// refundTotal is the total that has become refundable so far, and
	// acknowledged the part of it whose refund the shard has acknowledged.
	refundTotal  conf.Tokens
	acknowledged conf.Tokens
	// uncommittedParts counts the parts of reservations that may still be
	// dispatched. The grant is settled only when there are none.
	uncommittedParts int
	// refundQueued reports whether the grant is in its shard's pendingRefunds.
	refundQueued  bool
	failedRefunds int
}

// Reservation is what Reserve set aside for one request.
type Reservation struct {
	state *reservationState
}

type reservationState struct {
	parts     []reservedPart
	expires   time.Time
	committed bool
	settled   bool
}

type reservedPart struct {
	held   *heldGrant
	tokens conf.Tokens
}

// Commit counts the request as dispatched now; the caller sends it directly
// afterwards. It returns false if the reservation has been settled or one of its
// grants has expired since Reserve, for example because the process was paused.
// The caller then settles the reservation with 0 and reserves anew.
func (client *Client) Commit(reservation Reservation) bool {
	if reservation.state == nil {
		return true
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if reservation.state.settled || !time.Now().Before(reservation.state.expires) {
		return false
	}
	reservation.state.markCommitted()
	return true
}

// Settle refunds the tokens that a request has not used when it ends. A request
// that was not dispatched used 0. Only the first call for a reservation counts.
func (client *Client) Settle(reservation Reservation, used conf.Tokens) {
	if reservation.state == nil {
		return
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if reservation.state.settled {
		return
	}
	reservation.state.settled = true
	reservation.state.markCommitted()
	used = max(0, used)
	for _, part := range reservation.state.parts {
		spent := min(used, part.tokens)
		used -= spent
		if spent < part.tokens {
			part.held.refundTotal += part.tokens - spent
			client.queueRefund(part.held, refundBatchDelay)
		}
	}
}

// markCommitted ends the time in which the reservation may be dispatched.
func (state *reservationState) markCommitted() {
	if state.committed {
		return
	}
	state.committed = true
	for _, part := range state.parts {
		part.held.uncommittedParts--
	}
}

// exhausted reports whether nothing of the grant will be spent any more.
func (heldGrant *heldGrant) exhausted() bool {
	return heldGrant.remaining == 0 && heldGrant.uncommittedParts == 0
}

// spendable reports whether the grant has more than dispatchMargin of its
// lifetime left.
func (heldGrant *heldGrant) spendable(now time.Time) bool {
	return heldGrant.expires.Sub(now) > dispatchMargin
}

// available returns the tokens that may be spent now.
func (client *Client) available(now time.Time) conf.Tokens {
	var sum conf.Tokens
	for _, heldGrant := range client.held {
		if heldGrant.spendable(now) {
			sum += heldGrant.remaining
		}
	}
	return sum
}

// reserveHeld reserves tokens from the held grants, oldest first. The available
// tokens must suffice.
func (client *Client) reserveHeld(now time.Time, tokens conf.Tokens) Reservation {
	state := &reservationState{}
	for _, heldGrant := range client.held {
		if tokens == 0 {
			break
		}
		taken := min(tokens, heldGrant.remaining)
		if taken == 0 || !heldGrant.spendable(now) {
			continue
		}
		tokens -= taken
		heldGrant.remaining -= taken
		heldGrant.uncommittedParts++
		state.parts = append(state.parts, reservedPart{held: heldGrant, tokens: taken})
		if state.expires.IsZero() || heldGrant.expires.Before(state.expires) {
			state.expires = heldGrant.expires
		}
	}
	client.held = slices.DeleteFunc(client.held, func(heldGrant *heldGrant) bool { return heldGrant.remaining == 0 })
	return Reservation{state: state}
}

// serveWaiters serves waiting requests in order, as long as the tokens suffice.
func (client *Client) serveWaiters(now time.Time) {
	for len(client.waiters) > 0 && client.available(now) >= client.waiters[0].tokens {
		waiter := client.waiters[0]
		client.waiters = client.waiters[1:]
		client.contention.recordServed(now, waiter.tokens)
		waiter.ready <- client.reserveHeld(now, waiter.tokens)
	}
}
