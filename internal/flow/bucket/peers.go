package bucket

import (
	"maps"
	"time"
)

// Usage is what an instance says of its spending.
type Usage struct {
	// Start identifies the instance's start, and Uptime is the time for which
	// its buckets count.
	Start  int64
	Uptime time.Duration
	// Initialised means that Levels holds all buckets.
	Initialised bool
	// Partial means that Spent and Levels leave out organisations that have not
	// changed lately.
	Partial bool
	// Spent is what it has spent since its start, and Levels what its buckets
	// hold, by organisation.
	Spent  map[string]float64
	Levels map[string]float64
}

// peer is another entry instance.
type peer struct {
	Usage
	// granted means that it started together with this instance, with a grant
	// of its own.
	granted bool
	heard   time.Time
	silent  bool
	paces   map[string]*pace
	// kept is the part of each organisation's rate that is left to the instance
	// while it is silent.
	kept map[string]float64
}

// LocalUsage returns what this instance says of its spending. The caller adds
// what identifies its start.
func (ledger *Limiter) LocalUsage() Usage {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	statement := Usage{
		Uptime:      time.Since(ledger.since),
		Initialised: ledger.settled,
		Spent:       make(map[string]float64, len(ledger.buckets)),
		Levels:      make(map[string]float64, len(ledger.buckets)),
	}
	for organisation, bucket := range ledger.buckets {
		statement.Spent[organisation] = bucket.own
		if ledger.settled {
			ledger.fill(bucket, organisation)
			statement.Levels[organisation] = bucket.level
		}
	}
	return statement
}

// MergeUsage records what another instance says of its spending. A partial statement
// of a start that is not known is passed over, since it does not tell what was
// spent before.
func (ledger *Limiter) MergeUsage(name string, statement Usage) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	known, ok := ledger.peers[name]
	if !ok || known.Start != statement.Start {
		if statement.Partial {
			return
		}
		known = ledger.meet(name, statement)
	}
	for organisation, total := range statement.Spent {
		more := total - known.Spent[organisation]
		known.pace(organisation).add(more)
		if bucket, ok := ledger.buckets[organisation]; ok {
			bucket.level -= more
		}
	}
	if !ledger.settled && statement.Initialised {
		ledger.adopt(statement)
	}
	ledger.follow(statement)
	known.heard, known.silent = time.Now(), false
	known.take(statement)
}

// take takes over what an instance says. What it leaves out stands.
func (peer *peer) take(statement Usage) {
	if statement.Partial {
		statement.Spent = merged(peer.Spent, statement.Spent)
		statement.Levels = merged(peer.Levels, statement.Levels)
	}
	peer.Usage = statement
}

// merged returns the older values with the newer ones in their places.
func merged(older, newer map[string]float64) map[string]float64 {
	all := make(map[string]float64, len(older)+len(newer))
	maps.Copy(all, older)
	maps.Copy(all, newer)
	return all
}

// RemovePeer records that another instance has ended, so that its part of the rate is
// free. Silence alone does not show this: it may serve behind a partition.
func (ledger *Limiter) RemovePeer(name string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	delete(ledger.peers, name)
}

// CountPeers returns how many other instances are heard, and how many are silent.
func (ledger *Limiter) CountPeers() (heard, silent int) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	now := time.Now()
	for _, peer := range ledger.peers {
		if now.Sub(peer.heard) > ledger.config.Silence {
			silent++
		} else {
			heard++
		}
	}
	return heard, silent
}
