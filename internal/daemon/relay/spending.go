package relay

import (
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/bucket"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// repeatTime is how long a change of what was spent is told again, in case a
// datagram is lost.
const repeatTime = 400 * time.Millisecond

// spending follows which organisations' spending has changed lately.
type spending struct {
	last map[string]float64
	at   map[string]time.Time
}

func newSpending() *spending {
	return &spending{last: make(map[string]float64), at: make(map[string]time.Time)}
}

// changed takes over what was spent, and reports whether something was since the
// last call.
func (spending *spending) changed(spent map[string]float64) bool {
	changed := false
	now := time.Now()
	for organisation, sum := range spent {
		if before, ok := spending.last[organisation]; ok && before == sum {
			continue
		}
		spending.last[organisation], spending.at[organisation] = sum, now
		changed = true
	}
	return changed
}

// recent returns the organisations whose spending has changed lately.
func (spending *spending) recent() map[string]bool {
	recent := make(map[string]bool)
	for organisation, at := range spending.at {
		if time.Since(at) < repeatTime {
			recent[organisation] = true
		}
	}
	return recent
}

// tellPeers tells the other entry instances what was spent: all that changed
// lately, and from time to time all.
func (relay *Relay) tellPeers(statement bucket.Usage) {
	heard, engines := relay.board.CountReporting()
	addresses, gone := relay.peers.addresses(2*heard > engines)
	for _, address := range gone {
		relay.ledger.RemovePeer(address)
		relay.config.Logger.Info("relay: entry instance is gone", zap.String("address", address))
	}
	var whole, partial []string
	for _, address := range addresses {
		if relay.peers.takeWhole(address) {
			whole = append(whole, address)
		} else {
			partial = append(partial, address)
		}
	}
	relay.tellUsage(statement, nil, whole)
	relay.tellUsage(statement, relay.spending.recent(), partial)
}

// tellUsage tells entry instances a statement, or the part of it that concerns
// some organisations.
func (relay *Relay) tellUsage(statement bucket.Usage, only map[string]bool, addresses []string) {
	if len(addresses) > 0 {
		relay.tell(&wirepb.Datagram{Body: &wirepb.Datagram_Usage{Usage: relay.usage(statement, only)}}, addresses...)
	}
}

// usage encodes a statement, or the part of it that concerns some organisations.
func (relay *Relay) usage(statement bucket.Usage, only map[string]bool) *wirepb.Usage {
	usage := &wirepb.Usage{
		Entry: relay.config.DatagramAddress, Start: relay.start.UnixNano(), FailureDomain: relay.config.FailureDomain,
		UptimeMs: statement.Uptime.Milliseconds(), Settled: statement.Initialised, Partial: only != nil,
		Leaving: encodeLeaving(relay.avoided.RecentlyDraining()),
	}
	for organisation, spent := range statement.Spent {
		if only != nil && !only[organisation] {
			continue
		}
		usage.Organisations = append(usage.Organisations, &wirepb.OrganisationUse{
			Organisation: organisation, Spent: spent, Level: statement.Levels[organisation],
		})
	}
	return usage
}

func (relay *Relay) heardPeer(usage *wirepb.Usage) {
	statement := bucket.Usage{
		Partial: usage.GetPartial(),
		Start:   usage.GetStart(), Uptime: time.Duration(usage.GetUptimeMs()) * time.Millisecond, Initialised: usage.GetSettled(),
		Spent: make(map[string]float64), Levels: make(map[string]float64),
	}
	for _, organisation := range usage.GetOrganisations() {
		statement.Spent[organisation.GetOrganisation()] = organisation.GetSpent()
		if statement.Initialised {
			statement.Levels[organisation.GetOrganisation()] = organisation.GetLevel()
		}
	}
	relay.peers.spoke(usage.GetEntry(), usage.GetFailureDomain(), usage.GetStart())
	relay.ledger.MergeUsage(usage.GetEntry(), statement)
	relay.heardLeaving(usage)
}

// usageSpacing returns how far apart the other entry instances are told what was
// spent. Where there are many, each spends little in that time.
func usageSpacing(instances int) time.Duration {
	return min(max(exchangePeriod, time.Duration(instances)*usagePerInstance), usagePeriod)
}
