package loader

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/base/clock"
	"jacinthfront.dev/jacinthfront/internal/flow/retry"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// memoryLifetime is how long a loader keeps what an entry instance knew.
	memoryLifetime = 10 * time.Minute
	// successionTime is how long after its last memory an incarnation may know more than
	// the next one.
	successionTime = 2 * time.Second
	// maxMemories bounds the incarnations whose knowledge is kept, and
	// maxMemoriesSent that which a starting one is sent.
	maxMemories     = 256
	maxMemoriesSent = 4
	// maxServices bounds the services whose retries are kept.
	maxServices = 1024
	// stallCheckPeriod is how often the loader checks whether it was stopped.
	stallCheckPeriod = 100 * time.Millisecond
)

// keptMemory is what an incarnation of an entry instance knew at a time.
type keptMemory struct {
	memory *wirepb.Memory
	at     time.Time
}

// keepMemory keeps what an entry instance knows. What an earlier incarnation knew is kept
// for a while, as the present one may not have been told yet.
func (loader *Loader) keepMemory(memory *wirepb.Memory) {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	for _, encoded := range memory.GetRetries() {
		loader.keepRetries(encoded)
	}
	loader.levels.Keep(codec.DecodeLevels(memory.GetLevels()))
	memory.Retries, memory.Levels = nil, nil
	sender := retry.Incarnation{Instance: memory.GetEntry(), Start: memory.GetStart()}
	maps.DeleteFunc(loader.memories, func(of retry.Incarnation, kept keptMemory) bool {
		age := time.Since(kept.at)
		return age > memoryLifetime || of.Instance == sender.Instance && age > successionTime
	})
	if memory.GetPoison() == nil {
		delete(loader.memories, sender)
		return
	}
	if _, known := loader.memories[sender]; !known && len(loader.memories) >= maxMemories {
		return
	}
	loader.memories[sender] = keptMemory{memory: memory, at: time.Now()}
}

// keepRetries keeps what an entry instance knows of the retries to a service. The caller
// holds the mutex.
func (loader *Loader) keepRetries(encoded *wirepb.RetryUse) {
	service, use := codec.DecodeRetryUse(encoded)
	keeper, ok := loader.retries[service]
	if !ok {
		if len(loader.retries) >= maxServices {
			return
		}
		keeper = retry.NewKeeper()
		loader.retries[service] = keeper
	}
	keeper.Keep(use)
}

// sendMemories sends a starting entry instance what others told: of retries and levels all,
// and of crashes what each knew last, the latest first.
func (loader *Loader) sendMemories(entry string) {
	loader.mutex.Lock()
	var memories []*wirepb.Memory
	if levels := loader.levels.Levels(); len(levels) > 0 {
		memories = append(memories, &wirepb.Memory{Entry: loader.config.Address, Levels: codec.EncodeLevels(levels)})
	}
	for service, keeper := range loader.retries {
		for _, use := range keeper.Uses() {
			memories = append(memories, &wirepb.Memory{Entry: loader.config.Address, Retries: []*wirepb.RetryUse{codec.EncodeRetryUse(service, use)}})
		}
	}
	kept := slices.SortedFunc(maps.Values(loader.memories), func(a, b keptMemory) int { return b.at.Compare(a.at) })
	loader.mutex.Unlock()
	for _, latest := range kept[:min(len(kept), maxMemoriesSent)] {
		if memory, ok := proto.Clone(latest.memory).(*wirepb.Memory); ok {
			memory.AgeMs = uint32(time.Since(latest.at).Milliseconds())
			memories = append(memories, memory)
		}
	}
	for _, memory := range memories {
		loader.config.Datagrams.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Memory{Memory: memory}}, []string{entry}, loader.logUnsent)
	}
}

// watchStalls records when the process was stopped, until ctx ends: what entry instances
// told meanwhile may be lost. It also logs steps of the time of day.
func (loader *Loader) watchStalls(ctx context.Context) {
	ticker := time.NewTicker(stallCheckPeriod)
	defer ticker.Stop()
	steps := clock.NewStepDetector()
	for tickedAt := time.Now(); ; tickedAt = time.Now() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if stalled := time.Since(tickedAt); stalled >= retry.StallTime {
			loader.recordStall(stalled)
		}
		if step := steps.Check(); step != 0 {
			counters.Add("clock-steps", 1)
			loader.config.Logger.Warn("clock: time of day stepped", zap.Duration("by", step))
		}
	}
}

// recordStall records that the process was stopped for a time.
func (loader *Loader) recordStall(stalled time.Duration) {
	loader.config.Logger.Warn("loader: process was stopped", zap.Duration("for", stalled))
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	for _, keeper := range loader.retries {
		keeper.Stall()
	}
}
