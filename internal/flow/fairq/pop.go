package fairq

import "time"

// Pop removes and returns the next entry for which ready returns true, or nil.
// Entries that are not ready are skipped and keep their place.
func (queue *Queue[T]) Pop(now time.Time, ready func(*Entry[T]) bool) *Entry[T] {
	for _, highPriority := range []bool{true, false} {
		if entry := queue.nextEntry(now, highPriority, ready); entry != nil {
			organisationQueue := queue.organisations[entry.Organisation]
			organisationQueue.deficit -= entry.Cost
			queue.Remove(entry)
			queue.throughput.recordStart(now, entry.Cost)
			return entry
		}
	}
	return nil
}

// nextEntry runs deficit round robin over the organisations that have a ready
// entry. The others gain no deficit.
func (queue *Queue[T]) nextEntry(now time.Time, highPriority bool, ready func(*Entry[T]) bool) *Entry[T] {
	firsts := make([]*Entry[T], len(queue.ring))
	found := false
	for index, organisationQueue := range queue.ring {
		firsts[index] = organisationQueue.firstReady(now, highPriority, ready)
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
