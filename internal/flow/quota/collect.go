package quota

import (
	"cmp"
	"context"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

const (
	// The time between two attempts to collect tokens lies between these limits.
	minCollectWait = 5 * time.Millisecond
	maxCollectWait = 250 * time.Millisecond
	// A shard with less than 1/usefulDivisor of the missing tokens is asked
	// only after all others.
	usefulDivisor = 16
)

// drawRequest is one draw from a shard.
type drawRequest struct {
	shard int
	want  conf.Tokens
	least conf.Tokens
}

// candidate is a shard that may be asked, with the tokens that it is expected to
// grant.
type candidate struct {
	shard    int
	estimate conf.Tokens
	score    float64
}

// collect draws tokens until no request waits.
func (client *Client) collect() {
	for {
		draws, wait, done := client.planDraws(time.Now())
		if done {
			return
		}
		for _, draw := range draws {
			go client.drawFrom(draw)
		}
		timer := time.NewTimer(wait)
		select {
		case <-client.wakeup:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// planDraws serves waiting requests, then decides what to draw or how long to
// wait. Only the first waiting request determines how many tokens are missing,
// so that those behind it can't delay a large request.
func (client *Client) planDraws(now time.Time) (draws []drawRequest, wait time.Duration, done bool) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.returnExpired(now)
	client.serveWaiters(now)
	if len(client.waiters) == 0 || client.closed {
		client.collecting = false
		client.armIdleTimer(now)
		return nil, 0, true
	}
	missing := client.waiters[0].tokens - client.available(now)
	expected, until := client.expectedTokens(now)
	if missing <= expected {
		return nil, until.Sub(now), false
	}
	candidates, total := client.candidates(now, RefundWindow)
	if total+expected < missing {
		candidates, total = client.candidates(now, client.contention.staleAfter)
	}
	if total+expected < missing {
		return nil, client.waitForAccrual(now, missing-expected-total, expected > 0), false
	}
	draws = client.chooseDraws(now, candidates, missing-expected)
	_, until = client.expectedTokens(now)
	return draws, until.Sub(now), false
}

// expectedTokens returns how many tokens the pending draws are expected to bring,
// and the earliest time at which one of them is overdue, at most maxCollectWait
// ahead.
func (client *Client) expectedTokens(now time.Time) (conf.Tokens, time.Time) {
	var sum conf.Tokens
	until := now.Add(maxCollectWait)
	for index := range client.shards {
		shardView := &client.shards[index]
		if shardView.drawPending && now.Before(shardView.expectedBy) {
			sum += shardView.expectedTokens
			if shardView.expectedBy.Before(until) {
				until = shardView.expectedBy
			}
		}
	}
	return sum, until
}

// candidates returns the shards that are expected to have tokens, and the sum of
// these. Local shards that are at least half full come first; the others are
// ordered by level with some randomness, which spreads clients over the shards.
// A shard whose level is at least staleAfter old is assumed to be full, because
// other clients may have refunded tokens to it.
func (client *Client) candidates(now time.Time, staleAfter time.Duration) ([]candidate, conf.Tokens) {
	var list []candidate
	var total conf.Tokens
	for index := range client.shards {
		shardView := &client.shards[index]
		estimate := shardView.estimate(now, client.contention.accrualShare)
		if now.Sub(shardView.updated) >= staleAfter && shardView.drawable(now) {
			estimate = shardView.burst
		}
		if estimate < 1 {
			continue
		}
		score := float64(estimate) * (0.5 + client.random.Float64())
		if shardView.local && 2*estimate >= shardView.burst {
			score += float64(client.burst)
		}
		total += estimate
		list = append(list, candidate{shard: index, estimate: estimate, score: score})
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	return list, total
}

// chooseDraws picks the shards to ask, all at once. The last one picked is also
// asked for what the later waiting requests and the recent demand are likely to
// need, up to half of what it has beyond its part of the missing tokens.
func (client *Client) chooseDraws(now time.Time, candidates []candidate, missing conf.Tokens) []drawRequest {
	var draws []drawRequest
	usefulTokens := (missing + usefulDivisor - 1) / usefulDivisor
	for pass := range 2 {
		for _, candidate := range candidates {
			if missing <= 0 || (candidate.estimate >= usefulTokens) != (pass == 0) {
				continue
			}
			need := min(missing, candidate.estimate)
			missing -= need
			want := need
			if missing == 0 {
				want += min(client.prefetchTokens(now), (candidate.estimate-need)/2)
			}
			client.shards[candidate.shard].beginDraw(now, need)
			draws = append(draws, drawRequest{shard: candidate.shard, want: want, least: (need + 1) / 2})
		}
	}
	return draws
}

// prefetchTokens returns how many tokens to draw beyond those of the first
// waiting request.
func (client *Client) prefetchTokens(now time.Time) conf.Tokens {
	ahead := client.demand.prefetchTokens(now)
	var queued conf.Tokens
	for _, waiter := range client.waiters[1:] {
		queued += waiter.tokens
	}
	return max(ahead, queued)
}

// waitForAccrual returns how long to wait when the shards have too few tokens,
// and decides whether to keep the tokens collected so far. They are kept only if
// they are at least half of what the first waiting request needs and stay
// spendable during the wait: if every process kept small parts, none could serve
// a request.
func (client *Client) waitForAccrual(now time.Time, missing conf.Tokens, drawPending bool) time.Duration {
	rate := max(1, conf.Tokens(float64(client.rate)*client.contention.accrualShare))
	wait := jitter(client.random, max(minCollectWait, min(maxCollectWait, accrualTime(missing, rate))))
	client.contention.recordShortage()
	available := client.available(now)
	if drawPending || available == 0 {
		return wait
	}
	keep := 2*available >= client.waiters[0].tokens
	for _, heldGrant := range client.held {
		keep = keep && heldGrant.spendable(now.Add(wait))
	}
	if !keep {
		client.returnAll()
	}
	return wait
}

// drawFrom draws from one shard and records the reply.
func (client *Client) drawFrom(draw drawRequest) {
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(client.closing, callTimeout)
	grant, err := client.transport.Draw(ctx, draw.shard, draw.want, draw.least)
	cancel()
	now := time.Now()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	shardView := &client.shards[draw.shard]
	metEstimate := grant.Tokens >= shardView.expectedTokens
	shardView.drawPending = false
	if err != nil {
		shardView.recordFailure(now, client.random)
	} else {
		shardView.recordReply(sentAt, now, grant, draw.least)
		client.contention.adapt(metEstimate)
	}
	if grant.Tokens > 0 {
		client.addGrant(now, &heldGrant{shard: draw.shard, grant: grant, expires: sentAt.Add(grant.Lifetime), remaining: grant.Tokens})
	}
	client.wakeCollector()
}

// addGrant adds a grant to those held, or refunds it if it arrived too late.
func (client *Client) addGrant(now time.Time, heldGrant *heldGrant) {
	client.held = append(client.held, heldGrant)
	if !heldGrant.spendable(now) || client.closed {
		client.returnUnspent(heldGrant)
		return
	}
	if !client.collecting {
		client.armIdleTimer(now)
	}
}
