package quota

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

const (
	// callTimeout limits a call to a shard, a draw or a refund. A grant that
	// arrives later has less than half of its lifetime left.
	callTimeout = 250 * time.Millisecond
	// After a draw without a reply, a shard is not asked for initialBackoff, which
	// doubles with each further failure up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// A reply is expected within four round trips, between these limits. After
	// that, the tokens are requested from other shards.
	minReplyTimeout = 10 * time.Millisecond
	maxReplyTimeout = 150 * time.Millisecond
)

// shardView is what a client knows of one shard.
type shardView struct {
	local bool
	rate  conf.Tokens
	burst conf.Tokens
	// level is what the shard had at the time updated, and retryLevel what it will
	// have at retryAt if no other client draws.
	level      conf.Tokens
	updated    time.Time
	retryLevel conf.Tokens
	retryAt    time.Time

	drawPending    bool
	expectedTokens conf.Tokens
	expectedBy     time.Time
	roundTrip      time.Duration
	failures       int
	backoffUntil   time.Time

	pendingRefunds []*heldGrant
	refundInFlight bool
	refundTimer    *time.Timer
}

// newShardView returns the view of a shard about which nothing is known yet. It is
// assumed to be full.
func newShardView(config ClientConfig, index int) shardView {
	shardView := shardView{local: slices.Contains(config.LocalShards, index)}
	shardView.resize(config.Rate, config.Burst, index, config.ShardCount)
	shardView.level = shardView.burst
	return shardView
}

func (shardView *shardView) resize(rate, burst conf.Tokens, index, count int) {
	shardView.rate = SplitPart(rate, index, count)
	shardView.burst = SplitPart(burst, index, count)
	shardView.level = min(shardView.level, shardView.burst)
}

// estimate returns the tokens that the shard would grant now, if other clients
// leave accrualShare of its accrual.
func (shardView *shardView) estimate(now time.Time, accrualShare float64) conf.Tokens {
	switch {
	case !shardView.drawable(now):
		return 0
	case now.Before(shardView.retryAt):
		return shardView.level
	}
	level, since := shardView.level, shardView.updated
	if !shardView.retryAt.IsZero() {
		level += conf.Tokens(float64(shardView.retryLevel-shardView.level) * accrualShare)
		since = shardView.retryAt
	}
	accrued := min(float64(shardView.burst), now.Sub(since).Seconds()*float64(shardView.rate)*accrualShare)
	return min(shardView.burst, level+conf.Tokens(accrued))
}

// drawable reports whether the shard may be asked.
func (shardView *shardView) drawable(now time.Time) bool {
	return !shardView.drawPending && !now.Before(shardView.backoffUntil)
}

// recordReply records a reply to a draw of at least least tokens.
func (shardView *shardView) recordReply(sentAt, now time.Time, grant Grant, least conf.Tokens) {
	shardView.failures = 0
	shardView.roundTrip += (now.Sub(sentAt) - shardView.roundTrip) / 4
	shardView.level, shardView.updated = grant.Level, now
	shardView.retryLevel, shardView.retryAt = 0, time.Time{}
	if grant.Tokens == 0 {
		shardView.retryLevel, shardView.retryAt = max(least, grant.Level), now.Add(grant.RetryAfter)
	}
}

// recordFailure records a draw without a reply.
func (shardView *shardView) recordFailure(now time.Time, random *rand.Rand) {
	wait := min(maxBackoff, initialBackoff<<min(shardView.failures, 10))
	shardView.failures++
	shardView.backoffUntil = now.Add(jitter(random, wait))
}

// beginDraw records the start of a draw.
func (shardView *shardView) beginDraw(now time.Time, want conf.Tokens) {
	shardView.drawPending = true
	shardView.expectedTokens = want
	shardView.expectedBy = now.Add(max(minReplyTimeout, min(maxReplyTimeout, 4*shardView.roundTrip)))
}

// recordReturn records tokens that are being refunded.
func (shardView *shardView) recordReturn(tokens conf.Tokens) {
	shardView.level = min(shardView.burst, shardView.level+tokens)
	shardView.retryLevel = max(shardView.retryLevel, shardView.level)
}

// jitter returns a random duration between three and five quarters of wait.
func jitter(random *rand.Rand, wait time.Duration) time.Duration {
	return wait*3/4 + time.Duration(random.Int64N(int64(wait/2)+1))
}
