package fairq

import (
	"cmp"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// organisationQueue holds the waiting entries of one organisation, one list for
// each class.
type organisationQueue[T any] struct {
	entries      [2][]*Entry[T]
	tokens       [2]conf.Tokens
	deficit      conf.Tokens
	blockedUntil time.Time
}

func (organisationQueue *organisationQueue[T]) empty() bool {
	return len(organisationQueue.entries[0]) == 0 && len(organisationQueue.entries[1]) == 0
}

// rateLimited reports whether the organisation's requests wait for tokens of its
// rate limit and not for the upstream.
func (organisationQueue *organisationQueue[T]) rateLimited() bool {
	return !organisationQueue.blockedUntil.IsZero()
}

func (organisationQueue *organisationQueue[T]) requests() int {
	return len(organisationQueue.entries[0]) + len(organisationQueue.entries[1])
}

// tokensAhead returns the cost of the entries that go before a new entry of a
// class.
func (organisationQueue *organisationQueue[T]) tokensAhead(class conf.Class) conf.Tokens {
	if class == conf.Interactive {
		return organisationQueue.tokens[conf.Interactive]
	}
	return organisationQueue.tokens[conf.Interactive] + organisationQueue.tokens[conf.Patient]
}

func bySequence[T any](left, right *Entry[T]) int {
	return cmp.Compare(left.sequence, right.sequence)
}

func (organisationQueue *organisationQueue[T]) insert(entry *Entry[T]) {
	entries := organisationQueue.entries[entry.Class]
	index, _ := slices.BinarySearchFunc(entries, entry, bySequence)
	organisationQueue.entries[entry.Class] = slices.Insert(entries, index, entry)
	organisationQueue.tokens[entry.Class] += entry.Cost
}

func (organisationQueue *organisationQueue[T]) remove(entry *Entry[T]) {
	entries := organisationQueue.entries[entry.Class]
	index, found := slices.BinarySearchFunc(entries, entry, bySequence)
	if !found {
		return
	}
	organisationQueue.entries[entry.Class] = slices.Delete(entries, index, index+1)
	organisationQueue.tokens[entry.Class] -= entry.Cost
	if organisationQueue.empty() && organisationQueue.deficit > 0 {
		// An idle organisation must not accumulate deficit for a burst. A negative
		// deficit is kept.
		organisationQueue.deficit = 0
	}
}

// firstReady returns the oldest entry that is ready and, if highPriority is set,
// has high priority.
func (organisationQueue *organisationQueue[T]) firstReady(now time.Time, highPriority bool, ready func(*Entry[T]) bool) *Entry[T] {
	if organisationQueue.blockedUntil.After(now) {
		return nil
	}
	var best *Entry[T]
	for _, entries := range organisationQueue.entries {
		for _, entry := range entries {
			if best != nil && entry.sequence > best.sequence {
				break
			}
			if (!highPriority || entry.HighPriority(now)) && ready(entry) {
				best = entry
				break
			}
		}
	}
	return best
}
