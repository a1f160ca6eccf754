package quota

import (
	"cmp"
	"context"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

const (
	// The wait between two attempts to gather tokens lies between these.
	minWait = 5 * time.Millisecond
	maxWait = 250 * time.Millisecond
	// A shard is asked only if it is taken to have this part of what is missing.
	usefulPart = 16
)

// draw is one call to a shard.
type draw struct {
	shard int
	want  model.Tokens
	least model.Tokens
}

// candidate is a shard that may be asked.
type candidate struct {
	shard    int
	estimate model.Tokens
	rank     float64
}

// gather draws tokens until nobody waits.
func (wallet *Client) gather() {
	for {
		draws, wait, done := wallet.plan(time.Now())
		if done {
			return
		}
		for _, draw := range draws {
			go wallet.draw(draw)
		}
		timer := time.NewTimer(wait)
		select {
		case <-wallet.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// plan serves waiters and decides what to draw, or how long to wait. The first
// waiter alone decides what is missing, so that those behind it cannot keep a
// large request waiting.
func (wallet *Client) plan(now time.Time) (draws []draw, wait time.Duration, done bool) {
	wallet.mutex.Lock()
	defer wallet.mutex.Unlock()
	wallet.expire(now)
	wallet.serve(now)
	if len(wallet.queue) == 0 || wallet.closed {
		wallet.gathering = false
		wallet.arm(now)
		return nil, 0, true
	}
	missing := wallet.queue[0].tokens - wallet.free(now)
	expected, until := wallet.expected(now)
	if missing <= expected {
		return nil, until.Sub(now), false
	}
	candidates, total := wallet.candidates(now, Memory)
	if total+expected < missing {
		candidates, total = wallet.candidates(now, wallet.sharing.doubt)
	}
	if total+expected < missing {
		return nil, wallet.hold(now, missing-expected-total, expected > 0), false
	}
	draws = wallet.choose(now, candidates, missing-expected)
	_, until = wallet.expected(now)
	return draws, until.Sub(now), false
}

// expected returns what the draws under way are taken to bring, and until when.
func (wallet *Client) expected(now time.Time) (model.Tokens, time.Time) {
	var sum model.Tokens
	until := now.Add(maxWait)
	for index := range wallet.views {
		view := &wallet.views[index]
		if view.drawing && now.Before(view.expectUntil) {
			sum += view.expected
			if view.expectUntil.Before(until) {
				until = view.expectUntil
			}
		}
	}
	return sum, until
}

// candidates returns the shards with tokens, own ones first, then by level
// with some randomness so that wallets spread over the shards. A shard of which
// nothing has been heard for the time of doubt is taken to be full, because
// others may have returned tokens to it.
func (wallet *Client) candidates(now time.Time, doubt time.Duration) ([]candidate, model.Tokens) {
	var list []candidate
	var total model.Tokens
	for index := range wallet.views {
		view := &wallet.views[index]
		estimate := view.estimate(now, wallet.sharing.factor)
		if now.Sub(view.at) >= doubt && view.usable(now) {
			estimate = view.burst
		}
		if estimate < 1 {
			continue
		}
		rank := float64(estimate) * (0.5 + wallet.random.Float64())
		if view.own && 2*estimate >= view.burst {
			rank += float64(wallet.burst)
		}
		total += estimate
		list = append(list, candidate{shard: index, estimate: estimate, rank: rank})
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	return list, total
}

// choose picks the shards to ask, all at once. The first one is also asked for
// what those behind the first waiter and recent demand make likely, up to half
// of what it has beyond the need.
func (wallet *Client) choose(now time.Time, candidates []candidate, missing model.Tokens) []draw {
	var draws []draw
	useful := (missing + usefulPart - 1) / usefulPart
	for pass := range 2 {
		for _, candidate := range candidates {
			if missing <= 0 || (candidate.estimate >= useful) != (pass == 0) {
				continue
			}
			need := min(missing, candidate.estimate)
			missing -= need
			want := need
			if missing == 0 {
				want += min(wallet.ahead(now), (candidate.estimate-need)/2)
			}
			wallet.views[candidate.shard].begin(now, need)
			draws = append(draws, draw{shard: candidate.shard, want: want, least: (need + 1) / 2})
		}
	}
	return draws
}

// ahead returns what is wanted beyond the first waiter.
func (wallet *Client) ahead(now time.Time) model.Tokens {
	ahead := wallet.demand.ahead(now)
	var queued model.Tokens
	for _, waiter := range wallet.queue[1:] {
		queued += waiter.tokens
	}
	return max(ahead, queued)
}

// hold decides, when the shards have too little, how long to wait, and whether
// to keep what has been gathered. It is kept only if it is at least half of
// what the first waiter needs and the rest may come within its lifetime: if
// every process kept small parts, none could serve a request.
func (wallet *Client) hold(now time.Time, missing model.Tokens, drawing bool) time.Duration {
	rate := max(1, model.Tokens(float64(wallet.rate)*wallet.sharing.factor))
	wait := jitter(wallet.random, max(minWait, min(maxWait, accrualTime(missing, rate))))
	wallet.sharing.wait()
	free := wallet.free(now)
	if drawing || free == 0 {
		return wait
	}
	kept := 2*free >= wallet.queue[0].tokens
	for _, holding := range wallet.holdings {
		kept = kept && holding.spendable(now.Add(wait))
	}
	if !kept {
		wallet.giveBack()
	}
	return wait
}

// draw asks one shard and records the answer.
func (wallet *Client) draw(draw draw) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(wallet.ended, drawTimeout)
	grant, err := wallet.source.Draw(ctx, draw.shard, draw.want, draw.least)
	cancel()
	now := time.Now()
	wallet.mutex.Lock()
	defer wallet.mutex.Unlock()
	view := &wallet.views[draw.shard]
	met := grant.Tokens >= view.expected
	view.drawing = false
	if err != nil {
		view.failed(now, wallet.random)
	} else {
		view.answered(sent, now, grant, draw.least)
		wallet.sharing.learn(met)
	}
	if grant.Tokens > 0 {
		wallet.add(now, &holding{shard: draw.shard, grant: grant, expires: sent.Add(grant.Lifetime), left: grant.Tokens})
	}
	wallet.signal()
}

// add takes a grant in, or returns it when it came too late.
func (wallet *Client) add(now time.Time, holding *holding) {
	wallet.holdings = append(wallet.holdings, holding)
	if !holding.spendable(now) || wallet.closed {
		wallet.release(holding)
		return
	}
	if !wallet.gathering {
		wallet.arm(now)
	}
}
