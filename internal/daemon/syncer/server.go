package syncer

import (
	"context"
	"slices"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/replay"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// maxResponsePatchBytes bounds the patches in one response, well below the
	// 4 MiB that a message may have.
	maxResponsePatchBytes = 512 << 10
	// snapshotCacheTTL is how long an encoded snapshot is kept after the last call
	// for one of its chunks.
	snapshotCacheTTL = 10 * time.Second
)

// snapshotCache holds the encoded snapshot that peers are fetching in chunks.
type snapshotCache struct {
	mutex    sync.Mutex
	chunks   []replay.Chunk
	lastUsed time.Time
}

// Sync implements the method of wirepb.DRPCPeerServer. It returns the patches
// after the caller's version or, if they are not all held, a chunk of a snapshot.
func (syncer *Syncer) Sync(_ context.Context, request *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	syncer.mutex.Lock()
	response := &wirepb.SyncResponse{
		Version:        syncer.replayer.Config().Version(),
		Offset:         syncer.replayer.NextOffset(),
		ConfirmedAgeUs: ageToWire(syncer.freshness.age()),
	}
	if newest := syncer.log.snapshots.NewestComplete(); !newest.IsZero() {
		response.SnapshotTimeUs = newest.UnixMicro() //nolint:forbidigo // It tells when to write the next snapshot, and orders none.
	}
	covered := syncer.history.covers(request.GetVersion())
	if request.GetVersion() < response.Version && covered {
		response.Patches = syncer.history.patchesAfter(request.GetVersion(), maxResponsePatchBytes)
	}
	behind := request.GetVersion() > response.Version
	if behind {
		syncer.peers.observe(request.GetVersion())
	}
	syncer.mutex.Unlock()

	if behind {
		syncer.syncWithCaller(request.GetAddress())
	}
	if request.GetVersion() >= response.Version || covered {
		return response, nil
	}
	chunk, err := syncer.snapshotChunk(request)
	if err != nil {
		return nil, err
	}
	response.Snapshot = codec.ChunkToWire(chunk)
	return response, nil
}

// syncWithCaller requests a call to a caller that has a newer version. A caller
// whose address is not on the instance list is not called; random peers are
// called instead.
func (syncer *Syncer) syncWithCaller(address string) {
	if address != "" && slices.Contains(syncer.config.PeerAddresses(), address) {
		syncer.requestSync(address)
		return
	}
	syncer.requestSync("")
}

// snapshotChunk returns the chunk that a caller asks for. A caller that is not
// fetching the cached snapshot gets the first chunk of that snapshot, or of a
// newly encoded one if a peer could not catch up from the cached one.
func (syncer *Syncer) snapshotChunk(request *wirepb.SyncRequest) (replay.Chunk, error) {
	cache := &syncer.snapshotCache
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	index := 0
	if len(cache.chunks) > 0 && cache.chunks[0].Version == request.GetSnapshotVersion() {
		index = int(request.GetSnapshotIndex())
	} else if !syncer.canServe(cache.chunks) {
		chunks, err := syncer.encodeSnapshot()
		if err != nil {
			return replay.Chunk{}, err
		}
		cache.chunks = chunks
	}
	if index >= len(cache.chunks) {
		return replay.Chunk{}, Class.New("snapshot chunk %d of version %d does not exist", index, request.GetSnapshotVersion())
	}
	cache.lastUsed = time.Now()
	return cache.chunks[index], nil
}

// canServe reports whether all patches after the version of an encoded snapshot
// are held, so that a peer that installs it can catch up by patches.
func (syncer *Syncer) canServe(chunks []replay.Chunk) bool {
	if len(chunks) == 0 {
		return false
	}
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	version := chunks[0].Version
	return version == syncer.replayer.Config().Version() || syncer.history.covers(version)
}

// encodeSnapshot encodes the current state and splits it into chunks.
func (syncer *Syncer) encodeSnapshot() ([]replay.Chunk, error) {
	syncer.mutex.Lock()
	state, next := syncer.replayer.State(), syncer.replayer.NextOffset()
	syncer.mutex.Unlock()
	encoded, err := codec.EncodeState(state)
	if err != nil {
		return nil, err
	}
	return replay.Split(state.Config.Version(), next, encoded), nil
}

// dropIfIdle drops the encoded snapshot if no peer has asked for a chunk within
// snapshotCacheTTL.
func (cache *snapshotCache) dropIfIdle() {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if time.Since(cache.lastUsed) > snapshotCacheTTL {
		cache.chunks = nil
	}
}
