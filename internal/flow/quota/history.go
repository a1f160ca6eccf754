package quota

import (
	"slices"
	"sort"
	"time"
)

// maxMinima bounds a history to 16 KiB. Beyond it, neighbours are merged, which
// errs on the side of crediting less.
const maxMinima = 1024

// history remembers the least room of a shard since any instant within its
// memory. Its entries are the suffix minima: both times and rooms increase.
type history struct {
	minima []minimum
}

type minimum struct {
	at   time.Duration
	room nanos
}

// note records the room at an instant later than those noted before.
func (history *history) note(at time.Duration, room nanos) {
	history.dropFrom(len(history.minima), room)
	if len(history.minima) >= maxMinima {
		history.merge()
	}
	history.minima = append(history.minima, minimum{at: at, room: room})
}

// merge halves the entries. Of two neighbours it keeps the earlier one's room,
// which is less, at the later one's instant.
func (history *history) merge() {
	merged := history.minima[:0]
	for index := 0; index+1 < len(history.minima); index += 2 {
		merged = append(merged, minimum{at: history.minima[index+1].at, room: history.minima[index].room})
	}
	history.minima = merged
}

// least returns the least room noted after an instant.
func (history *history) least(since time.Duration) nanos {
	if index := history.index(since); index < len(history.minima) {
		return history.minima[index].room
	}
	return nanos(maxBurst) * perToken
}

// lower takes tokens off every room noted after an instant.
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

// index returns the position of the first entry after an instant.
func (history *history) index(since time.Duration) int {
	return sort.Search(len(history.minima), func(index int) bool { return history.minima[index].at > since })
}

// dropFrom removes the entries just before end that are not below room.
func (history *history) dropFrom(end int, room nanos) {
	begin := end
	for begin > 0 && history.minima[begin-1].room >= room {
		begin--
	}
	history.minima = slices.Delete(history.minima, begin, end)
}
