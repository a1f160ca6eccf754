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
	// maxPatchBytes bounds the patches of one answer, well below the 4 MiB that
	// messages may have.
	maxPatchBytes = 512 << 10
	// servingTime is how long an encoded snapshot is kept for further chunks.
	servingTime = 10 * time.Second
)

// serving is the encoded snapshot that peers are fetching.
type serving struct {
	mutex  sync.Mutex
	chunks []replay.Chunk
	used   time.Time
}

// Sync implements the server side of wirepb.DRPCPeerServer.
func (syncer *Syncer) Sync(_ context.Context, request *wirepb.SyncRequest) (*wirepb.SyncResponse, error) {
	syncer.mutex.Lock()
	response := &wirepb.SyncResponse{
		Version:        syncer.fold.Config().Version(),
		Offset:         syncer.fold.NextOffset(),
		ConfirmedAgeUs: ageToWire(syncer.fresh.age()),
	}
	if newest := syncer.log.snapshots.NewestComplete(); !newest.IsZero() {
		response.SnapshotTimeUs = newest.UnixMicro()
	}
	bridged := syncer.tail.bridges(request.GetVersion())
	if request.GetVersion() < response.Version && bridged {
		response.Patches = syncer.tail.after(request.GetVersion(), maxPatchBytes)
	}
	behind := request.GetVersion() > response.Version
	if behind {
		syncer.peers.want(request.GetVersion())
	}
	syncer.mutex.Unlock()

	if behind {
		syncer.callBack(request.GetAddress())
	}
	if request.GetVersion() >= response.Version || bridged {
		return response, nil
	}
	chunk, err := syncer.chunk(request)
	if err != nil {
		return nil, err
	}
	response.Snapshot = codec.ChunkToWire(chunk)
	return response, nil
}

// callBack synchronises with a caller that has a newer version. Addresses that
// are not listed are not called.
func (syncer *Syncer) callBack(address string) {
	if address != "" && slices.Contains(syncer.config.Peers(), address) {
		syncer.kick(address)
		return
	}
	syncer.kick("")
}

// chunk returns the chunk of a snapshot that a caller wants.
func (syncer *Syncer) chunk(request *wirepb.SyncRequest) (replay.Chunk, error) {
	serving := &syncer.serving
	serving.mutex.Lock()
	defer serving.mutex.Unlock()
	index := 0
	if len(serving.chunks) > 0 && serving.chunks[0].Version == request.GetSnapshotVersion() {
		index = int(request.GetSnapshotIndex())
	} else if !syncer.servable(serving.chunks) {
		chunks, err := syncer.encode()
		if err != nil {
			return replay.Chunk{}, err
		}
		serving.chunks = chunks
	}
	if index >= len(serving.chunks) {
		return replay.Chunk{}, Class.New("snapshot chunk %d of version %d does not exist", index, request.GetSnapshotVersion())
	}
	serving.used = time.Now()
	return serving.chunks[index], nil
}

// servable reports whether the patches after an encoded snapshot are all held,
// so that a peer can continue from it.
func (syncer *Syncer) servable(chunks []replay.Chunk) bool {
	if len(chunks) == 0 {
		return false
	}
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	version := chunks[0].Version
	return version == syncer.fold.Config().Version() || syncer.tail.bridges(version)
}

// encode returns the current state as snapshot chunks.
func (syncer *Syncer) encode() ([]replay.Chunk, error) {
	syncer.mutex.Lock()
	state, next := syncer.fold.State(), syncer.fold.NextOffset()
	syncer.mutex.Unlock()
	encoded, err := codec.EncodeState(state)
	if err != nil {
		return nil, err
	}
	return replay.Split(state.Config.Version(), next, encoded), nil
}

// forget drops an encoded snapshot that no peer has asked for lately.
func (serving *serving) forget() {
	serving.mutex.Lock()
	defer serving.mutex.Unlock()
	if time.Since(serving.used) > servingTime {
		serving.chunks = nil
	}
}
