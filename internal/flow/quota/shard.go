package quota

import (
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

const (
	// DefaultGrantLifetime is how long a drawer may spend a grant. It is long enough
	// to gather tokens from several failure domains, and short enough that the
	// tokens of a killed drawer are missing for less than a second.
	DefaultGrantLifetime = 500 * time.Millisecond
	// DefaultMargin is how much longer a shard counts a grant. It allows for
	// clocks whose speeds differ by a fifth.
	DefaultMargin = 100 * time.Millisecond
	// Memory is how long a shard accepts returns for a grant that has ended. It
	// exceeds the default request-limit of 5 min.
	Memory = 6 * time.Minute
	// maxRecords bounds the memory of a shard to about 2 MiB. The oldest ended
	// grants are forgotten first; returns for them credit nothing.
	maxRecords = 1 << 16
	// maxBurst keeps a level in nano-tokens within an int64.
	maxBurst model.Tokens = 9_000_000_000
)

// nanos counts billionths of a token, so that a rate in tokens per second
// accrues whole units in each nanosecond.
type nanos int64

const perToken nanos = 1_000_000_000

// ShardConfig configures a Shard.
type ShardConfig struct {
	// Rate and Burst are the shard's part of the organisation's; see Part.
	Rate  model.Tokens
	Burst model.Tokens
	// Lifetime and Margin default to DefaultLifetime and DefaultMargin.
	Lifetime time.Duration
	Margin   time.Duration
	// Start is when the hosting process began to host the shard.
	Start time.Time
}

// Grant is the answer of a shard to a draw. An empty answer has no tokens.
type Grant struct {
	ID uint64
	// Incarnation names the process that issued the grant. A Source sets it;
	// a Shard leaves it 0.
	Incarnation uint64
	Tokens      model.Tokens
	// Level is what the shard has left.
	Level model.Tokens
	// Lifetime counts from before the drawer sent its request.
	Lifetime time.Duration
	// RetryAfter is set when nothing is granted: the time until the least
	// amount has accrued if nobody else draws.
	RetryAfter time.Duration
}

// Shard is one part of an organisation's token bucket. Its methods may be
// called concurrently. Times before the latest one seen count as the latest.
type Shard struct {
	mutex    sync.Mutex
	start    time.Time
	lifetime time.Duration
	hold     time.Duration

	rate        nanos // per nanosecond, which equals tokens per second
	burst       nanos
	level       nanos
	outstanding nanos
	at          time.Duration // since start; the instant of level and outstanding

	records []record // by issue; the id of records[0] is first
	first   uint64
	live    int // no record before this index is outstanding
	history history
	noted   time.Duration // of the last entry of history
}

// record is a grant as the shard remembers it.
type record struct {
	end      time.Duration // when it ended, or will end at the latest
	tokens   model.Tokens
	returned model.Tokens
	open     bool
}

// NewShard returns a shard that is empty and issues nothing for lifetime +
// margin after its start.
func NewShard(config ShardConfig) *Shard {
	if config.Lifetime <= 0 {
		config.Lifetime = DefaultGrantLifetime
	}
	if config.Margin <= 0 {
		config.Margin = DefaultMargin
	}
	shard := &Shard{
		start:    config.Start,
		lifetime: config.Lifetime,
		hold:     config.Lifetime + config.Margin,
		// Ids differ between incarnations, so that a return for a grant of the
		// predecessor is unknown here.
		first: uint64(config.Start.UnixNano()),
	}
	shard.rate, shard.burst = limits(config.Rate, config.Burst)
	return shard
}

// Part returns part index of count of a rate or burst. The parts add up to
// total.
func Part(total model.Tokens, index, count int) model.Tokens {
	parts := model.Tokens(count)
	part := total / parts
	if model.Tokens(index) < total%parts {
		part++
	}
	return part
}

// Draw grants up to want tokens. It grants nothing if fewer than least are
// available and then says when to come back. A least above the burst counts as
// the burst.
func (shard *Shard) Draw(now time.Time, want, least model.Tokens) (Grant, bool) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.advance(now)
	least = max(1, min(least, model.Tokens(shard.burst/perToken)))
	available := model.Tokens(shard.level / perToken)
	granted := min(want, available)
	if granted < least || len(shard.records) >= maxRecords {
		return Grant{Level: available, Lifetime: shard.lifetime, RetryAfter: shard.retryAfter(least)}, false
	}
	shard.level -= nanos(granted) * perToken
	shard.outstanding += nanos(granted) * perToken
	id := shard.first + uint64(len(shard.records))
	shard.records = append(shard.records, record{end: shard.at + shard.hold, tokens: granted, open: true})
	return Grant{ID: id, Tokens: granted, Level: available - granted, Lifetime: shard.lifetime}, true
}

// Return gives tokens of a grant back and returns how many of them are
// credited. tokens is the total returned for this grant so far, so that a
// repeated return credits nothing. settled says that nothing of the grant will
// be spent any more, which ends its time as outstanding.
func (shard *Shard) Return(now time.Time, id uint64, tokens model.Tokens, settled bool) model.Tokens {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.advance(now)
	index := id - shard.first
	if id < shard.first || index >= uint64(len(shard.records)) {
		return 0
	}
	record := &shard.records[index]
	fresh := max(0, min(tokens, record.tokens)-record.returned)
	record.returned += fresh
	if !record.open {
		return shard.creditLate(record.end, fresh)
	}
	shard.outstanding -= nanos(fresh) * perToken
	shard.level += nanos(fresh) * perToken
	if settled {
		shard.finish(record)
	}
	return fresh
}

// Resize changes rate and burst. Levels above the new burst are cut; grants
// already issued stay valid.
func (shard *Shard) Resize(now time.Time, rate, burst model.Tokens) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.advance(now)
	shard.note()
	shard.rate, shard.burst = limits(rate, burst)
	shard.level = min(shard.level, max(0, shard.burst-shard.outstanding))
}

// Level returns the tokens available and those outstanding.
func (shard *Shard) Level(now time.Time) (level, outstanding model.Tokens) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.advance(now)
	return model.Tokens(shard.level / perToken), model.Tokens(shard.outstanding / perToken)
}

// creditLate credits a return for a grant that ended at end, as far as the
// tokens would have fitted since.
func (shard *Shard) creditLate(end time.Duration, tokens model.Tokens) model.Tokens {
	if shard.at-end > Memory {
		return 0
	}
	room := min(shard.room(), shard.history.least(end))
	credited := min(tokens, model.Tokens(max(0, room)/perToken))
	if credited > 0 {
		shard.history.lower(end, nanos(credited)*perToken)
		shard.level += nanos(credited) * perToken
	}
	return credited
}

// advance ends expired grants in order and accrues up to now.
func (shard *Shard) advance(now time.Time) {
	at := max(shard.at, now.Sub(shard.start))
	for shard.live < len(shard.records) {
		record := &shard.records[shard.live]
		if record.open {
			if record.end > at {
				break
			}
			shard.accrue(record.end)
			shard.finish(record)
		}
		shard.live++
	}
	shard.accrue(at)
	shard.forget()
}

// accrue adds what accrues until the given instant, as far as there is room.
func (shard *Shard) accrue(until time.Duration) {
	elapsed := nanos(until - max(shard.at, shard.hold))
	shard.at = max(shard.at, until)
	room := shard.room()
	if elapsed <= 0 || room <= 0 || shard.rate == 0 {
		return
	}
	if elapsed > room/shard.rate {
		shard.level += room
		return
	}
	shard.level += elapsed * shard.rate
}

// finish ends a grant's time as outstanding. The room has a local minimum at
// this instant, so it is noted.
func (shard *Shard) finish(record *record) {
	shard.note()
	shard.outstanding -= nanos(record.tokens-record.returned) * perToken
	record.open = false
	record.end = shard.noted
}

// note remembers the room. Notes differ in time by at least a nanosecond, so
// that a late return can tell those since the end of its grant.
func (shard *Shard) note() {
	shard.noted = max(shard.noted+1, shard.at)
	shard.history.note(shard.noted, shard.room())
}

// forget drops ended grants for which no return can be credited any more.
func (shard *Shard) forget() {
	oldest := shard.at - Memory
	for len(shard.records) > 0 {
		record := shard.records[0]
		useful := record.returned < record.tokens && record.end >= oldest && len(shard.records) < maxRecords
		if record.open || useful {
			break
		}
		shard.records = shard.records[1:]
		shard.first++
		shard.live = max(0, shard.live-1)
	}
	shard.history.forget(oldest)
}

// retryAfter returns when the level reaches least if nobody else draws.
func (shard *Shard) retryAfter(least model.Tokens) time.Duration {
	if shard.rate == 0 {
		return Memory
	}
	missing, room := nanos(least)*perToken-shard.level, shard.room()
	at := max(shard.at, shard.hold)
	for index := shard.live; room < missing && index < len(shard.records); index++ {
		record := shard.records[index]
		if !record.open {
			continue
		}
		if elapsed := nanos(record.end - at); elapsed > 0 {
			gain := room
			if elapsed <= room/shard.rate {
				gain = elapsed * shard.rate
			}
			missing, room, at = missing-gain, room-gain, record.end
		}
		room += nanos(record.tokens-record.returned) * perToken
	}
	return at - shard.at + time.Duration((max(0, missing)+shard.rate-1)/shard.rate) + 1
}

func (shard *Shard) room() nanos { return shard.burst - shard.level - shard.outstanding }

func limits(rate, burst model.Tokens) (nanos, nanos) {
	return nanos(max(0, rate)), nanos(max(0, min(burst, maxBurst))) * perToken
}
