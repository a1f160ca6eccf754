package loader

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// memoryLifetime is how long a loader keeps what an entry instance knew.
	memoryLifetime = 10 * time.Minute
	// maxMemories bounds the entry instances whose knowledge is kept, and
	// maxMemoriesSent that which a starting one is sent.
	maxMemories     = 256
	maxMemoriesSent = 4
)

// keptMemory is what an entry instance knew at a time.
type keptMemory struct {
	memory *wirepb.Memory
	at     time.Time
}

// keepMemory keeps what an entry instance knows.
func (loader *Loader) keepMemory(memory *wirepb.Memory) {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	maps.DeleteFunc(loader.memories, func(_ string, kept keptMemory) bool { return time.Since(kept.at) > memoryLifetime })
	if _, known := loader.memories[memory.GetEntry()]; !known && len(loader.memories) >= maxMemories {
		return
	}
	loader.memories[memory.GetEntry()] = keptMemory{memory: memory, at: time.Now()}
}

// sendMemories sends a starting entry instance what others knew last, the latest first.
func (loader *Loader) sendMemories(entry string) {
	loader.mutex.Lock()
	kept := slices.SortedFunc(maps.Values(loader.memories), func(a, b keptMemory) int { return b.at.Compare(a.at) })
	loader.mutex.Unlock()
	for _, latest := range kept[:min(len(kept), maxMemoriesSent)] {
		memory, ok := proto.Clone(latest.memory).(*wirepb.Memory)
		if !ok {
			continue
		}
		memory.AgeMs = uint32(time.Since(latest.at).Milliseconds())
		loader.config.Datagrams.Send(&wirepb.Datagram{Body: &wirepb.Datagram_Memory{Memory: memory}}, []string{entry}, loader.logUnsent)
	}
}
