package relay

import (
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/daemon/follow"
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
	asked     time.Time
	reader    string
	positions map[string]follow.Position
}

// ask numbers a new ask.
func (words *words) ask(reader string) uint64 {
	words.mutex.Lock()
	defer words.mutex.Unlock()
	if words.reader != reader {
		words.reader, words.positions = reader, nil
	}
	words.number++
	words.asked = time.Now()
	return words.number
}

// drop forgets what was said, when this instance reads the store itself.
func (words *words) drop() {
	words.mutex.Lock()
	defer words.mutex.Unlock()
	words.reader, words.positions = "", nil
}

// heard takes over the answer to the last ask.
func (words *words) heard(word *wirepb.StoreWord) {
	words.mutex.Lock()
	defer words.mutex.Unlock()
	if word.GetNumber() != words.number || word.GetEntry() != words.reader {
		return
	}
	words.positions = make(map[string]follow.Position, len(word.GetTopics()))
	for _, topic := range word.GetTopics() {
		words.positions[topic.GetTopic()] = follow.Position{
			Next: topic.GetNext(), Changed: topic.GetChanged(),
			At: words.asked.Add(-time.Duration(topic.GetAgeMs()) * time.Millisecond),
		}
	}
}

// hint returns how far the reader has read a topic, if it said so lately.
func (words *words) hint(topic string, within time.Duration) (follow.Position, bool) {
	words.mutex.Lock()
	defer words.mutex.Unlock()
	position, ok := words.positions[topic]
	return position, ok && elapsed(position.At) < within
}

// elapsed returns the time since a moment, by the clock that shows more of it:
// one stands still while the process does, the other may step.
func elapsed(at time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// askReader asks the entry instance that reads the store, if that is not this
// one.
func (relay *Relay) askReader() {
	reader, _ := relay.peers.reader()
	if reader == relay.config.Address {
		relay.words.drop()
		return
	}
	relay.tell(reader, &wirepb.Datagram{Body: &wirepb.Datagram_StoreAsk{StoreAsk: &wirepb.StoreAsk{
		Entry: relay.config.Address, Number: relay.words.ask(reader),
	}}})
}

// answerAsk tells another entry instance how far this one has read.
func (relay *Relay) answerAsk(ask *wirepb.StoreAsk) {
	relay.tell(ask.GetEntry(), relay.word(ask.GetNumber()))
}

// spread tells the others of the failure domain that something changed, if this
// instance reads for them.
func (relay *Relay) spread() {
	reader, others := relay.peers.reader()
	if reader != relay.config.Address {
		return
	}
	for _, address := range others {
		relay.tell(address, relay.word(0))
	}
}

func (relay *Relay) word(number uint64) *wirepb.Datagram {
	word := &wirepb.StoreWord{Entry: relay.config.Address, Number: number}
	for topic, position := range map[string]follow.Position{
		topicConfig: relay.changes.Position(), topicInstances: relay.listings.Position(),
	} {
		if position.At.IsZero() {
			continue
		}
		word.Topics = append(word.Topics, &wirepb.TopicPosition{
			Topic: topic, Next: position.Next, Changed: position.Changed,
			AgeMs: uint32(elapsed(position.At).Milliseconds() + 1),
		})
	}
	return &wirepb.Datagram{Body: &wirepb.Datagram_StoreWord{StoreWord: word}}
}

// heardWord takes over a word of the reader. One that was not asked for says
// only that something is new.
func (relay *Relay) heardWord(word *wirepb.StoreWord) {
	if word.GetNumber() != 0 {
		relay.words.heard(word)
		return
	}
	for _, topic := range word.GetTopics() {
		switch topic.GetTopic() {
		case topicConfig:
			relay.words.stale(topicConfig, topic.GetChanged())
			relay.changes.Wake()
		case topicInstances:
			relay.words.stale(topicInstances, topic.GetChanged())
			relay.listings.Wake()
		}
	}
}

// stale records that a topic has changed up to an offset.
func (words *words) stale(topic string, changed uint64) {
	words.mutex.Lock()
	defer words.mutex.Unlock()
	if position, ok := words.positions[topic]; ok && changed > position.Changed {
		position.Changed = changed
		words.positions[topic] = position
	}
}

// configHint and listHint are the followers' hints.
func (relay *Relay) configHint() (follow.Position, bool) {
	return relay.words.hint(topicConfig, configHintAge)
}

func (relay *Relay) listHint() (follow.Position, bool) {
	return relay.words.hint(topicInstances, listHintAge)
}
