package quota

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

const (
	// drawTimeout ends a draw. A grant that arrives later has less than half of
	// its lifetime left.
	drawTimeout = 250 * time.Millisecond
	// An unreachable shard is left alone for minBackoff, doubling to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// A reply is expected within four round trips, between these limits. After
	// that, the tokens are asked of other shards.
	minExpect = 10 * time.Millisecond
	maxExpect = 150 * time.Millisecond
)

// view is what a wallet knows of one shard.
type view struct {
	own   bool
	rate  model.Tokens
	burst model.Tokens
	// level is what the shard had at the instant at, and next what it will
	// have at the instant of blocked if nobody else draws.
	level   model.Tokens
	at      time.Time
	next    model.Tokens
	blocked time.Time

	drawing     bool
	expected    model.Tokens
	expectUntil time.Time
	roundTrip   time.Duration
	failures    int
	backoff     time.Time

	refunds   []*holding
	sending   bool
	scheduled *time.Timer
}

// newView returns the view of a shard of which nothing is known yet. It is
// taken to be full.
func newView(config ClientConfig, index int) view {
	view := view{own: slices.Contains(config.LocalShards, index)}
	view.resize(config.Rate, config.Burst, index, config.ShardCount)
	view.level = view.burst
	return view
}

func (view *view) resize(rate, burst model.Tokens, index, count int) {
	view.rate = Part(rate, index, count)
	view.burst = Part(burst, index, count)
	view.level = min(view.level, view.burst)
}

// estimate returns the tokens that the shard would grant now, given that
// factor of its accrual is left by others.
func (view *view) estimate(now time.Time, factor float64) model.Tokens {
	switch {
	case !view.usable(now):
		return 0
	case now.Before(view.blocked):
		return view.level
	}
	level, since := view.level, view.at
	if !view.blocked.IsZero() {
		level += model.Tokens(float64(view.next-view.level) * factor)
		since = view.blocked
	}
	accrued := min(float64(view.burst), now.Sub(since).Seconds()*float64(view.rate)*factor)
	return min(view.burst, level+model.Tokens(accrued))
}

// usable reports whether the shard may be asked.
func (view *view) usable(now time.Time) bool {
	return !view.drawing && !now.Before(view.backoff)
}

// answered records a reply to a draw of at least least.
func (view *view) answered(sent, now time.Time, grant Grant, least model.Tokens) {
	view.failures = 0
	view.roundTrip += (now.Sub(sent) - view.roundTrip) / 4
	view.level, view.at = grant.Level, now
	view.next, view.blocked = 0, time.Time{}
	if grant.Tokens == 0 {
		view.next, view.blocked = max(least, grant.Level), now.Add(grant.RetryAfter)
	}
}

// failed records a draw without a reply.
func (view *view) failed(now time.Time, random *rand.Rand) {
	wait := min(maxBackoff, minBackoff<<min(view.failures, 10))
	view.failures++
	view.backoff = now.Add(jitter(random, wait))
}

// begin records a draw that starts.
func (view *view) begin(now time.Time, want model.Tokens) {
	view.drawing = true
	view.expected = want
	view.expectUntil = now.Add(max(minExpect, min(maxExpect, 4*view.roundTrip)))
}

// credited records tokens that are being returned.
func (view *view) credited(tokens model.Tokens) {
	view.level = min(view.burst, view.level+tokens)
	view.next = max(view.next, view.level)
}

// jitter returns a duration between three and five quarters of wait.
func jitter(random *rand.Rand, wait time.Duration) time.Duration {
	return wait*3/4 + time.Duration(random.Int64N(int64(wait/2)+1))
}
