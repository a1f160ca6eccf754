package relay

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// One entry instance of each failure domain reads the store; the others ask it
// how far it has read, and call themselves only when there is something new or
// its word is old. A word counts from when it was asked for, so that one that
// was held up on the way does not seem newer than it is.

const (
	// askPeriod is how often the reader is asked.
	askPeriod = 250 * time.Millisecond
	// configHintAge and listHintAge are the ages up to which a word counts. They
	// leave time for calls of one's own before the configuration is too old to
	// trust, and before a leaving upstream must not be used.
	configHintAge = 3300 * time.Millisecond
	listHintAge   = 1600 * time.Millisecond
)

// Names of the topics in words.
const (
	topicConfig    = "config"
	topicInstances = "instances"
)

// words is what the reader said.
type words struct {
	mutex  sync.Mutex
	number uint64
	// asked is when the ask with that number was sent, and reader to whom.
	asked   time.Time
	reader  string
	changes watch.Update[ConfigChange]
	list    watch.Update[Listing]
}

// follow makes an entry instance the one whose words count, and reports whether
// it was another one before. What that said is forgotten.
func (words *words) follow(reader string) (changed bool) {
	words.mutex.Lock()
	defer words.mutex.Unlock()
	if words.reader == reader {
		return false
	}
	words.reader, words.changes, words.list = reader, watch.Update[ConfigChange]{}, watch.Update[Listing]{}
	return true
}

// ask numbers a new ask.
func (words *words) ask() uint64 {
	words.mutex.Lock()
	defer words.mutex.Unlock()
	words.number++
	words.asked = time.Now()
	return words.number
}

// heard takes over a word of the reader: the answer to the last ask, or one
// without a number. That says what is new, but not that nothing else is.
func (words *words) heard(word *wirepb.StoreWord) {
	words.mutex.Lock()
	defer words.mutex.Unlock()
	answer := word.GetNumber() == words.number
	if word.GetEntry() != words.reader || !answer && word.GetNumber() != 0 {
		return
	}
	for _, topic := range word.GetTopics() {
		position := watch.Position{
			Next: topic.GetNext(), ChangedNext: topic.GetChanged(),
			ConfirmedAt: words.asked.Add(-time.Duration(topic.GetAgeMs()) * time.Millisecond),
		}
		switch topic.GetTopic() {
		case topicConfig:
			if !answer {
				position.ConfirmedAt = words.changes.ConfirmedAt
			}
			words.changes = watch.Update[ConfigChange]{Position: position}
		case topicInstances:
			if !answer {
				position.ConfirmedAt = words.list.ConfirmedAt
			}
			words.list = watch.Update[Listing]{
				Position: position, Changes: decodeListings(topic.GetListings()), From: topic.GetFrom(), Complete: topic.GetComplete(),
			}
		}
	}
}

// elapsed returns the time since a moment, by the clock that shows more of it:
// one stands still while the process does, the other may step.
func elapsed(at time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// configHint and listHint are the followers' hints.
func (relay *Relay) configHint() (watch.Update[ConfigChange], bool) {
	relay.words.mutex.Lock()
	defer relay.words.mutex.Unlock()
	return relay.words.changes, elapsed(relay.words.changes.ConfirmedAt) < configHintAge
}

func (relay *Relay) listHint() (watch.Update[Listing], bool) {
	relay.words.mutex.Lock()
	defer relay.words.mutex.Unlock()
	return relay.words.list, elapsed(relay.words.list.ConfirmedAt) < listHintAge
}

// askReader asks the entry instance that reads the store, if that is not this
// one.
func (relay *Relay) askReader() {
	reader, others := relay.peers.reader()
	if relay.words.follow(reader) {
		relay.config.Logger.Info("relay: reader of the store chosen", zap.String("reader", reader),
			zap.Int("others", len(others)), zap.Duration("config-age", relay.configAge()))
	}
	if reader == relay.config.DatagramAddress {
		return
	}
	relay.tell(&wirepb.Datagram{Body: &wirepb.Datagram_StoreAsk{StoreAsk: &wirepb.StoreAsk{
		Entry: relay.config.DatagramAddress, Number: relay.words.ask(), InstancesNext: relay.listings.Position().Next,
	}}}, reader)
}

// answerAsk tells another entry instance how far this one has read, and what it
// lacks of the instance list.
func (relay *Relay) answerAsk(ask *wirepb.StoreAsk) {
	relay.tell(relay.word(ask.GetNumber(), relay.listings.Since(ask.GetInstancesNext())), ask.GetEntry())
}

// spread tells the others of the failure domain that something changed, if this
// instance reads for them.
func (relay *Relay) spread() {
	reader, others := relay.peers.reader()
	if reader == relay.config.DatagramAddress {
		relay.tell(relay.word(0, relay.listings.Latest()), others...)
	}
}

func (relay *Relay) word(number uint64, list watch.Update[Listing]) *wirepb.Datagram {
	word := &wirepb.StoreWord{Entry: relay.config.DatagramAddress, Number: number}
	if changes := relay.changes.Position(); !changes.ConfirmedAt.IsZero() {
		word.Topics = append(word.Topics, encodePosition(topicConfig, changes))
	}
	if !list.ConfirmedAt.IsZero() {
		topic := encodePosition(topicInstances, list.Position)
		topic.From, topic.Complete = list.From, list.Complete
		for _, listing := range list.Changes {
			topic.Listings = append(topic.Listings, encodeListing(listing))
		}
		word.Topics = append(word.Topics, topic)
	}
	return &wirepb.Datagram{Body: &wirepb.Datagram_StoreWord{StoreWord: word}}
}

func encodePosition(topic string, position watch.Position) *wirepb.TopicPosition {
	return &wirepb.TopicPosition{
		Topic: topic, Next: position.Next, Changed: position.ChangedNext, AgeMs: uint32(elapsed(position.ConfirmedAt).Milliseconds() + 1),
	}
}

func encodeListing(listing Listing) *wirepb.Listing {
	encoded := &wirepb.Listing{Id: listing.ID}
	if upstream := listing.Upstream; upstream != nil {
		encoded.Service, encoded.Address, encoded.FailureDomain = upstream.Service, upstream.Address, upstream.FailureDomain
		encoded.Slots, encoded.Draining, encoded.Born = uint32(max(upstream.Slots, 0)), upstream.Draining, upstream.StartedAt
		encoded.RemainingMs = uint32(max(upstream.Remaining, 0).Milliseconds())
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
				Remaining: time.Duration(entry.GetRemainingMs()) * time.Millisecond,
			}
		}
		listings = append(listings, listing)
	}
	return listings
}

// heardWord takes over a word of the reader.
func (relay *Relay) heardWord(word *wirepb.StoreWord) {
	relay.words.heard(word)
	if word.GetNumber() == 0 {
		relay.changes.Wake()
		relay.listings.Wake()
	}
}
