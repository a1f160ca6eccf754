package relay

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// The operators evacuate failure domains by records in their topic of the store. This instance
// follows the topic, and hears from the others which domains were evacuated at the position that
// they have read. What the later position says is in force, so an instance that does not reach
// the store learns of begins and ends alike, and one that lags takes nothing back.

// reasonEvacuated is the reason of refusals of requests that only upstreams in evacuated failure
// domains could serve.
const reasonEvacuated = "the upstreams' failure domains are evacuated"

// toldLifetime is how long what others said last is in force at an instance that reads the store
// at an earlier position. A store that names no epoch may be restored to one, which the others
// notice after a time.
const toldLifetime = 15 * time.Second

// evacuations tracks which failure domains are evacuated.
type evacuations struct {
	inForce cordon.Domains

	mutex sync.Mutex
	// own is what this instance has read, and reported the same at the last confirmed
	// position.
	own      map[string]bool
	reported domainSet
	// told is what another instance has read, if its position is later.
	told   domainSet
	toldAt time.Time
	toldBy string
	// unchecked holds the domains of which it is not known yet whether they have upstreams.
	unchecked map[string]bool
	// all means that all domains with upstreams are evacuated.
	all bool
}

// domainSet is the evacuated failure domains at a position.
type domainSet struct {
	cursor  watch.Cursor
	domains map[string]bool
}

func newEvacuations() *evacuations {
	return &evacuations{own: make(map[string]bool), unchecked: make(map[string]bool)}
}

// apply applies changes by the operators. If they are complete, other domains are no longer
// evacuated.
func (evacuations *evacuations) apply(changes []ConfigChange, complete bool) {
	evacuations.mutex.Lock()
	defer evacuations.mutex.Unlock()
	if complete {
		clear(evacuations.own)
	}
	for _, change := range changes {
		switch {
		case change.FailureDomain == "":
		case change.Evacuated:
			evacuations.own[change.FailureDomain] = true
		default:
			delete(evacuations.own, change.FailureDomain)
		}
	}
}

// confirm records the position up to which the applied changes reach, and a time at which there
// were no others. It reports whether the others have to be told.
func (evacuations *evacuations) confirm(cursor watch.Cursor, at time.Time) (news bool) {
	evacuations.mutex.Lock()
	defer evacuations.mutex.Unlock()
	news = !maps.Equal(evacuations.reported.domains, evacuations.own)
	if news || evacuations.reported.cursor != cursor {
		evacuations.reported = domainSet{cursor, maps.Clone(evacuations.own)}
	}
	if !cursor.Before(evacuations.told.cursor) || at.Sub(evacuations.toldAt) > toldLifetime {
		evacuations.told, evacuations.toldBy = domainSet{}, ""
	}
	return news
}

// record records what another instance has read, unless this one knows a later position.
func (evacuations *evacuations) record(peer string, told cordon.Evacuation) {
	evacuations.mutex.Lock()
	defer evacuations.mutex.Unlock()
	cursor := watch.Cursor{Epoch: told.Epoch, Next: told.Next}
	if !evacuations.reported.cursor.Before(cursor) || cursor.Before(evacuations.told.cursor) {
		return
	}
	domains := make(map[string]bool, len(told.FailureDomains))
	for _, domain := range told.FailureDomains {
		domains[domain] = true
	}
	evacuations.told, evacuations.toldAt, evacuations.toldBy = domainSet{cursor, domains}, time.Now(), peer
}

// enforce puts into force what the latest position says. It returns the domains for which that
// is a change, and the instance that told it, if any.
func (evacuations *evacuations) enforce() (begun, ended []string, peer string) {
	evacuations.mutex.Lock()
	defer evacuations.mutex.Unlock()
	domains := evacuations.own
	if evacuations.reported.cursor.Before(evacuations.told.cursor) {
		domains, peer = evacuations.told.domains, evacuations.toldBy
	}
	begun, ended = evacuations.inForce.Replace(domains)
	for _, domain := range begun {
		evacuations.unchecked[domain] = true
	}
	for _, domain := range ended {
		delete(evacuations.unchecked, domain)
	}
	return begun, ended, peer
}

// check compares the evacuated domains with those of the listed upstreams. It returns the
// domains evacuated since the last call that have no upstream, and whether those with upstreams
// are now all evacuated and were not before.
func (evacuations *evacuations) check(listed map[string]int) (empty []string, allBegun bool) {
	evacuations.mutex.Lock()
	defer evacuations.mutex.Unlock()
	empty = slices.DeleteFunc(slices.Sorted(maps.Keys(evacuations.unchecked)), func(domain string) bool { return listed[domain] > 0 })
	clear(evacuations.unchecked)
	all := len(listed) > 0
	for domain := range listed {
		all = all && evacuations.inForce.Evacuated(domain)
	}
	allBegun, evacuations.all = all && !evacuations.all, all
	return empty, allBegun
}

// encode returns what this instance has read, for the others, or nil if it has read nothing.
// What it was told is not passed on, so that each position comes from an instance that reads.
func (evacuations *evacuations) encode() *wirepb.Evacuation {
	evacuations.mutex.Lock()
	defer evacuations.mutex.Unlock()
	reported := evacuations.reported
	if reported.cursor == (watch.Cursor{}) {
		return nil
	}
	return codec.EncodeEvacuation(cordon.Evacuation{
		Epoch: reported.cursor.Epoch, Next: reported.cursor.Next, FailureDomains: slices.Sorted(maps.Keys(reported.domains)),
	})
}

// applyEvacuations applies changes by the operators.
func (relay *Relay) applyEvacuations(changes []ConfigChange, complete bool) {
	relay.evacuations.apply(changes, complete)
	relay.enforceEvacuations()
}

// confirmEvacuations records that the changes up to the position of the watcher were applied.
func (relay *Relay) confirmEvacuations(at time.Time) {
	if relay.evacuations.confirm(relay.configWatcher.Position().Cursor, at) {
		relay.usageUrgent.Store(true)
		relay.reportSoon()
	}
	relay.enforceEvacuations()
}

// recordPeerEvacuations records what another entry instance has read.
func (relay *Relay) recordPeerEvacuations(report *wirepb.Usage) {
	relay.evacuations.record(report.GetEntry(), codec.DecodeEvacuation(report.GetEvacuation()))
	relay.enforceEvacuations()
}

// enforceEvacuations puts the evacuations into force and wakes the requests that wait.
func (relay *Relay) enforceEvacuations() {
	begun, ended, peer := relay.evacuations.enforce()
	if len(begun)+len(ended) == 0 {
		return
	}
	listed := relay.countByDomain()
	for _, domain := range begun {
		relay.config.Logger.Info("evacuation: begun", zap.String("failure-domain", domain), zap.Int("upstreams", listed[domain]), zap.String("told", peer))
	}
	for _, domain := range ended {
		relay.config.Logger.Info("evacuation: ended", zap.String("failure-domain", domain), zap.Int("upstreams", listed[domain]), zap.String("told", peer))
	}
	if relay.listKnown.Load() {
		relay.checkEvacuations()
	}
	relay.stateChanged.notify()
	relay.reportSoon()
}

// checkEvacuations logs evacuations that probably are not what the operators want.
func (relay *Relay) checkEvacuations() {
	empty, all := relay.evacuations.check(relay.countByDomain())
	for _, domain := range empty {
		relay.config.Logger.Warn("evacuation: no upstream is in the failure domain", zap.String("failure-domain", domain))
	}
	if all {
		relay.config.Logger.Warn("evacuation: all failure domains with upstreams are evacuated", zap.Strings("failure-domains", relay.evacuations.inForce.List()))
	}
}

// countByDomain returns the number of listed upstreams in each failure domain.
func (relay *Relay) countByDomain() map[string]int {
	listed := make(map[string]int)
	for _, upstream := range relay.store.instances.Upstreams() {
		listed[upstream.FailureDomain]++
	}
	return listed
}

// evacuatedRefusal returns the refusal of a request that only upstreams in evacuated failure
// domains could serve.
func evacuatedRefusal(retryAfter time.Duration) *refusal {
	return &refusal{http.StatusServiceUnavailable, reasonEvacuated, retryAfter}
}

// countRefused counts a refusal if it is an evacuatedRefusal.
func (relay *Relay) countRefused(refused *refusal) *refusal {
	if refused != nil && refused.reason == reasonEvacuated {
		relay.metrics.increment("refused-evacuated")
	}
	return refused
}
