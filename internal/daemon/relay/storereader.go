package relay

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// One entry instance of each failure domain, the store reader, reads the store. The
// others query its position, and read the store themselves only if there is
// something new or the store last answered the reader too long ago. Ages count from
// the query, so that a report that was delayed on the way does not seem newer than
// it is.
//
// When the reader's calls fail or are overdue, it tells the others, and they elect
// another one, which reads at once. Meanwhile they wait for its report as long as what
// they know is recent enough, so that they do not all call the store.

// queryInterval is the time between two queries to the store reader.
const queryInterval = 250 * time.Millisecond

// Topics of position reports.
const (
	topicConfig    = "config"
	topicInstances = "instances"
)

// readerReport is the last position report of the store reader.
type readerReport struct {
	mutex sync.Mutex
	// queryNumber is the number of the last query. The first one is random, so that no answer
	// to an earlier incarnation of this instance is taken for one to it.
	queryNumber uint64
	// queriedAt is when the query with queryNumber was sent to reader.
	queriedAt    time.Time
	reader       string
	configUpdate watch.Update[ConfigChange]
	listUpdate   watch.Update[Listing]
}

// setReader sets the store reader and returns the earlier one, empty if there was none,
// and whether it changed. If so, the report of the earlier one is forgotten.
func (readerReport *readerReport) setReader(reader string) (before string, changed bool) {
	readerReport.mutex.Lock()
	defer readerReport.mutex.Unlock()
	before = readerReport.reader
	if before == reader {
		return before, false
	}
	readerReport.reader, readerReport.configUpdate, readerReport.listUpdate = reader, watch.Update[ConfigChange]{}, watch.Update[Listing]{}
	return before, true
}

// newQuery returns the number of a new query.
func (readerReport *readerReport) newQuery() uint64 {
	readerReport.mutex.Lock()
	defer readerReport.mutex.Unlock()
	readerReport.queryNumber++
	readerReport.queriedAt = time.Now()
	return readerReport.queryNumber
}

// record stores a position report of the store reader: the answer to the last
// query, or an unsolicited report, whose number is 0. An unsolicited report tells of
// changes, but does not confirm that there are no others.
func (readerReport *readerReport) record(report *wirepb.StoreWord) {
	readerReport.mutex.Lock()
	defer readerReport.mutex.Unlock()
	answer := report.GetNumber() == readerReport.queryNumber
	if report.GetEntry() != readerReport.reader || !answer && report.GetNumber() != 0 {
		return
	}
	for _, topic := range report.GetTopics() {
		position := watch.Position{
			Cursor: watch.Cursor{Epoch: topic.GetEpoch(), Next: topic.GetNext()}, ChangedNext: topic.GetChanged(),
			ConfirmedAt: readerReport.queriedAt.Add(-milliseconds(topic.GetAgeMs())),
		}
		position.AnsweredAt = position.ConfirmedAt
		if topic.GetAnsweredMs() > 0 {
			position.AnsweredAt = readerReport.queriedAt.Add(-milliseconds(topic.GetAnsweredMs()))
		}
		switch topic.GetTopic() {
		case topicConfig:
			if position, ok := mergePosition(readerReport.configUpdate.Position, position, answer); ok {
				readerReport.configUpdate = watch.Update[ConfigChange]{Position: position}
			}
		case topicInstances:
			if position, ok := mergePosition(readerReport.listUpdate.Position, position, answer); ok {
				readerReport.listUpdate = watch.Update[Listing]{
					Position: position, Changes: decodeListings(topic.GetListings()), From: topic.GetFrom(), Complete: topic.GetComplete(),
				}
			}
		}
	}
}

// mergePosition returns the position to keep once the store reader has reported one. It
// returns false for an unsolicited report that was overtaken by the kept one, which must not
// be confirmed by what the kept one says of a later place.
func mergePosition(kept, reported watch.Position, answer bool) (merged watch.Position, ok bool) {
	if answer {
		return reported, true
	}
	if reported.Epoch < kept.Epoch || reported.Epoch == kept.Epoch && reported.Next < kept.Next {
		return watch.Position{}, false
	}
	reported.ConfirmedAt, reported.AnsweredAt = kept.ConfirmedAt, kept.AnsweredAt
	return reported, true
}

// elapsed returns the time since at, by the monotonic or the wall clock, whichever
// shows more: the first stands still while the process is suspended, the second may
// be set.
func elapsed(at time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// configUpdate and listUpdate return the peer updates for the watchers, and for how long
// they are still recent enough to be used.
func (relay *Relay) configUpdate() (watch.Update[ConfigChange], time.Duration) {
	relay.readerReport.mutex.Lock()
	defer relay.readerReport.mutex.Unlock()
	return recentUpdate(relay, relay.readerReport.configUpdate, relay.configWatcher, relay.timing.Load().maxConfigAge)
}

func (relay *Relay) listUpdate() (watch.Update[Listing], time.Duration) {
	relay.readerReport.mutex.Lock()
	defer relay.readerReport.mutex.Unlock()
	return recentUpdate(relay, relay.readerReport.listUpdate, relay.instanceWatcher, relay.timing.Load().maxListAge)
}

// recentUpdate returns what the store reader reported, and for how long that is recent
// enough. Until another instance that was elected has reported, it is what this one knows
// already. Its caller holds the mutex of the report.
func recentUpdate[Record any](relay *Relay, reported watch.Update[Record], watcher *watch.Watcher[Record], maxAge time.Duration) (watch.Update[Record], time.Duration) {
	if reported.ConfirmedAt.IsZero() && relay.readerReport.reader != relay.config.DatagramAddress {
		reported = watch.Update[Record]{Position: watcher.Position()}
	}
	return reported, maxAge - elapsed(reported.AnsweredAt)
}

// queryReader sends a query to the store reader, unless that is this instance.
func (relay *Relay) queryReader() {
	reader, others := relay.peers.storeReader()
	before, changed := relay.readerReport.setReader(reader)
	if changed {
		relay.config.Logger.Info("relay: store reader elected", zap.String("reader", reader),
			zap.Int("others", len(others)), zap.Duration("config-age", relay.configAge()))
	}
	if reader == relay.config.DatagramAddress {
		if changed && before != "" {
			// The watchers wait for the report of the earlier reader.
			relay.configWatcher.Wake()
			relay.instanceWatcher.Wake()
		}
		return
	}
	position := relay.instanceWatcher.Position()
	relay.sendDatagram(&wirepb.Datagram{Body: &wirepb.Datagram_StoreAsk{StoreAsk: &wirepb.StoreAsk{
		Entry: relay.config.DatagramAddress, Number: relay.readerReport.newQuery(),
		InstancesNext: position.Next, InstancesEpoch: position.Epoch,
	}}}, reader)
}

// handleStoreAsk reports this instance's position to another entry instance, with
// the entries of the instance list that the other one lacks.
func (relay *Relay) handleStoreAsk(query *wirepb.StoreAsk) {
	known := watch.Cursor{Epoch: query.GetInstancesEpoch(), Next: query.GetInstancesNext()}
	relay.sendDatagram(relay.positionReport(query.GetNumber(), relay.instanceWatcher.Since(known)), query.GetEntry())
}

// announceChange sends the other entry instances of the failure domain an
// unsolicited position report, if this instance is the store reader.
func (relay *Relay) announceChange() {
	reader, others := relay.peers.storeReader()
	if reader == relay.config.DatagramAddress {
		relay.sendDatagram(relay.positionReport(0, relay.instanceWatcher.Latest()), others...)
	}
}

// positionReport returns the answer to the query with a number, or an unsolicited
// report if the number is 0.
func (relay *Relay) positionReport(number uint64, list watch.Update[Listing]) *wirepb.Datagram {
	report := &wirepb.StoreWord{Entry: relay.config.DatagramAddress, Number: number}
	if changes := relay.configWatcher.Position(); !changes.ConfirmedAt.IsZero() {
		report.Topics = append(report.Topics, encodePosition(topicConfig, changes))
	}
	if !list.ConfirmedAt.IsZero() {
		topic := encodePosition(topicInstances, list.Position)
		topic.From, topic.Complete = list.From, list.Complete
		for _, listing := range list.Changes {
			topic.Listings = append(topic.Listings, encodeListing(listing))
		}
		report.Topics = append(report.Topics, topic)
	}
	return &wirepb.Datagram{Body: &wirepb.Datagram_StoreWord{StoreWord: report}}
}

func encodePosition(topic string, position watch.Position) *wirepb.TopicPosition {
	return &wirepb.TopicPosition{
		Topic: topic, Epoch: position.Epoch, Next: position.Next, Changed: position.ChangedNext,
		AgeMs: roundUp(elapsed(position.ConfirmedAt)), AnsweredMs: roundUp(elapsed(position.AnsweredAt)),
	}
}

// roundUp returns an age in milliseconds, at least 1.
func roundUp(age time.Duration) uint32 { return uint32(age.Milliseconds() + 1) }

func milliseconds(count uint32) time.Duration { return time.Duration(count) * time.Millisecond }

func encodeListing(listing Listing) *wirepb.Listing {
	encoded := &wirepb.Listing{Id: listing.ID}
	if upstream := listing.Upstream; upstream != nil {
		encoded.Service, encoded.Address, encoded.FailureDomain = upstream.Service, upstream.Address, upstream.FailureDomain
		encoded.Slots, encoded.Draining, encoded.Born = uint32(max(upstream.Slots, 0)), upstream.Draining, upstream.StartedAt
		encoded.RemainingMs, encoded.SoftwareVersion = uint32(max(upstream.Remaining, 0).Milliseconds()), upstream.SoftwareVersion
		if upstream.ColdSaid {
			encoded.ColdMs = proto.Uint32(uint32(max(upstream.ColdRemaining, 0).Milliseconds()))
		}
	}
	return encoded
}

func decodeListings(encoded []*wirepb.Listing) []Listing {
	listings := make([]Listing, 0, len(encoded))
	for _, entry := range encoded {
		listing := Listing{ID: entry.GetId()}
		if entry.GetAddress() != "" {
			listing.Upstream = &fleet.Upstream{
				ID: entry.GetId(), Service: entry.GetService(), Address: entry.GetAddress(), FailureDomain: entry.GetFailureDomain(),
				Slots: int(entry.GetSlots()), Draining: entry.GetDraining(), StartedAt: entry.GetBorn(),
				Remaining: milliseconds(entry.GetRemainingMs()), SoftwareVersion: entry.GetSoftwareVersion(),
				ColdSaid: entry.ColdMs != nil, ColdRemaining: milliseconds(entry.GetColdMs()),
			}
		}
		listings = append(listings, listing)
	}
	return listings
}

// handleStoreWord processes a position report of the store reader.
func (relay *Relay) handleStoreWord(report *wirepb.StoreWord) {
	relay.readerReport.record(report)
	if report.GetNumber() == 0 {
		relay.configWatcher.Wake()
		relay.instanceWatcher.Wake()
	}
}
