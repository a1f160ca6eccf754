package quota

import (
	"math"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

const (
	// demandWindow is the time constant of the demand average.
	demandWindow = time.Second
	// prefetch is how far ahead tokens are drawn. It is well below the lifetime
	// of a grant, so that most of what is drawn ahead is spent.
	prefetch = 200 * time.Millisecond
	// sharingWindow is the time constant of the average rate of service.
	sharingWindow = 2 * time.Second
	// minFactor bounds how pessimistic a wallet becomes about the accrual that
	// others leave to it.
	minFactor = 1.0 / 16
	// The time of doubt starts at minDoubt for each waiter and doubles with each
	// wait up to maxDoubt.
	minDoubt = 50 * time.Millisecond
	maxDoubt = time.Second
)

// demand is the decayed sum of the tokens that requests asked for.
type demand struct {
	sum  float64
	last model.Tokens
	at   time.Time
}

func (demand *demand) note(now time.Time, tokens model.Tokens) {
	demand.sum = demand.sum*decay(now.Sub(demand.at), demandWindow) + float64(tokens)
	demand.last, demand.at = tokens, now
}

// ahead returns what is worth drawing ahead: nothing unless another request is
// likely to come within the time of prefetch.
func (demand *demand) ahead(now time.Time) model.Tokens {
	rate := demand.sum * decay(now.Sub(demand.at), demandWindow) / demandWindow.Seconds()
	ahead := model.Tokens(rate * prefetch.Seconds())
	if ahead < demand.last {
		return 0
	}
	return ahead
}

// sharing is what a wallet learns of the competition for the tokens.
type sharing struct {
	// factor is the part of the accrual that others are taken to leave.
	factor float64
	// doubt is after what time without news a shard is asked again although its
	// last known level is too low.
	doubt time.Duration
	// tokens and seconds are decayed sums over the times with waiters.
	tokens  float64
	seconds float64
	at      time.Time
}

// begin starts a time with waiters.
func (sharing *sharing) begin(now time.Time) {
	sharing.at = now
	sharing.doubt = minDoubt
	if sharing.factor == 0 {
		sharing.factor = 1
	}
}

// note records that a waiter was served.
func (sharing *sharing) note(now time.Time, tokens model.Tokens) {
	elapsed := now.Sub(sharing.at)
	kept := decay(elapsed, sharingWindow)
	sharing.tokens = sharing.tokens*kept + float64(tokens)
	sharing.seconds = sharing.seconds*kept + elapsed.Seconds()
	sharing.at = now
	sharing.doubt = minDoubt
}

// wait records that the shards are taken to have too little.
func (sharing *sharing) wait() { sharing.doubt = min(maxDoubt, 2*sharing.doubt) }

// learn adapts the factor to whether a draw met its estimate.
func (sharing *sharing) learn(met bool) {
	if met {
		sharing.factor = min(1, sharing.factor*2)
		return
	}
	sharing.factor = max(minFactor, sharing.factor/2)
}

// served returns the rate of service while requests wait: the measured one
// once there is half a second of it, else the whole rate.
func (sharing *sharing) served(rate model.Tokens) model.Tokens {
	if sharing.seconds < 0.5 {
		return rate
	}
	return max(1, min(rate, model.Tokens(sharing.tokens/sharing.seconds)))
}

func decay(elapsed, window time.Duration) float64 {
	return math.Exp(-max(0, elapsed.Seconds()) / window.Seconds())
}

// accrualTime returns how long tokens take to accrue.
func accrualTime(tokens, rate model.Tokens) time.Duration {
	seconds := float64(tokens) / float64(max(1, rate))
	return time.Duration(min(seconds, Memory.Seconds()) * float64(time.Second))
}
