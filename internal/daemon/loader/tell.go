package loader

import "time"

// informed is how much an entry instance was told.
type informed uint8

const (
	toldNothing informed = iota
	// toldBefore means a full state that is not the last one.
	toldBefore
	toldLast
)

// telling is what an entry instance was told last.
type telling struct {
	at time.Time
	// full is the serial of the full state, which was sent at fullAt, and has
	// the one that it said it had.
	full   uint64
	fullAt time.Time
	has    uint64
}

// due reports whether an entry instance is to be told now, and what it was told
// before. If it is due it counts as told.
func (loader *Loader) due(entry string, entries int, granted bool, full uint64) (told informed, due bool) {
	pause := min(time.Duration(max(entries-promptEntries, 0))*pausePerEntry, longestPause)
	waits := granted || loader.gate.HasWaiting(entry)
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	last := loader.tellings[entry]
	now := time.Now()
	if !waits && now.Sub(last.at) < pause {
		return toldNothing, false
	}
	isLast := last.full == full && (last.has == full || now.Sub(last.fullAt) < acknowledgeTime)
	told = toldBefore
	switch {
	case last.full == 0:
		told = toldNothing
	case isLast:
		told = toldLast
	}
	if told != toldLast {
		last.full, last.fullAt = full, now
	}
	last.at = now
	loader.tellings[entry] = last
	return told, true
}

// some returns up to mostNamed of the entry instances, others with each call,
// since all loaders together name each one often.
func (loader *Loader) some(entries []string) []string {
	if len(entries) <= mostNamed {
		return entries
	}
	named := make([]string, 0, mostNamed)
	for range mostNamed {
		named = append(named, entries[loader.name%len(entries)])
		loader.name++
	}
	return named
}
