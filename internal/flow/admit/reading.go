package admit

import (
	"cmp"
	"time"
)

// queueSpans is how many spans of reading may wait at an engine whose streams
// do not suffer from it.
const queueSpans = 2

// read brings unread to the present.
func (gate *Controller) read(now time.Time) {
	elapsed := now.Sub(gate.readAt)
	gate.readAt = now
	gate.unread = max(gate.unread-elapsed.Seconds()*1000*gate.readRate()*gate.config.Utilisation, 0)
}

// paced reports whether steps full of prompt tokens make the streams pause for
// too long.
func (gate *Controller) paced() bool {
	return gate.steps()+gate.reading(int64(gate.shape.EventTokens)*gate.config.PrefillChunk) > gate.shape.MaxEventGap
}

// steps returns how long an engine takes for one event when it reads no prompts.
func (gate *Controller) steps() time.Duration {
	return cmp.Or(gate.pace.EventInterval(), gate.shape.TypicalSpeed.EventInterval, time.Duration(gate.shape.EventTokens)*gate.config.DecodeStep)
}

// readRate returns how many prompt tokens the engine reads in a millisecond.
func (gate *Controller) readRate() float64 {
	return cmp.Or(gate.pace.PrefillRate(), max(gate.fasterRate(), gate.shape.TypicalSpeed.PrefillRate), gate.config.PrefillRate)
}

// limit returns how many prompt tokens may be ahead of the next turn, or 0 if
// nothing is known of the engine.
func (gate *Controller) limit() int64 {
	switch {
	case gate.shape.MaxEventGap <= gate.steps():
		return 0
	case gate.paced():
		return gate.readable(gate.shape.MaxEventGap - gate.steps())
	default:
		return queueSpans * gate.readable(gate.shape.MaxEventGap)
	}
}

// ahead returns how many prompt tokens are ahead of the next turn: those let in
// within the last span where the streams suffer from more, else those that the
// engine has still to read.
func (gate *Controller) ahead() int64 {
	if gate.paced() {
		return gate.spanUse()
	}
	return int64(gate.unread)
}

// readable returns how many prompt tokens an engine reads in a time.
func (gate *Controller) readable(span time.Duration) int64 {
	return int64(float64(span.Milliseconds()) * gate.readRate() * gate.config.Utilisation)
}

// reading returns how long an engine reads prompt tokens.
func (gate *Controller) reading(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / gate.readRate() * float64(time.Millisecond))
}

func (gate *Controller) spanUse() int64 {
	var sum int64
	for _, grant := range gate.granted {
		sum += grant.prompt
	}
	return sum
}

// NextTurn returns how long it takes until a turn may come although nothing else
// happens, or 0 if nothing waits.
func (gate *Controller) NextTurn() time.Duration {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	line := gate.line()
	if len(line) == 0 || len(gate.granted) == 0 {
		return 0
	}
	gate.read(time.Now())
	next := gate.shape.MaxEventGap - time.Since(gate.granted[0].at)
	if !gate.paced() {
		next = gate.reading(gate.ahead() + line[0].PromptTokens - gate.limit())
	}
	return max(next, time.Millisecond)
}

// Backlog returns the prompt tokens that are ahead of the next turn, with those
// of the requests on time that wait for theirs, and those of late ones.
// Requests whose adapter is not loaded keep nobody waiting.
func (gate *Controller) Backlog() (onTime, late int64) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	now := time.Now()
	gate.forget(now)
	gate.read(now)
	onTime = gate.ahead()
	for _, waiting := range gate.able() {
		if waiting.Late {
			late += waiting.PromptTokens
		} else {
			onTime += waiting.PromptTokens
		}
	}
	return onTime, late
}
