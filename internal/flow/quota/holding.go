package quota

import (
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// spendMargin is the least lifetime that a grant must have left to be spent.
// It leaves the caller time to dispatch.
const spendMargin = 30 * time.Millisecond

// holding is a grant in a wallet.
type holding struct {
	shard   int
	grant   Grant
	expires time.Time
	// left is what may still be spent or returned unused.
	left model.Tokens
	// returned is the total to be returned; sent of it has been sent.
	returned model.Tokens
	sent     model.Tokens
	// uncommitted counts the debits that may still be dispatched. The grant is
	// settled only when there are none.
	uncommitted int
	// queued says that the holding waits in its view's list of refunds.
	queued   bool
	attempts int
}

// Reservation is what Take took for one request.
type Reservation struct {
	spending *spending
}

type spending struct {
	parts     []part
	expires   time.Time
	committed bool
	settled   bool
}

type part struct {
	holding *holding
	tokens  model.Tokens
}

// Commit counts the request as dispatched now. It reports false when the
// debit's grants have expired since Take, for example because the process was
// paused; the caller then settles the debit with 0 and takes anew. The caller
// sends the request directly after Commit.
func (wallet *Client) Commit(debit Reservation) bool {
	if debit.spending == nil {
		return true
	}
	wallet.mutex.Lock()
	defer wallet.mutex.Unlock()
	if debit.spending.settled || !time.Now().Before(debit.spending.expires) {
		return false
	}
	debit.spending.commit()
	return true
}

// Settle returns the unused tokens of a request that has ended. A request that
// was not dispatched used 0. Only the first call for a Debit counts.
func (wallet *Client) Settle(debit Reservation, used model.Tokens) {
	if debit.spending == nil {
		return
	}
	wallet.mutex.Lock()
	defer wallet.mutex.Unlock()
	if debit.spending.settled {
		return
	}
	debit.spending.settled = true
	debit.spending.commit()
	used = max(0, used)
	for _, part := range debit.spending.parts {
		spent := min(used, part.tokens)
		used -= spent
		if spent < part.tokens {
			part.holding.returned += part.tokens - spent
			wallet.schedule(part.holding, refundDelay)
		}
	}
}

// commit ends the time in which a debit may be dispatched.
func (spending *spending) commit() {
	if spending.committed {
		return
	}
	spending.committed = true
	for _, part := range spending.parts {
		part.holding.uncommitted--
	}
}

// finished reports whether nothing of the grant will be spent any more.
func (holding *holding) finished() bool {
	return holding.left == 0 && holding.uncommitted == 0
}

// spendable reports whether the grant has enough of its lifetime left.
func (holding *holding) spendable(now time.Time) bool {
	return holding.expires.Sub(now) > spendMargin
}

// free returns the tokens that may be spent now.
func (wallet *Client) free(now time.Time) model.Tokens {
	var sum model.Tokens
	for _, holding := range wallet.holdings {
		if holding.spendable(now) {
			sum += holding.left
		}
	}
	return sum
}

// spend takes tokens from the holdings, which must suffice, oldest first.
func (wallet *Client) spend(now time.Time, tokens model.Tokens) Reservation {
	spending := &spending{}
	for _, holding := range wallet.holdings {
		if tokens == 0 {
			break
		}
		taken := min(tokens, holding.left)
		if taken == 0 || !holding.spendable(now) {
			continue
		}
		tokens -= taken
		holding.left -= taken
		holding.uncommitted++
		spending.parts = append(spending.parts, part{holding: holding, tokens: taken})
		if spending.expires.IsZero() || holding.expires.Before(spending.expires) {
			spending.expires = holding.expires
		}
	}
	wallet.holdings = slices.DeleteFunc(wallet.holdings, func(holding *holding) bool { return holding.left == 0 })
	return Reservation{spending: spending}
}

// serve hands tokens to waiters in order, as far as they suffice.
func (wallet *Client) serve(now time.Time) {
	for len(wallet.queue) > 0 && wallet.free(now) >= wallet.queue[0].tokens {
		waiter := wallet.queue[0]
		wallet.queue = wallet.queue[1:]
		wallet.sharing.note(now, waiter.tokens)
		waiter.ready <- wallet.spend(now, waiter.tokens)
	}
}
