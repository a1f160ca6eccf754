package syncer

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/zeebo/errs"

	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/state/replay"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// Class is the errs class of failed exchanges with peers and the log.
var Class = errs.Class("syncer")

// maxRounds bounds the calls of one exchange: the chunks of a snapshot and the
// patches after it.
const maxRounds = replay.MaxChunks + 64

// transfer is a snapshot that is being fetched from a peer.
type transfer struct {
	chunks []replay.Chunk
}

// syncWith calls a peer until it has nothing newer.
func (syncer *Syncer) syncWith(ctx context.Context, address string) error {
	var transfer transfer
	for range maxRounds {
		more, err := syncer.exchange(ctx, address, &transfer)
		if err != nil || !more {
			return err
		}
	}
	return Class.New("peer %s did not bring this process up to date within %d calls", address, maxRounds)
}

// exchange makes one call and reports whether the peer has more.
func (syncer *Syncer) exchange(ctx context.Context, address string, transfer *transfer) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, syncer.config.SyncTimeout)
	defer cancel()
	conn, err := syncer.config.Dial(ctx, address)
	if err != nil {
		return false, Class.Wrap(err)
	}
	defer conn.Release()
	sent := time.Now()
	response, err := wirepb.NewDRPCPeerClient(conn).Sync(ctx, syncer.request(transfer))
	if err != nil {
		return false, Class.Wrap(err)
	}
	return syncer.take(address, sent, response, transfer)
}

func (syncer *Syncer) request(transfer *transfer) *wirepb.SyncRequest {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	request := &wirepb.SyncRequest{
		Instance:       syncer.config.Instance,
		Version:        syncer.fold.Config().Version(),
		Offset:         syncer.fold.NextOffset(),
		ConfirmedAgeUs: ageToWire(syncer.fresh.age()),
		Address:        syncer.config.Address,
	}
	if count := len(transfer.chunks); count > 0 {
		request.SnapshotVersion = transfer.chunks[0].Version
		request.SnapshotIndex = uint32(count)
	}
	return request
}

// take applies what a peer answered and reports whether it has more.
func (syncer *Syncer) take(address string, sent time.Time, response *wirepb.SyncResponse, transfer *transfer) (bool, error) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	syncer.peers.note(address, func(entry *answers) { entry.answered = time.Now() })
	before := syncer.fold.Config().Version()
	defer func() {
		syncer.closeGap()
		syncer.skipRead()
		if syncer.fold.Config().Version() != before {
			syncer.metrics.Add("versions-from-peers", int64(syncer.fold.Config().Version()-before))
			syncer.notify()
		}
	}()
	if micros := response.GetSnapshotTimeUs(); micros > 0 {
		syncer.log.snapshots.RecordComplete(time.UnixMicro(micros))
	}
	if response.GetSnapshot() != nil {
		return true, syncer.takeChunk(response.GetSnapshot(), transfer)
	}
	if err := syncer.takePatches(response.GetPatches()); err != nil {
		return false, err
	}
	return syncer.conclude(sent, response)
}

// takePatches folds a peer's accepted patches. The mutex is held.
func (syncer *Syncer) takePatches(records []*wirepb.PatchRecord) error {
	for _, wire := range records {
		record := codec.PatchFromWire(wire)
		if record.BaseVersion != syncer.fold.Config().Version() {
			// The log or another peer brought this patch meanwhile.
			continue
		}
		result := syncer.foldPatch(wire.GetOffset(), record)
		if result.Kind != patch.Accepted {
			syncer.metrics.Add("refused-peer-patches", 1)
			return Class.New("a peer sent a patch as accepted that is not: %v", result)
		}
	}
	return nil
}

// takeChunk adds a chunk of a snapshot and adopts the snapshot when it is
// complete. The mutex is held.
func (syncer *Syncer) takeChunk(wire *wirepb.SnapshotChunk, transfer *transfer) error {
	chunk, err := codec.ChunkFromWire(wire)
	if err != nil {
		return err
	}
	count := uint32(len(transfer.chunks))
	if count > 0 && chunk.Digest != transfer.chunks[0].Digest {
		// The peer has begun another snapshot.
		transfer.chunks, count = nil, 0
	}
	if chunk.Index != count {
		return Class.New("a peer sent snapshot chunk %d instead of %d", chunk.Index, count)
	}
	transfer.chunks = append(transfer.chunks, chunk)
	if chunk.Index+1 < chunk.Count {
		return nil
	}
	var encoded []byte
	for _, part := range transfer.chunks {
		encoded = append(encoded, part.Data...)
	}
	transfer.chunks = nil
	if sha256.Sum256(encoded) != chunk.Digest {
		return Class.New("the snapshot of version %d from a peer does not match its digest", chunk.Version)
	}
	syncer.adopt(encoded, chunk.ResumeOffset)
	return nil
}

// conclude takes over the peer's confirmation when this process is no longer
// behind it. The mutex is held.
func (syncer *Syncer) conclude(sent time.Time, response *wirepb.SyncResponse) (bool, error) {
	version := syncer.fold.Config().Version()
	if version < response.GetVersion() {
		if len(response.GetPatches()) == 0 {
			return false, Class.New("a peer has version %d but sent nothing after %d", response.GetVersion(), version)
		}
		return true, nil
	}
	if version == response.GetVersion() {
		syncer.fold.AdvanceTo(response.GetOffset())
	}
	if age, ok := ageFromWire(response.GetConfirmedAgeUs()); ok {
		// The age counts from before the call, so that it is never too small.
		syncer.fresh.confirm(sent.Add(-age))
	}
	return false, nil
}

func ageToWire(age time.Duration) int64 {
	if age == never {
		return -1
	}
	return age.Microseconds()
}

func ageFromWire(micros int64) (time.Duration, bool) {
	if micros < 0 || micros > never.Microseconds() {
		return 0, false
	}
	return time.Duration(micros) * time.Microsecond, true
}
