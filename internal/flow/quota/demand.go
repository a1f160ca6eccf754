package quota

import (
	"math"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

const (
	// demandTimeConstant is the time constant of the demand average.
	demandTimeConstant = time.Second
	// prefetchHorizon is how far in advance of expected demand tokens are drawn. It
	// is well below the lifetime of a grant, so that most of these are spent.
	prefetchHorizon = 200 * time.Millisecond
	// serviceTimeConstant is the time constant of the average service rate.
	serviceTimeConstant = 2 * time.Second
	// minAccrualShare is the least share of a shard's accrual that a client
	// expects to be left by other clients.
	minAccrualShare = 1.0 / 16
	// staleAfter starts at minStaleAfter for each waiting request and doubles
	// with each wait for accrual up to maxStaleAfter.
	minStaleAfter = 50 * time.Millisecond
	maxStaleAfter = time.Second
)

// demand is an exponentially decayed sum of the tokens that were requested.
type demand struct {
	sum         float64
	lastRequest conf.Tokens
	updated     time.Time
}

func (demand *demand) record(now time.Time, tokens conf.Tokens) {
	demand.sum = demand.sum*decayFactor(now.Sub(demand.updated), demandTimeConstant) + float64(tokens)
	demand.lastRequest, demand.updated = tokens, now
}

// prefetchTokens returns how many tokens to draw in advance: the demand expected
// within prefetchHorizon, or 0 if that is less than the last request.
func (demand *demand) prefetchTokens(now time.Time) conf.Tokens {
	rate := demand.sum * decayFactor(now.Sub(demand.updated), demandTimeConstant) / demandTimeConstant.Seconds()
	tokens := conf.Tokens(rate * prefetchHorizon.Seconds())
	if tokens < demand.lastRequest {
		return 0
	}
	return tokens
}

// contention is what a client observes of the other clients that use the same
// shards.
type contention struct {
	// accrualShare is the share of a shard's accrual that other clients are
	// expected to leave.
	accrualShare float64
	// staleAfter is the age from which a shard's last known level is not trusted,
	// so that the shard is asked again although that level was too low.
	staleAfter time.Duration
	// servedTokens and waitingSeconds are decayed sums over the periods in
	// which requests waited.
	servedTokens   float64
	waitingSeconds float64
	updated        time.Time
}

// begin starts a period in which requests wait.
func (contention *contention) begin(now time.Time) {
	contention.updated = now
	contention.staleAfter = minStaleAfter
	if contention.accrualShare == 0 {
		contention.accrualShare = 1
	}
}

// recordServed records that a waiting request received its tokens.
func (contention *contention) recordServed(now time.Time, tokens conf.Tokens) {
	elapsed := now.Sub(contention.updated)
	factor := decayFactor(elapsed, serviceTimeConstant)
	contention.servedTokens = contention.servedTokens*factor + float64(tokens)
	contention.waitingSeconds = contention.waitingSeconds*factor + elapsed.Seconds()
	contention.updated = now
	contention.staleAfter = minStaleAfter
}

// recordShortage records that the shards are expected to have too few tokens.
func (contention *contention) recordShortage() {
	contention.staleAfter = min(maxStaleAfter, 2*contention.staleAfter)
}

// adapt adjusts accrualShare to whether a draw brought at least the expected
// tokens.
func (contention *contention) adapt(metEstimate bool) {
	if metEstimate {
		contention.accrualShare = min(1, contention.accrualShare*2)
		return
	}
	contention.accrualShare = max(minAccrualShare, contention.accrualShare/2)
}

// serviceRate returns the rate at which waiting requests are served: the
// measured rate once it covers half a second, otherwise the configured rate.
func (contention *contention) serviceRate(rate conf.Tokens) conf.Tokens {
	if contention.waitingSeconds < 0.5 {
		return rate
	}
	return max(1, min(rate, conf.Tokens(contention.servedTokens/contention.waitingSeconds)))
}

// decayFactor returns the factor by which an average with a time constant decays
// in elapsed.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, elapsed.Seconds()) / timeConstant.Seconds())
}

// accrualTime returns how long tokens take to accrue, at most RefundWindow.
func accrualTime(tokens, rate conf.Tokens) time.Duration {
	seconds := float64(tokens) / float64(max(1, rate))
	return time.Duration(min(seconds, RefundWindow.Seconds()) * float64(time.Second))
}
