package relay

import (
	"maps"
	"sync"

	"jacinthfront.dev/jacinthfront/internal/flow/fence"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// fencingOffsets keeps the offsets of the loaders' fencing tokens, by the ids of the engines,
// for loaders that start again.
type fencingOffsets struct {
	mutex   sync.Mutex
	offsets map[string]fence.Offset
}

func newFencingOffsets() *fencingOffsets {
	return &fencingOffsets{offsets: make(map[string]fence.Offset)}
}

// record records the offset that a loader reports: the highest one for the latest incarnation
// of its engine.
func (fencingOffsets *fencingOffsets) record(state *wirepb.EngineState) {
	offset, ok := codec.DecodeFencingOffset(state.GetBorn(), state.FencingOffset)
	if !ok {
		return
	}
	fencingOffsets.mutex.Lock()
	defer fencingOffsets.mutex.Unlock()
	if known, ok := fencingOffsets.offsets[state.GetUpstream()]; !ok || offset.Higher(known) {
		fencingOffsets.offsets[state.GetUpstream()] = offset
	}
}

// encode encodes the offset that is known for an upstream's incarnation, nil if none is.
func (fencingOffsets *fencingOffsets) encode(upstream fleet.Upstream) *int64 {
	fencingOffsets.mutex.Lock()
	defer fencingOffsets.mutex.Unlock()
	known, ok := fencingOffsets.offsets[upstream.ID]
	if !ok || known.StartedAt != upstream.StartedAt {
		return nil
	}
	return codec.EncodeFencingOffset(known)
}

// keep forgets the upstreams that a function does not select.
func (fencingOffsets *fencingOffsets) keep(listed func(upstream string) bool) {
	fencingOffsets.mutex.Lock()
	defer fencingOffsets.mutex.Unlock()
	maps.DeleteFunc(fencingOffsets.offsets, func(upstream string, _ fence.Offset) bool { return !listed(upstream) })
}
