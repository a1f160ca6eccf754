package relay

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/bucket"
	"jacinthfront.dev/jacinthfront/internal/flow/poison"
	"jacinthfront.dev/jacinthfront/internal/flow/rank"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// memoryInterval is the time between two reports of what loaders keep, and
	// busyMemoryInterval that while this instance retries or a token bucket is below
	// busyLevel of its burst.
	memoryInterval     = time.Second
	busyMemoryInterval = 250 * time.Millisecond
	busyLevel          = 0.5
	// memoryKeepers is the number of loaders that keep what an instance knows.
	memoryKeepers = 2
	// maxEvidencePerMemory bounds the evidence that loaders keep.
	maxEvidencePerMemory = 256
)

// reportMemory tells some loaders what this instance knows of all, so that those that
// start after all have ended learn it. sentAt is when it last did so. It returns when
// it last did so now.
func (relay *Relay) reportMemory(sentAt time.Time) time.Time {
	interval := memoryInterval
	if relay.memoryBusy || len(relay.retryBudget.changes.recent()) > 0 {
		interval = busyMemoryInterval
	}
	if time.Since(sentAt) < interval {
		return sentAt
	}
	levels := relay.limiter.Levels()
	relay.memoryBusy = slices.ContainsFunc(levels, func(level bucket.Level) bool {
		return level.Level < busyLevel*level.Limit.Burst
	})
	memory := relay.memory(levels)
	if len(memory.GetRetries()) == 0 && len(memory.GetLevels()) == 0 && memory.GetPoison() == nil {
		return time.Now()
	}
	relay.sendDatagram(&wirepb.Datagram{Body: &wirepb.Datagram_Memory{Memory: memory}}, relay.memoryKeepers()...)
	return time.Now()
}

// memory returns what this instance knows of all, with levels of token buckets.
func (relay *Relay) memory(levels []bucket.Level) *wirepb.Memory {
	return &wirepb.Memory{
		Entry: relay.config.DatagramAddress, Start: relay.identity, Retries: relay.retryBudget.encodePasts(),
		Poison: codec.EncodePoisonNews(poison.News{Evidence: relay.poison.AgainstBlocked(maxEvidencePerMemory)}),
		Levels: codec.EncodeLevels(levels),
	}
}

// memoryKeepers returns the addresses of the loaders that keep what this instance
// knows: those that rank first for it, its own failure domain before others.
func (relay *Relay) memoryKeepers() []string {
	config := relay.store.config()
	if config == nil {
		return nil
	}
	own := relay.config.DatagramAddress
	// The listed upstreams are shared, so the engines need a slice of their own.
	var engines []fleet.Upstream
	for _, upstream := range relay.store.instances.Upstreams() {
		if service, ok := config.Service(upstream.Service); ok && service.Engine != nil && !upstream.Draining {
			engines = append(engines, upstream)
		}
	}
	slices.SortFunc(engines, func(a, b fleet.Upstream) int {
		return cmp.Or(relay.domainDistance(a)-relay.domainDistance(b), cmp.Compare(rank.Score(own, b.ID), rank.Score(own, a.ID)))
	})
	var addresses []string
	for _, engine := range engines[:min(len(engines), memoryKeepers)] {
		addresses = append(addresses, relay.loaderAddress(engine))
	}
	return addresses
}

// domainDistance returns 0 for an upstream in this instance's failure domain, else 1.
func (relay *Relay) domainDistance(upstream fleet.Upstream) int {
	if upstream.FailureDomain == relay.config.FailureDomain {
		return 0
	}
	return 1
}

// handleMemory records what an entry instance knew that may have ended since.
func (relay *Relay) handleMemory(memory *wirepb.Memory) {
	age := time.Duration(memory.GetAgeMs()) * time.Millisecond
	relay.recallRetries(memory)
	relay.limiter.Recall(codec.DecodeLevels(memory.GetLevels()))
	blocked, cleared := relay.poison.Merge(codec.DecodePoisonNews(memory.GetPoison()).Aged(age))
	relay.logPoison(blocked, cleared, memory.GetEntry())
	relay.config.Logger.Debug("relay: recalled what an entry instance knew", zap.String("entry", memory.GetEntry()), zap.Duration("age", age))
}
