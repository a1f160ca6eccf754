package fairq

import (
	"cmp"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// line holds the sub-queues of one organisation, one for each class.
type line[T any] struct {
	classes [2][]*Entry[T]
	tokens  [2]model.Tokens
	deficit model.Tokens
	blocked time.Time
}

func (line *line[T]) empty() bool {
	return len(line.classes[0]) == 0 && len(line.classes[1]) == 0
}

// starved lines wait for tokens and not for the upstream.
func (line *line[T]) starved() bool { return !line.blocked.IsZero() }

func (line *line[T]) requests() int { return len(line.classes[0]) + len(line.classes[1]) }

// ahead returns the tokens that go before a new entry of a class.
func (line *line[T]) ahead(class model.Class) model.Tokens {
	if class == model.Interactive {
		return line.tokens[model.Interactive]
	}
	return line.tokens[model.Interactive] + line.tokens[model.Patient]
}

func bySequence[T any](left, right *Entry[T]) int {
	return cmp.Compare(left.sequence, right.sequence)
}

func (line *line[T]) insert(entry *Entry[T]) {
	entries := line.classes[entry.Class]
	index, _ := slices.BinarySearchFunc(entries, entry, bySequence)
	line.classes[entry.Class] = slices.Insert(entries, index, entry)
	line.tokens[entry.Class] += entry.Cost
}

func (line *line[T]) remove(entry *Entry[T]) {
	entries := line.classes[entry.Class]
	index, found := slices.BinarySearchFunc(entries, entry, bySequence)
	if !found {
		return
	}
	line.classes[entry.Class] = slices.Delete(entries, index, index+1)
	line.tokens[entry.Class] -= entry.Cost
	if line.empty() && line.deficit > 0 {
		// An idle organisation must not save up a burst; debt is kept.
		line.deficit = 0
	}
}

// first returns the oldest entry that is ready and, when urgent is set, counts
// as interactive.
func (line *line[T]) first(now time.Time, urgent bool, ready func(*Entry[T]) bool) *Entry[T] {
	if line.blocked.After(now) {
		return nil
	}
	var best *Entry[T]
	for _, entries := range line.classes {
		for _, entry := range entries {
			if best != nil && entry.sequence > best.sequence {
				break
			}
			if (!urgent || entry.HighPriority(now)) && ready(entry) {
				best = entry
				break
			}
		}
	}
	return best
}
