package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

const (
	// DefaultGrantLifetime is how long a client may spend a grant. It is long
	// enough to collect tokens from several failure domains, and short enough that
	// the tokens of a killed client are missing for less than a second.
	DefaultGrantLifetime = 500 * time.Millisecond
	// DefaultGrantMargin is how much longer a shard counts a grant as outstanding.
	// It allows for clocks whose speeds differ by a fifth.
	DefaultGrantMargin = 100 * time.Millisecond
	// RefundWindow is how long a shard accepts refunds of a grant that has ended.
	// It exceeds the default request-limit of 5 min.
	RefundWindow = 6 * time.Minute
	// maxIssuedGrants limits the memory of a shard to about 2 MiB. The oldest ended
	// grants are dropped first; refunds of them credit nothing.
	maxIssuedGrants = 1 << 16
	// maxFirstID bounds the first id, so that ids do not overflow.
	maxFirstID = 1 << 62
	// maxBurst keeps a level in nano-tokens within an int64.
	maxBurst conf.Tokens = 9_000_000_000
)

// nanoTokens counts billionths of a token, so that a rate in tokens per second
// accrues a whole number of units in each nanosecond.
type nanoTokens int64

const nanosPerToken nanoTokens = 1_000_000_000

// ShardConfig configures a Shard.
type ShardConfig struct {
	// Rate and Burst are the shard's part of the organisation's; see SplitPart.
	Rate  conf.Tokens
	Burst conf.Tokens
	// Lifetime and Margin default to DefaultGrantLifetime and DefaultGrantMargin.
	Lifetime time.Duration
	Margin   time.Duration
	// Start is when the hosting process began to host the shard.
	Start time.Time
}

// Grant is a shard's reply to a draw. Tokens is 0 if nothing is granted.
type Grant struct {
	ID uint64
	// Incarnation identifies the process that issued the grant. A Transport sets
	// it; a Shard leaves it 0.
	Incarnation uint64
	Tokens      conf.Tokens
	// Level is what the shard has left.
	Level conf.Tokens
	// Lifetime is how long the grant may be spent, counted from before the client
	// sent the draw.
	Lifetime time.Duration
	// RetryAfter is set when nothing is granted: the time until the least amount
	// has accrued if no other client draws.
	RetryAfter time.Duration
}

// Shard is one part of an organisation's token bucket. Its methods may be called
// concurrently. A time earlier than the latest one passed counts as the latest.
type Shard struct {
	mutex        sync.Mutex
	start        time.Time
	lifetime     time.Duration
	grantTimeout time.Duration

	rate        nanoTokens // per nanosecond, which equals tokens per second
	burst       nanoTokens
	level       nanoTokens
	outstanding nanoTokens
	updated     time.Duration // since start; the time of level and outstanding

	grants          []issuedGrant // in order of issue; grants[0] has the id firstID
	firstID         uint64
	firstOpen       int // no grant before this index is outstanding
	headroomHistory headroomHistory
	recorded        time.Duration // time of the last entry of headroomHistory
}

// issuedGrant is what a shard keeps of a grant that it issued.
type issuedGrant struct {
	end         time.Duration // when it ended, or will end at the latest; since start
	tokens      conf.Tokens
	refunded    conf.Tokens
	outstanding bool
}

// NewShard returns a shard that is empty and issues nothing for lifetime +
// margin after its start.
func NewShard(config ShardConfig) *Shard {
	if config.Lifetime <= 0 {
		config.Lifetime = DefaultGrantLifetime
	}
	if config.Margin <= 0 {
		config.Margin = DefaultGrantMargin
	}
	shard := &Shard{
		start:        config.Start,
		lifetime:     config.Lifetime,
		grantTimeout: config.Lifetime + config.Margin,
		// Ids differ between incarnations, so that this shard does not recognise
		// grants issued by its predecessor.
		firstID: rand.Uint64N(maxFirstID),
	}
	shard.rate, shard.burst = nanoLimits(config.Rate, config.Burst)
	return shard
}

// SplitPart returns part index, from 0, of a rate or burst that is divided into
// count parts. The parts add up to total.
func SplitPart(total conf.Tokens, index, count int) conf.Tokens {
	parts := conf.Tokens(count)
	part := total / parts
	if conf.Tokens(index) < total%parts {
		part++
	}
	return part
}

// Draw grants up to want tokens and reports whether it granted any. If fewer than
// least are available, it grants nothing and sets RetryAfter. A least above the
// burst counts as the burst.
func (shard *Shard) Draw(now time.Time, want, least conf.Tokens) (Grant, bool) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.advance(now)
	least = max(1, min(least, conf.Tokens(shard.burst/nanosPerToken)))
	available := conf.Tokens(shard.level / nanosPerToken)
	granted := min(want, available)
	if granted < least || len(shard.grants) >= maxIssuedGrants {
		return Grant{Level: available, Lifetime: shard.lifetime, RetryAfter: shard.retryAfter(least)}, false
	}
	shard.level -= nanoTokens(granted) * nanosPerToken
	shard.outstanding += nanoTokens(granted) * nanosPerToken
	id := shard.firstID + uint64(len(shard.grants))
	shard.grants = append(shard.grants, issuedGrant{end: shard.updated + shard.grantTimeout, tokens: granted, outstanding: true})
	return Grant{ID: id, Tokens: granted, Level: available - granted, Lifetime: shard.lifetime}, true
}

// Return refunds tokens of a grant and returns how many of them are credited.
// tokens is the total refunded for this grant so far, so that a repeated refund
// credits nothing. settled states that nothing of the grant will be spent any
// more, which ends its time as outstanding.
func (shard *Shard) Return(now time.Time, id uint64, tokens conf.Tokens, settled bool) conf.Tokens {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.advance(now)
	index := id - shard.firstID
	if id < shard.firstID || index >= uint64(len(shard.grants)) {
		return 0
	}
	issued := &shard.grants[index]
	newlyRefunded := max(0, min(tokens, issued.tokens)-issued.refunded)
	issued.refunded += newlyRefunded
	if !issued.outstanding {
		return shard.creditLateRefund(issued.end, newlyRefunded)
	}
	shard.outstanding -= nanoTokens(newlyRefunded) * nanosPerToken
	shard.level += nanoTokens(newlyRefunded) * nanosPerToken
	if settled {
		shard.endGrant(issued)
	}
	return newlyRefunded
}

// Resize changes rate and burst. A level above the new burst is cut; grants
// already issued stay valid.
func (shard *Shard) Resize(now time.Time, rate, burst conf.Tokens) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.advance(now)
	shard.recordHeadroom()
	shard.rate, shard.burst = nanoLimits(rate, burst)
	shard.level = min(shard.level, max(0, shard.burst-shard.outstanding))
}

// Level returns the available tokens and the outstanding ones.
func (shard *Shard) Level(now time.Time) (level, outstanding conf.Tokens) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.advance(now)
	return conf.Tokens(shard.level / nanosPerToken), conf.Tokens(shard.outstanding / nanosPerToken)
}

// creditLateRefund credits a refund of a grant that ended at end, as far as the
// headroom since then allows.
func (shard *Shard) creditLateRefund(end time.Duration, tokens conf.Tokens) conf.Tokens {
	if shard.updated-end > RefundWindow {
		return 0
	}
	headroom := min(shard.headroom(), shard.headroomHistory.minSince(end))
	credited := min(tokens, conf.Tokens(max(0, headroom)/nanosPerToken))
	if credited > 0 {
		shard.headroomHistory.reduceSince(end, nanoTokens(credited)*nanosPerToken)
		shard.level += nanoTokens(credited) * nanosPerToken
	}
	return credited
}

// advance ends expired grants in order and accrues tokens up to now.
func (shard *Shard) advance(now time.Time) {
	at := max(shard.updated, now.Sub(shard.start))
	for shard.firstOpen < len(shard.grants) {
		issued := &shard.grants[shard.firstOpen]
		if issued.outstanding {
			if issued.end > at {
				break
			}
			shard.accrue(issued.end)
			shard.endGrant(issued)
		}
		shard.firstOpen++
	}
	shard.accrue(at)
	shard.dropOldGrants()
}

// accrue adds the tokens that accrue until an instant, as far as there is
// headroom.
func (shard *Shard) accrue(until time.Duration) {
	elapsed := nanoTokens(until - max(shard.updated, shard.grantTimeout))
	shard.updated = max(shard.updated, until)
	headroom := shard.headroom()
	if elapsed <= 0 || headroom <= 0 || shard.rate == 0 {
		return
	}
	if elapsed > headroom/shard.rate {
		shard.level += headroom
		return
	}
	shard.level += elapsed * shard.rate
}

// endGrant ends a grant's time as outstanding. The headroom has a local minimum
// at this instant, so it is recorded.
func (shard *Shard) endGrant(issued *issuedGrant) {
	shard.recordHeadroom()
	shard.outstanding -= nanoTokens(issued.tokens-issued.refunded) * nanosPerToken
	issued.outstanding = false
	issued.end = shard.recorded
}

// recordHeadroom records the headroom. Two entries differ in time by at least a
// nanosecond, so that a late refund can identify those since the end of its grant.
func (shard *Shard) recordHeadroom() {
	shard.recorded = max(shard.recorded+1, shard.updated)
	shard.headroomHistory.record(shard.recorded, shard.headroom())
}

// dropOldGrants drops ended grants for which no refund can be credited any more.
func (shard *Shard) dropOldGrants() {
	oldest := shard.updated - RefundWindow
	for len(shard.grants) > 0 {
		issued := shard.grants[0]
		refundable := issued.refunded < issued.tokens && issued.end >= oldest && len(shard.grants) < maxIssuedGrants
		if issued.outstanding || refundable {
			break
		}
		shard.grants = shard.grants[1:]
		shard.firstID++
		shard.firstOpen = max(0, shard.firstOpen-1)
	}
	shard.headroomHistory.dropBefore(oldest)
}

// retryAfter returns the time until the level reaches least if no other client
// draws.
func (shard *Shard) retryAfter(least conf.Tokens) time.Duration {
	if shard.rate == 0 {
		return RefundWindow
	}
	missing, headroom := nanoTokens(least)*nanosPerToken-shard.level, shard.headroom()
	at := max(shard.updated, shard.grantTimeout)
	for index := shard.firstOpen; headroom < missing && index < len(shard.grants); index++ {
		issued := shard.grants[index]
		if !issued.outstanding {
			continue
		}
		if elapsed := nanoTokens(issued.end - at); elapsed > 0 {
			gain := headroom
			if elapsed <= headroom/shard.rate {
				gain = elapsed * shard.rate
			}
			missing, headroom, at = missing-gain, headroom-gain, issued.end
		}
		headroom += nanoTokens(issued.tokens-issued.refunded) * nanosPerToken
	}
	return at - shard.updated + time.Duration((max(0, missing)+shard.rate-1)/shard.rate) + 1
}

func (shard *Shard) headroom() nanoTokens { return shard.burst - shard.level - shard.outstanding }

func nanoLimits(rate, burst conf.Tokens) (nanoTokens, nanoTokens) {
	return nanoTokens(max(0, rate)), nanoTokens(max(0, min(burst, maxBurst))) * nanosPerToken
}
