package quota

import (
	"slices"
	"sort"
	"time"
)

// historyStep is the resolution of the history. Minima in the same step are
// merged, which bounds the history to 720 entries and errs on the side of
// crediting less.
const historyStep = 500 * time.Millisecond

// history remembers the least room of a shard since any instant within its
// memory. Its entries are the suffix minima: both times and rooms increase.
type history struct {
	minima []minimum
}

type minimum struct {
	at   time.Duration
	room nanos
}

// note records the room at an instant, no earlier than those noted before.
func (history *history) note(at time.Duration, room nanos) {
	history.dropFrom(len(history.minima), room)
	if last := len(history.minima) - 1; last >= 0 && history.minima[last].at/historyStep == at/historyStep {
		history.minima[last].at = at
		return
	}
	history.minima = append(history.minima, minimum{at: at, room: room})
}

// least returns the least room noted at or after an instant.
func (history *history) least(since time.Duration) nanos {
	if index := history.index(since); index < len(history.minima) {
		return history.minima[index].room
	}
	return nanos(maxBurst) * perToken
}

// lower takes tokens off every room noted at or after an instant.
func (history *history) lower(since time.Duration, tokens nanos) {
	index := history.index(since)
	if index == len(history.minima) {
		return
	}
	for position := index; position < len(history.minima); position++ {
		history.minima[position].room -= tokens
	}
	history.dropFrom(index, history.minima[index].room)
}

// forget drops what was noted before an instant.
func (history *history) forget(before time.Duration) {
	if index := history.index(before); index > 0 {
		history.minima = history.minima[index:]
	}
}

func (history *history) index(since time.Duration) int {
	return sort.Search(len(history.minima), func(index int) bool { return history.minima[index].at >= since })
}

// dropFrom removes the entries just before end that are not below room.
func (history *history) dropFrom(end int, room nanos) {
	begin := end
	for begin > 0 && history.minima[begin-1].room >= room {
		begin--
	}
	history.minima = slices.Delete(history.minima, begin, end)
}
