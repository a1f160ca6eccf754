package watch

import "time"

// mostNews bounds the records that are kept for other processes.
const mostNews = 24

// Position is how far a process has read a topic.
type Position struct {
	// Next is the offset to read on from, and Changed the one after the last
	// record that changed anything.
	Next        uint64
	ChangedNext uint64
	// ConfirmedAt is when the process knew that there was nothing after Next.
	ConfirmedAt time.Time
}

// Update is what another process read.
type Update[Record any] struct {
	Position
	// Changes holds what changed anything after the offset From, in its order, if
	// Complete. Else it has to be read.
	Changes  []Record
	From     uint64
	Complete bool
}

// batch is what one call brought that changed anything.
type batch[Record any] struct {
	from, next uint64
	records    []Record
}

// news keeps the latest batches, within mostNews records.
type news[Record any] struct {
	batches []batch[Record]
	// from is the offset after which all is kept.
	from uint64
}

func (news *news[Record]) add(from, next uint64, records []Record) {
	news.batches = append(news.batches, batch[Record]{from, next, records})
	kept := 0
	for _, batch := range news.batches {
		kept += len(batch.records)
	}
	for kept > mostNews {
		kept -= len(news.batches[0].records)
		news.from = news.batches[0].next
		news.batches = news.batches[1:]
	}
}

// reset forgets all before an offset.
func (news *news[Record]) reset(next uint64) { news.batches, news.from = nil, next }

// since returns what is kept from the batch on in which an offset lies, and
// whether that is all that came after it.
func (news *news[Record]) since(next uint64) (records []Record, complete bool) {
	for _, batch := range news.batches {
		if batch.next > next {
			records = append(records, batch.records...)
		}
	}
	return records, next >= news.from
}

// Since returns how far the topic was read, and what changed anything after an
// offset, if that is still known.
func (follower *Watcher[Record]) Since(next uint64) Update[Record] {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	records, complete := follower.kept.since(next)
	return Update[Record]{Position: follower.position, Changes: records, From: next, Complete: complete}
}

// Latest returns how far the topic was read, and the last news.
func (follower *Watcher[Record]) Latest() Update[Record] {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	hint := Update[Record]{Position: follower.position}
	if count := len(follower.kept.batches); count > 0 {
		last := follower.kept.batches[count-1]
		hint.Changes, hint.From, hint.Complete = last.records, last.from, true
	}
	return hint
}
