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

// Class is the class of the errors from exchanges with peers and from writing
// snapshots to the log.
var Class = errs.Class("syncer")

// maxExchangeCalls bounds the calls by which a process catches up with a peer. They
// suffice for all chunks of a snapshot and 64 responses with patches after it.
const maxExchangeCalls = replay.MaxChunks + 64

// transfer holds the chunks fetched so far of a peer's snapshot.
type transfer struct {
	chunks []replay.Chunk
}

// syncWith calls a peer until this process is up to date with it.
func (syncer *Syncer) syncWith(ctx context.Context, address string) error {
	var transfer transfer
	for range maxExchangeCalls {
		more, err := syncer.exchange(ctx, address, &transfer)
		if err != nil || !more {
			return err
		}
	}
	return Class.New("peer %s did not bring this process up to date within %d calls", address, maxExchangeCalls)
}

// exchange makes one call to a peer. It reports whether another call is needed to
// catch up with the peer.
func (syncer *Syncer) exchange(ctx context.Context, address string, transfer *transfer) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, syncer.config.SyncTimeout)
	defer cancel()
	conn, err := syncer.config.DialPeer(ctx, address)
	if err != nil {
		return false, Class.Wrap(err)
	}
	defer conn.Release()
	sent := time.Now()
	response, err := wirepb.NewDRPCPeerClient(conn).Sync(ctx, syncer.newRequest(transfer))
	if err != nil {
		return false, Class.Wrap(err)
	}
	return syncer.applyResponse(address, sent, response, transfer)
}

func (syncer *Syncer) newRequest(transfer *transfer) *wirepb.SyncRequest {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	request := &wirepb.SyncRequest{
		Instance:       syncer.config.Instance,
		Version:        syncer.replayer.Config().Version(),
		Offset:         syncer.replayer.NextOffset(),
		ConfirmedAgeUs: ageToWire(syncer.freshness.age()),
		Address:        syncer.config.Address,
	}
	if count := len(transfer.chunks); count > 0 {
		request.SnapshotVersion = transfer.chunks[0].Version
		request.SnapshotIndex = uint32(count)
	}
	return request
}

// applyResponse applies a peer's response. It reports whether another call is
// needed to catch up with the peer.
func (syncer *Syncer) applyResponse(address string, sent time.Time, response *wirepb.SyncResponse, transfer *transfer) (bool, error) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	syncer.peers.update(address, func(entry *peerTimes) { entry.answered = time.Now() })
	before := syncer.replayer.Config().Version()
	defer func() {
		syncer.resumeAfterGap()
		syncer.skipAhead()
		if syncer.replayer.Config().Version() != before {
			syncer.metrics.Add("versions-from-peers", int64(syncer.replayer.Config().Version()-before))
			syncer.notify()
		}
	}()
	if micros := response.GetSnapshotTimeUs(); micros > 0 {
		syncer.log.snapshots.RecordComplete(time.UnixMicro(micros))
	}
	if response.GetSnapshot() != nil {
		return true, syncer.addChunk(response.GetSnapshot(), transfer)
	}
	if err := syncer.applyPeerPatches(response.GetPatches()); err != nil {
		return false, err
	}
	return syncer.confirmVersion(sent, response)
}

// applyPeerPatches applies the accepted patches from a peer. The mutex is held.
func (syncer *Syncer) applyPeerPatches(records []*wirepb.PatchRecord) error {
	for _, wire := range records {
		record := codec.PatchFromWire(wire)
		if record.BaseVersion != syncer.replayer.Config().Version() {
			// The patch was already applied from the log or another peer.
			continue
		}
		result := syncer.applyPatch(wire.GetOffset(), record)
		if result.Kind != patch.Accepted {
			syncer.metrics.Add("refused-peer-patches", 1)
			return Class.New("a peer sent a patch as accepted that is not accepted here: %v", result)
		}
	}
	return nil
}

// addChunk adds a chunk to the transfer and installs the snapshot once it is
// complete. The mutex is held.
func (syncer *Syncer) addChunk(wire *wirepb.SnapshotChunk, transfer *transfer) error {
	chunk, err := codec.ChunkFromWire(wire)
	if err != nil {
		return err
	}
	count := uint32(len(transfer.chunks))
	if count > 0 && chunk.Digest != transfer.chunks[0].Digest {
		// The peer now serves another snapshot.
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
	syncer.installSnapshot(encoded, chunk.ResumeOffset)
	return nil
}

// confirmVersion checks the version after a response was applied. If this process
// is still behind the peer, it reports that another call is needed. Otherwise it
// takes the peer's confirmed age into account. The mutex is held.
func (syncer *Syncer) confirmVersion(sent time.Time, response *wirepb.SyncResponse) (bool, error) {
	version := syncer.replayer.Config().Version()
	if version < response.GetVersion() {
		if len(response.GetPatches()) == 0 {
			return false, Class.New("a peer has version %d but sent nothing after %d", response.GetVersion(), version)
		}
		return true, nil
	}
	if version == response.GetVersion() {
		syncer.replayer.AdvanceTo(response.GetOffset())
	}
	if age, ok := ageFromWire(response.GetConfirmedAgeUs()); ok {
		// Counting the age from the time before the call keeps it from being too
		// small.
		syncer.freshness.confirm(sent.Add(-age))
	}
	return false, nil
}

// ageToWire returns an age in microseconds, or -1 if the version was never
// confirmed.
func ageToWire(age time.Duration) int64 {
	if age == neverConfirmed {
		return -1
	}
	return age.Microseconds()
}

func ageFromWire(micros int64) (time.Duration, bool) {
	if micros < 0 || micros > neverConfirmed.Microseconds() {
		return 0, false
	}
	return time.Duration(micros) * time.Microsecond, true
}
