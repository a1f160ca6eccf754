package quota

import (
	"slices"
	"sort"
	"time"
)

// maxHistoryEntries limits a history to 16 KiB. Beyond it, neighbours are merged,
// which can only lower the tokens that are credited.
const maxHistoryEntries = 1024

// headroomHistory answers what a shard's minimum headroom has been since a given
// instant. Its entries are suffix minima: times and headrooms both increase.
type headroomHistory struct {
	minima []minimum
}

type minimum struct {
	at       time.Duration
	headroom nanoTokens
}

// record adds the headroom at an instant later than those recorded before.
func (headroomHistory *headroomHistory) record(at time.Duration, headroom nanoTokens) {
	headroomHistory.popNotBelow(len(headroomHistory.minima), headroom)
	if len(headroomHistory.minima) >= maxHistoryEntries {
		headroomHistory.compact()
	}
	headroomHistory.minima = append(headroomHistory.minima, minimum{at: at, headroom: headroom})
}

// compact halves the entries. Of two neighbours it keeps the earlier headroom,
// which is lower, at the later instant.
func (headroomHistory *headroomHistory) compact() {
	merged := headroomHistory.minima[:0]
	for index := 0; index+1 < len(headroomHistory.minima); index += 2 {
		merged = append(merged, minimum{at: headroomHistory.minima[index+1].at, headroom: headroomHistory.minima[index].headroom})
	}
	headroomHistory.minima = merged
}

// minSince returns the minimum headroom recorded after an instant, or the largest
// possible headroom if there is none.
func (headroomHistory *headroomHistory) minSince(since time.Duration) nanoTokens {
	if index := headroomHistory.indexAfter(since); index < len(headroomHistory.minima) {
		return headroomHistory.minima[index].headroom
	}
	return nanoTokens(maxBurst) * nanosPerToken
}

// reduceSince subtracts tokens from every headroom recorded after an instant.
func (headroomHistory *headroomHistory) reduceSince(since time.Duration, tokens nanoTokens) {
	index := headroomHistory.indexAfter(since)
	if index == len(headroomHistory.minima) {
		return
	}
	for position := index; position < len(headroomHistory.minima); position++ {
		headroomHistory.minima[position].headroom -= tokens
	}
	headroomHistory.popNotBelow(index, headroomHistory.minima[index].headroom)
}

// dropBefore removes the entries recorded up to an instant.
func (headroomHistory *headroomHistory) dropBefore(before time.Duration) {
	if index := headroomHistory.indexAfter(before); index > 0 {
		headroomHistory.minima = headroomHistory.minima[index:]
	}
}

// indexAfter returns the index of the first entry recorded after an instant.
func (headroomHistory *headroomHistory) indexAfter(since time.Duration) int {
	return sort.Search(len(headroomHistory.minima), func(index int) bool { return headroomHistory.minima[index].at > since })
}

// popNotBelow removes the entries directly before end whose headroom is not
// below the given one.
func (headroomHistory *headroomHistory) popNotBelow(end int, headroom nanoTokens) {
	begin := end
	for begin > 0 && headroomHistory.minima[begin-1].headroom >= headroom {
		begin--
	}
	headroomHistory.minima = slices.Delete(headroomHistory.minima, begin, end)
}
