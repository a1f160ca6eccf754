package relay

import (
	"context"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
	"jacinthfront.dev/jacinthfront/internal/flow/origin"
	"jacinthfront.dev/jacinthfront/internal/flow/rank"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// askTimeout is how long the answers are awaited, and askRepeat when those
	// that have not answered are asked once more, as datagrams may be lost.
	askTimeout = 150 * time.Millisecond
	askRepeat  = 50 * time.Millisecond
	// maxAskedPeers is the number of other entry instances that are asked.
	maxAskedPeers = 4
)

// originLookup is a lookup of the origin of a stream.
type originLookup struct {
	// answers receives the answers.
	answers chan originAnswer
}

// originAnswer is the answer of a loader or another instance to a lookup.
type originAnswer struct {
	// source is the address that the answer came from.
	source string
	record origin.Record
	found  bool
	// list is how far the instance had read the instance list, or those that told the loader
	// of streams.
	list watch.Cursor
}

// beginLookup registers a lookup. The caller calls end when it is over.
func (origins *origins) beginLookup(key origin.Key, lookup *originLookup) (end func()) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	origins.lookups[key] = append(origins.lookups[key], lookup)
	return func() {
		origins.mutex.Lock()
		defer origins.mutex.Unlock()
		rest := slices.DeleteFunc(origins.lookups[key], func(other *originLookup) bool { return other == lookup })
		if len(rest) == 0 {
			delete(origins.lookups, key)
			return
		}
		origins.lookups[key] = rest
	}
}

// deliver passes an answer on to the lookups of its stream.
func (origins *origins) deliver(key origin.Key, answer originAnswer) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	for _, lookup := range origins.lookups[key] {
		select {
		case lookup.answers <- answer:
		default:
		}
	}
}

// handleOriginAnswer records which streams a loader or another instance knows.
func (relay *Relay) handleOriginAnswer(source string, answer *wirepb.OriginAnswer) {
	list := watch.Cursor{Epoch: answer.GetList().GetEpoch(), Next: answer.GetList().GetNext()}
	for _, record := range codec.DecodeOrigins(answer.GetKnown()) {
		relay.origins.deliver(record.Key, originAnswer{source: source, record: record, found: true, list: list})
	}
	for _, key := range answer.GetUnknown() {
		relay.origins.deliver(origin.Key(key), originAnswer{source: source, list: list})
	}
}

// lookupResult is what loaders and other instances say of the origin of a stream.
type lookupResult struct {
	record origin.Record
	found  bool
	// asked is the number of loaders that were asked, and silent that of those that had not
	// answered when the lookup ended.
	asked, silent int
	// instancesAsked and instancesSilent are these numbers of other instances.
	instancesAsked, instancesSilent int
	// list is how far others had read the instance list when they began streams.
	list watch.Cursor
}

// unheard reports whether loaders were asked and none of them answered.
func (result lookupResult) unheard() bool { return result.asked > 0 && result.silent == result.asked }

// add adds the answer of a loader or another instance that had not answered before.
func (result *lookupResult) add(answer originAnswer) {
	if result.list.Before(answer.list) {
		result.list = answer.list
	}
	if answer.found {
		result.record, result.found = answer.record, true
	}
}

// askOrigin asks the loaders that may hold the origin of a stream, and some other instances:
// these may forward it, and know how far the instance list goes. All are asked for that also
// if the stream has no key.
func (relay *Relay) askOrigin(ctx context.Context, key origin.Key, services []string) lookupResult {
	asked := relay.askedLoaders(key, services)
	if len(asked) == 0 {
		return lookupResult{}
	}
	loaders := len(asked)
	asked = append(asked, rank.Top(key.String(), relay.peers.liveOthers(), maxAskedPeers)...)
	lookup := &originLookup{answers: make(chan originAnswer, 2*len(asked))}
	defer relay.origins.beginLookup(key, lookup)()
	silent := make(map[string]bool, len(asked))
	for _, address := range asked {
		silent[address] = true
	}
	result := lookupResult{asked: loaders, silent: loaders, instancesAsked: len(asked) - loaders, instancesSilent: len(asked) - loaders}
	ask := &wirepb.Datagram{Body: &wirepb.Datagram_OriginAsk{OriginAsk: &wirepb.OriginAsk{Entry: relay.config.DatagramAddress, Keys: []uint64{uint64(key)}}}}
	relay.sendDatagram(ask, asked...)
	timeout, repeat := time.NewTimer(askTimeout), time.NewTimer(askRepeat)
	defer timeout.Stop()
	defer repeat.Stop()
	for len(silent) > 0 && !result.found {
		select {
		case answer := <-lookup.answers:
			if !silent[answer.source] {
				continue
			}
			delete(silent, answer.source)
			result.add(answer)
			if slices.Contains(asked[:loaders], answer.source) {
				result.silent--
			} else {
				result.instancesSilent--
			}
		case <-repeat.C:
			for address := range silent {
				relay.sendDatagram(ask, address)
			}
		case <-timeout.C:
			return result
		case <-ctx.Done():
			return result
		}
	}
	return result
}
