package bucket

import (
	"maps"
	"time"
)

// Usage is what an instance has spent, and its bucket levels.
type Usage struct {
	// Start identifies the instance's incarnation, and Uptime is the time for
	// which its buckets have filled.
	Start  int64
	Uptime time.Duration
	// Initialised means that Levels holds all buckets.
	Initialised bool
	// Partial means that Spent and Levels leave out organisations that have not
	// changed lately.
	Partial bool
	// Spent is what the instance has spent since its start, and Levels the
	// level of each bucket, by organisation.
	Spent  map[string]float64
	Levels map[string]float64
	// ClassSpent is what the instance was asked for since its start, by class.
	ClassSpent map[string]map[Class]float64
}

// peer is another entry instance.
type peer struct {
	Usage
	// granted means that the peer started together with this instance and has a
	// grant of its own.
	granted bool
	heardAt time.Time
	silent  bool
	rates   map[string]*spendingRate
	// classRates holds how fast the peer spends, by organisation and class.
	classRates map[string]map[Class]*spendingRate
	// reserved is the fraction of each organisation's rate that is reserved for
	// the peer while it is silent.
	reserved map[string]float64
}

// LocalUsage returns this instance's usage. The caller sets Start.
func (limiter *Limiter) LocalUsage() Usage {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	usage := Usage{
		Uptime:      time.Since(limiter.fillStart),
		Initialised: limiter.initialised,
		Spent:       make(map[string]float64, len(limiter.buckets)),
		Levels:      make(map[string]float64, len(limiter.buckets)),
		ClassSpent:  make(map[string]map[Class]float64),
	}
	for organisation, bucket := range limiter.buckets {
		usage.Spent[organisation] = bucket.spent
		if spent := bucket.classSpent(); len(spent) > 0 {
			usage.ClassSpent[organisation] = spent
		}
		if limiter.initialised {
			limiter.refill(bucket, organisation)
			usage.Levels[organisation] = bucket.level
		}
	}
	return usage
}

// MergeUsage takes what another instance has spent since its previous report
// off the buckets. A partial report of an unknown incarnation is ignored, since
// it does not tell what was spent before.
func (limiter *Limiter) MergeUsage(name string, usage Usage) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	known, ok := limiter.peers[name]
	if !ok || known.Start != usage.Start {
		if usage.Partial {
			return
		}
		known = limiter.addPeer(name, usage)
	}
	for organisation, total := range usage.Spent {
		added := total - known.Spent[organisation]
		known.spendingRate(organisation).add(added)
		if bucket, ok := limiter.buckets[organisation]; ok {
			bucket.level -= added
		}
	}
	known.addClasses(usage.ClassSpent)
	if !limiter.initialised && usage.Initialised {
		limiter.adoptLevels(usage)
	}
	limiter.creditWithheld()
	limiter.capLevels(usage)
	known.heardAt, known.silent = time.Now(), false
	known.update(usage)
}

// update replaces the peer's usage. What a partial report leaves out stays.
func (peer *peer) update(usage Usage) {
	if usage.Partial {
		usage.Spent = merged(peer.Spent, usage.Spent)
		usage.Levels = merged(peer.Levels, usage.Levels)
		usage.ClassSpent = merged(peer.ClassSpent, usage.ClassSpent)
	}
	peer.Usage = usage
}

// merged returns the union of two maps; newer values replace older ones.
func merged[V any](older, newer map[string]V) map[string]V {
	all := make(map[string]V, len(older)+len(newer))
	maps.Copy(all, older)
	maps.Copy(all, newer)
	return all
}

// RemovePeer records that another instance has ended, so that nothing is
// reserved for it any longer. Silence alone does not show this: the instance
// may still serve on the other side of a partition.
func (limiter *Limiter) RemovePeer(name string) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	delete(limiter.peers, name)
}

// CountPeers returns how many other instances are heard and how many are
// silent.
func (limiter *Limiter) CountPeers() (heard, silent int) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	now := time.Now()
	for _, peer := range limiter.peers {
		if now.Sub(peer.heardAt) > limiter.config.PeerTimeout {
			silent++
		} else {
			heard++
		}
	}
	return heard, silent
}
