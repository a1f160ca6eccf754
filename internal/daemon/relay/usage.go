package relay

import (
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/bucket"
	"jacinthfront.dev/jacinthfront/internal/flow/origin"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// usageRepeatTime is how long changed usage is repeated in reports, in case a
// datagram is lost.
const usageRepeatTime = 400 * time.Millisecond

// usageChanges tracks which organisations' usage changed recently.
type usageChanges struct {
	lastSpent map[string]float64
	changedAt map[string]time.Time
}

func newUsageChanges() *usageChanges {
	return &usageChanges{lastSpent: make(map[string]float64), changedAt: make(map[string]time.Time)}
}

// update stores the usage of all organisations, and reports whether any changed
// since the last call.
func (usageChanges *usageChanges) update(spent map[string]float64) bool {
	changed := false
	now := time.Now()
	for organisation, sum := range spent {
		if before, ok := usageChanges.lastSpent[organisation]; ok && before == sum {
			continue
		}
		usageChanges.lastSpent[organisation], usageChanges.changedAt[organisation] = sum, now
		changed = true
	}
	return changed
}

// recent returns the organisations whose usage changed within usageRepeatTime.
func (usageChanges *usageChanges) recent() map[string]bool {
	recent := make(map[string]bool)
	for organisation, at := range usageChanges.changedAt {
		if time.Since(at) < usageRepeatTime {
			recent[organisation] = true
		}
	}
	return recent
}

// reportUsage reports this instance's usage to the other entry instances: partial
// reports of what changed recently, and full ones from time to time. A report also brings its
// receiver the origins of streams of which that keeps copies.
func (relay *Relay) reportUsage(usage bucket.Usage) {
	heard, engines := relay.picker.CountReporting()
	present, removed := relay.peers.expire(2*heard > engines)
	for _, address := range removed {
		relay.limiter.RemovePeer(address)
		relay.config.Logger.Info("relay: entry instance is gone", zap.String("address", address))
	}
	byKind := make(map[reportKind][]string)
	for _, address := range present {
		kind := relay.peers.takeReport(address)
		byKind[kind] = append(byKind[kind], address)
	}
	untold := relay.origins.takeUntold()
	for kind, addresses := range byKind {
		relay.sendUsage(relay.encodeUsage(usage, kind), addresses, untold)
	}
}

// sendUsage sends a usage report, and with it to each receiver the origins of streams that it
// has not been told.
func (relay *Relay) sendUsage(report *wirepb.Usage, addresses []string, untold map[string][]origin.Record) {
	datagram := &wirepb.Datagram{Body: &wirepb.Datagram_Usage{Usage: report}}
	var others []string
	for _, address := range addresses {
		records := untold[address]
		if len(records) == 0 {
			others = append(others, address)
			continue
		}
		brought := min(len(records), maxOriginsPerDatagram)
		report.Streams = codec.EncodeOrigins(records[:brought])
		relay.sendDatagram(datagram, address)
		relay.sendOrigins(records[brought:], address)
	}
	if len(others) > 0 {
		report.Streams = nil
		relay.sendDatagram(datagram, others...)
	}
}

// encodeUsage encodes a usage report.
func (relay *Relay) encodeUsage(usage bucket.Usage, kind reportKind) *wirepb.Usage {
	full, recent := kind != partialReport, relay.usageChanges.recent()
	encoded := &wirepb.Usage{
		Entry: relay.config.DatagramAddress, Start: relay.identity, FailureDomain: relay.config.FailureDomain,
		UptimeMs: usage.Uptime.Milliseconds(), Settled: usage.Initialised, Partial: !full,
		Leaving: encodeDraining(relay.cordon.RecentlyDraining()), Limits: relay.permits.encodeLimits(full),
		Poison: relay.encodePoison(full), Retries: relay.retryBudget.encodeUse(kind),
		StoreFailing: relay.peers.ownStoreFails(), PastWanted: !relay.retryBudget.settled(),
		Evacuation: relay.evacuations.encode(),
	}
	if config := relay.store.config(); config != nil {
		encoded.ConfigVersion = config.Version()
	}
	for organisation, spent := range usage.Spent {
		if !full && !recent[organisation] {
			continue
		}
		use := &wirepb.OrganisationUse{Organisation: organisation, Spent: spent, Level: usage.Levels[organisation]}
		use.ClassWaitMs, use.ClassSpent = codec.EncodeClasses(usage.ClassSpent[organisation])
		encoded.Organisations = append(encoded.Organisations, use)
	}
	return encoded
}

// handleUsage processes a usage report of another entry instance.
func (relay *Relay) handleUsage(report *wirepb.Usage) {
	usage := bucket.Usage{
		Partial: report.GetPartial(),
		Start:   report.GetStart(), Uptime: time.Duration(report.GetUptimeMs()) * time.Millisecond, Initialised: report.GetSettled(),
		Spent: make(map[string]float64), Levels: make(map[string]float64), ClassSpent: make(map[string]map[bucket.Class]float64),
	}
	for _, organisation := range report.GetOrganisations() {
		usage.Spent[organisation.GetOrganisation()] = organisation.GetSpent()
		if classes := codec.DecodeClasses(organisation.GetClassWaitMs(), organisation.GetClassSpent()); len(classes) > 0 {
			usage.ClassSpent[organisation.GetOrganisation()] = classes
		}
		if usage.Initialised {
			usage.Levels[organisation.GetOrganisation()] = organisation.GetLevel()
		}
	}
	relay.recordPeerEvacuations(report)
	if relay.peers.recordReport(report.GetEntry(), report.GetFailureDomain(), report.GetStart(), report.GetConfigVersion()) {
		relay.origins.addReturned(report.GetEntry())
	}
	relay.keepCopies(report.GetStreams())
	relay.peers.recordPastWanted(report.GetEntry(), report.GetPastWanted())
	if relay.peers.recordStoreState(report.GetEntry(), report.GetStoreFailing()) {
		relay.queryReader()
	}
	relay.limiter.MergeUsage(report.GetEntry(), usage)
	relay.recordPeerDraining(report)
	relay.recordPeerLimits(report)
	relay.recordPeerPoison(report)
	relay.recordPeerRetries(report)
}

// usageInterval returns the time between two usage reports to the other entry
// instances. It is longer if there are many, as each of them spends little in that
// time.
func usageInterval(instances int) time.Duration {
	return min(max(reportInterval, time.Duration(instances)*usageIntervalPerInstance), maxUsageInterval)
}
