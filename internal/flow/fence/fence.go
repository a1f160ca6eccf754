// Package fence chooses the fencing tokens of the processes that send orders to an engine.
//
// Each process must use higher tokens than all processes before it, for as long as one
// incarnation of the engine runs. Nothing of a process lasts on its instance, and the time of
// day may go back, so tokens follow the instance's uptime, which does not:
//
//	token = offset + uptime
//
// All processes that use one offset have rising tokens. The first process that orders at an
// incarnation sets the offset so that its token is the time of day, and tells the entry
// instances; a later process inherits it from whichever of them it hears first. If none of
// them knows it, the offset is above that of all processes before.
//
// The package reads no clock. Tokens, offsets and starts are in milliseconds; tokens and
// starts are on the scale of Unix time.
package fence

import "time"

const (
	// refusalStep is by how much the token is raised after the engine has refused it. It
	// doubles with each refusal in a row, up to maxRefusalStep.
	refusalStep    = 10 * time.Second
	maxRefusalStep = time.Hour
	// maxClockError bounds how far the time of day of an instance is from that of another
	// one, or from its own at another time, after correction for the time that has passed.
	maxClockError = time.Minute
)

// Offset is the offset of the tokens for an incarnation of an engine, which StartedAt tells
// from others.
type Offset struct {
	StartedAt int64
	Value     int64
}

// Higher reports whether an offset is for a later incarnation than another one, or higher for
// the same.
func (offset Offset) Higher(other Offset) bool {
	if offset.StartedAt != other.StartedAt {
		return offset.StartedAt > other.StartedAt
	}
	return offset.Value > other.Value
}

// Engine is what an engine reports of itself.
type Engine struct {
	// StartedAt is the start of its incarnation in Unix milliseconds.
	StartedAt int64
	// Orders is the number of orders that the incarnation has accepted.
	Orders int64
}

// Moment is a reading of two clocks at once.
type Moment struct {
	TimeOfDay time.Time
	// Uptime is the time since the instance started, suspensions included.
	Uptime time.Duration
}

// unixMilli returns the time of day in Unix milliseconds.
func (moment Moment) unixMilli() int64 {
	return moment.TimeOfDay.UnixMilli() //nolint:forbidigo // Offsets keep tokens rising when it goes back.
}

// Source is where a token comes from.
type Source uint8

// Sources of tokens.
const (
	// Unset means that no token was chosen yet.
	Unset Source = iota
	// FirstOrder means that the incarnation has accepted no order before. The token is the
	// time of day.
	FirstOrder
	// Inherited means that the offset is that of an earlier process.
	Inherited
	// EarlierVersion means that a process of a version that tells no offset has ordered
	// before. The token is above the time of day and that process's.
	EarlierVersion
	// Checked means that nothing is known of the processes before, and that the engine
	// refuses too low a token. The token is the time of day.
	Checked
	// UnknownPast means that nothing is known of them and that the engine refuses nothing.
	// The token is above all that they can have used.
	UnknownPast
	// Refused means that the engine has refused the token before.
	Refused
)

// String returns the name of the source in logs.
func (source Source) String() string {
	return [...]string{"unset", "first-order", "inherited", "earlier-version", "checked", "unknown-past", "refused"}[source]
}

// Config configures an Issuer.
type Config struct {
	// Checked means that the engine refuses a token that is lower than one that it has seen.
	Checked bool
}

// Issuer issues the tokens of one process. Its methods must not be called concurrently.
type Issuer struct {
	config Config
	source Source
	token  int64
	offset int64
	// startedAt is the engine's incarnation when the token was chosen.
	startedAt int64
	// step is by how much the next refusal raises the token.
	step time.Duration
	// learned is the highest offset that was heard of for the latest incarnation that any
	// was heard of for, nil if none was, and earlier the highest token of a process that tells
	// no offset, 0 if none was heard of.
	learned *Offset
	earlier int64
}

// NewIssuer returns an Issuer that has chosen no token.
func NewIssuer(config Config) *Issuer { return &Issuer{config: config, step: refusalStep} }

// Knows reports whether LearnOffset would have no effect.
func (issuer *Issuer) Knows(offset Offset) bool {
	return issuer.learned != nil && !offset.Higher(*issuer.learned)
}

// LearnOffset records an offset that an earlier process has used. It reports whether that
// raises the token.
func (issuer *Issuer) LearnOffset(offset Offset, now Moment) (raised bool) {
	if issuer.Knows(offset) {
		return false
	}
	issuer.learned = &offset
	if issuer.source == Unset || offset.StartedAt != issuer.startedAt || offset.Value <= issuer.offset {
		return false
	}
	issuer.setOffset(Inherited, offset.Value, now)
	return true
}

// LearnToken records a token that a process of a version that tells no offset may have used.
// It has no effect once a token is chosen.
func (issuer *Issuer) LearnToken(token int64) { issuer.earlier = max(issuer.earlier, token) }

// Token returns the token for the next order to an engine, which it chooses at the first
// call. It reports whether it has chosen one.
func (issuer *Issuer) Token(engine Engine, now Moment) (token int64, chosen bool) {
	if issuer.source == Unset {
		issuer.choose(engine, now)
		chosen = true
	}
	return issuer.token, chosen
}

// Refuse raises the token, since the engine has seen a higher one.
func (issuer *Issuer) Refuse(now Moment) {
	issuer.setToken(Refused, max(issuer.token, now.unixMilli())+issuer.step.Milliseconds(), now)
	issuer.step = min(2*issuer.step, maxRefusalStep)
}

// Accept records that the engine has not refused the token.
func (issuer *Issuer) Accept() { issuer.step = refusalStep }

// Current returns the token, 0 if none was chosen.
func (issuer *Issuer) Current() int64 { return issuer.token }

// Source returns where the token comes from.
func (issuer *Issuer) Source() Source { return issuer.source }

// Offset returns the offset of the tokens. It reports whether one was chosen.
func (issuer *Issuer) Offset() (offset int64, ok bool) { return issuer.offset, issuer.source != Unset }

// Lead returns how far the token is ahead of the time of day, 0 if none was chosen. A process
// of a version that takes its token from the time of day stays below it for that long.
func (issuer *Issuer) Lead(now Moment) time.Duration {
	if issuer.source == Unset {
		return 0
	}
	return time.UnixMilli(issuer.token).Sub(now.TimeOfDay)
}

// choose chooses the token.
func (issuer *Issuer) choose(engine Engine, now Moment) {
	issuer.startedAt = engine.StartedAt
	timeOfDay := now.unixMilli()
	inherited := issuer.learned != nil && issuer.learned.StartedAt == engine.StartedAt
	switch {
	case inherited && issuer.learned.Value+now.Uptime.Milliseconds() > issuer.earlier:
		issuer.setOffset(Inherited, issuer.learned.Value, now)
	case issuer.earlier > 0:
		issuer.setToken(EarlierVersion, max(timeOfDay, issuer.earlier+1), now)
	case engine.Orders == 0:
		issuer.setToken(FirstOrder, timeOfDay, now)
	case issuer.config.Checked:
		issuer.setToken(Checked, timeOfDay, now)
	default:
		issuer.setOffset(UnknownPast, unknownOffset(engine, now), now)
	}
}

// unknownOffset returns an offset above those that earlier processes can have used. The
// instance started before its engine, so the offset of a process whose time of day was right
// is at most the engine's start. An engine that seems to have started before the instance
// tells no start; then the time of day has to do.
func unknownOffset(engine Engine, now Moment) int64 {
	bound, booted := maxClockError.Milliseconds(), now.unixMilli()-now.Uptime.Milliseconds()
	if engine.StartedAt+bound < booted {
		return booted + bound
	}
	return engine.StartedAt + bound
}

// setOffset sets the token by its offset.
func (issuer *Issuer) setOffset(source Source, offset int64, now Moment) {
	issuer.source, issuer.offset, issuer.token = source, offset, offset+now.Uptime.Milliseconds()
}

// setToken sets the offset by the token.
func (issuer *Issuer) setToken(source Source, token int64, now Moment) {
	issuer.source, issuer.offset, issuer.token = source, token-now.Uptime.Milliseconds(), token
}
