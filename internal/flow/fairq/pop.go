package fairq

import "time"

// Pop removes and returns the next entry for which ready holds, or nil. Entries
// that are not ready are passed and keep their place.
func (queue *Queue[T]) Pop(now time.Time, ready func(*Entry[T]) bool) *Entry[T] {
	for _, urgent := range []bool{true, false} {
		if entry := queue.next(now, urgent, ready); entry != nil {
			line := queue.lines[entry.Organisation]
			line.deficit -= entry.Cost
			queue.Remove(entry)
			queue.pace.served(now, entry.Cost)
			return entry
		}
	}
	return nil
}

// next runs deficit round robin over the organisations that have a ready
// entry. Organisations without one earn nothing.
func (queue *Queue[T]) next(now time.Time, urgent bool, ready func(*Entry[T]) bool) *Entry[T] {
	firsts := make([]*Entry[T], len(queue.ring))
	found := false
	for index, line := range queue.ring {
		firsts[index] = line.first(now, urgent, ready)
		found = found || firsts[index] != nil
	}
	if !found {
		return nil
	}
	for {
		index := queue.cursor % len(queue.ring)
		entry := firsts[index]
		if entry != nil && entry.Cost <= queue.ring[index].deficit {
			return entry
		}
		queue.cursor = (index + 1) % len(queue.ring)
		if next := firsts[queue.cursor]; next != nil {
			queue.ring[queue.cursor].deficit += queue.config.Quantum
		}
	}
}
