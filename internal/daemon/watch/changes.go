package watch

import "time"

// maxRecent bounds the records that are kept for other processes.
const maxRecent = 24

// Cursor is a place in a topic. After the store was restored from an earlier copy,
// an offset is given out again for another record, so only places of the same epoch
// can be compared.
type Cursor struct {
	// Epoch counts the restores of the store, 0 if the store does not name it.
	Epoch uint64
	// Next is the offset to read on from.
	Next uint64
}

// compareEpoch returns an error if a response is of another epoch than the cursor. A
// response that names no epoch is taken to be of the same one.
func (cursor Cursor) compareEpoch(epoch uint64) error {
	switch {
	case epoch == cursor.Epoch || epoch == 0:
		return nil
	case epoch > cursor.Epoch:
		return ErrRestored
	default:
		return errStale
	}
}

// Before reports whether a cursor is at an earlier place than another one.
func (cursor Cursor) Before(other Cursor) bool {
	if cursor.Epoch != other.Epoch {
		return cursor.Epoch < other.Epoch
	}
	return cursor.Next < other.Next
}

// Position is how far a process has read a topic.
type Position struct {
	Cursor
	// ChangedNext is the offset after the last record that changed the local state.
	ChangedNext uint64
	// ConfirmedAt is the last time at which there was known to be nothing after
	// Next.
	ConfirmedAt time.Time
	// AnsweredAt is the last time by which the store had answered a call, with nothing
	// after Next. It is later than ConfirmedAt by the time for which the store held the
	// call. While it advances, the process that called reaches the store.
	AnsweredAt time.Time
}

// Update is what a process has read of a topic, as it tells others.
type Update[Record any] struct {
	Position
	// Changes holds, in order, the records from offset From on that changed the
	// local state, if Complete is set. Otherwise some are missing and must be
	// read from the store.
	Changes  []Record
	From     uint64
	Complete bool
}

// batch holds the records of one call that changed the local state.
type batch[Record any] struct {
	from, next uint64
	records    []Record
}

// recentChanges keeps the latest batches, with at most maxRecent records.
type recentChanges[Record any] struct {
	batches []batch[Record]
	// completeFrom is the offset from which on no batch was discarded.
	completeFrom uint64
}

// add appends a batch and discards the oldest ones beyond maxRecent records.
func (recent *recentChanges[Record]) add(from, next uint64, records []Record) {
	recent.batches = append(recent.batches, batch[Record]{from, next, records})
	count := 0
	for _, batch := range recent.batches {
		count += len(batch.records)
	}
	for count > maxRecent {
		count -= len(recent.batches[0].records)
		recent.completeFrom = recent.batches[0].next
		recent.batches = recent.batches[1:]
	}
}

// reset discards all batches, which end before the given offset.
func (recent *recentChanges[Record]) reset(next uint64) {
	recent.batches, recent.completeFrom = nil, next
}

// since returns the kept records, from the batch that contains the given offset
// on, and whether they are all changes after that offset.
func (recent *recentChanges[Record]) since(next uint64) (records []Record, complete bool) {
	for _, batch := range recent.batches {
		if batch.next > next {
			records = append(records, batch.records...)
		}
	}
	return records, next >= recent.completeFrom
}

// Since returns how far the topic was read, and the changes after a cursor if they
// are still kept.
func (watcher *Watcher[Record]) Since(cursor Cursor) Update[Record] {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	if cursor.Epoch != watcher.position.Epoch {
		return Update[Record]{Position: watcher.position}
	}
	records, complete := watcher.recent.since(cursor.Next)
	return Update[Record]{Position: watcher.position, Changes: records, From: cursor.Next, Complete: complete}
}

// Latest returns how far the topic was read, and the last batch of changes.
func (watcher *Watcher[Record]) Latest() Update[Record] {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	update := Update[Record]{Position: watcher.position}
	if count := len(watcher.recent.batches); count > 0 {
		last := watcher.recent.batches[count-1]
		update.Changes, update.From, update.Complete = last.records, last.from, true
	}
	return update
}
