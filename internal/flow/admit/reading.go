package admit

import (
	"cmp"
	"time"
)

// queueSpans is how many spans of reading may wait at an engine whose streams
// do not suffer from it.
const queueSpans = 2

// read brings unread to the present.
func (gate *Gate) read(now time.Time) {
	elapsed := now.Sub(gate.readAt)
	gate.readAt = now
	gate.unread = max(gate.unread-elapsed.Seconds()*1000*gate.readRate()*gate.config.Use, 0)
}

// paced reports whether steps full of prompt tokens make the streams pause for
// too long.
func (gate *Gate) paced() bool {
	return gate.steps()+gate.reading(int64(gate.shape.EventTokens)*gate.config.Chunk) > gate.shape.Gap
}

// steps returns how long an engine takes for one event when it reads no prompts.
func (gate *Gate) steps() time.Duration {
	return cmp.Or(gate.pace.Pause(), gate.shape.Typical.Event, time.Duration(gate.shape.EventTokens)*gate.config.Step)
}

// readRate returns how many prompt tokens the engine reads in a millisecond.
func (gate *Gate) readRate() float64 {
	return cmp.Or(gate.pace.Rate(), max(gate.fasterRate(), gate.shape.Typical.ReadRate), gate.config.ReadRate)
}

// limit returns how many prompt tokens may be ahead of the next turn, or 0 if
// nothing is known of the engine.
func (gate *Gate) limit() int64 {
	switch {
	case gate.shape.Gap <= gate.steps():
		return 0
	case gate.paced():
		return gate.readable(gate.shape.Gap - gate.steps())
	default:
		return queueSpans * gate.readable(gate.shape.Gap)
	}
}

// ahead returns how many prompt tokens are ahead of the next turn: those let in
// within the last span where the streams suffer from more, else those that the
// engine has still to read.
func (gate *Gate) ahead() int64 {
	if gate.paced() {
		return gate.spanUse()
	}
	return int64(gate.unread)
}

// readable returns how many prompt tokens an engine reads in a time.
func (gate *Gate) readable(span time.Duration) int64 {
	return int64(float64(span.Milliseconds()) * gate.readRate() * gate.config.Use)
}

// reading returns how long an engine reads prompt tokens.
func (gate *Gate) reading(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / gate.readRate() * float64(time.Millisecond))
}

func (gate *Gate) spanUse() int64 {
	var sum int64
	for _, grant := range gate.granted {
		sum += grant.prompt
	}
	return sum
}

// Next returns how long it takes until a turn may come although nothing else
// happens, or 0 if nothing waits.
func (gate *Gate) Next() time.Duration {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	line := gate.line()
	if len(line) == 0 || len(gate.granted) == 0 {
		return 0
	}
	gate.read(time.Now())
	next := gate.shape.Gap - time.Since(gate.granted[0].at)
	if !gate.paced() {
		next = gate.reading(gate.ahead() + line[0].Prompt - gate.limit())
	}
	return max(next, time.Millisecond)
}

// Backlog returns the prompt tokens that are ahead of the next turn, with those
// of the requests on time that wait for theirs, and those of late ones.
// Requests whose adapter is not loaded keep nobody waiting.
func (gate *Gate) Backlog() (onTime, late int64) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	now := time.Now()
	gate.forget(now)
	gate.read(now)
	onTime = gate.ahead()
	for _, waiting := range gate.able() {
		if waiting.Late {
			late += waiting.Prompt
		} else {
			onTime += waiting.Prompt
		}
	}
	return onTime, late
}
