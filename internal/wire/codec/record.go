package codec

import (
	"crypto/sha256"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/state/replay"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// Class is the errs class of the errors for malformed records, states and
// patches.
var Class = errs.Class("codec")

// MaxRecord is the largest size of a log record in bytes.
const MaxRecord = 1 << 20

// Record is one record of the log stream "config": a patch or a snapshot chunk.
type Record struct {
	Patch *patch.Patch
	Chunk *replay.Chunk
}

// EncodePatch encodes a patch as a log record. A record that exceeds MaxRecord
// is an error.
func EncodePatch(record patch.Patch) ([]byte, error) {
	return encodeRecord(&wirepb.Record{Body: &wirepb.Record_Patch{Patch: PatchToWire(record)}})
}

// EncodeChunk encodes a snapshot chunk as a log record. A record that exceeds
// MaxRecord is an error.
func EncodeChunk(chunk replay.Chunk) ([]byte, error) {
	return encodeRecord(&wirepb.Record{Body: &wirepb.Record_Chunk{Chunk: ChunkToWire(chunk)}})
}

func encodeRecord(record *wirepb.Record) ([]byte, error) {
	data, err := proto.Marshal(record)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if len(data) > MaxRecord {
		return nil, Class.New("the record has %d bytes, at most %d are admitted; split the patch", len(data), MaxRecord)
	}
	return data, nil
}

// DecodeRecord decodes a log record. Whether it returns an error depends only on
// data, since all processes must skip the same malformed records.
func DecodeRecord(data []byte) (Record, error) {
	if len(data) > MaxRecord {
		return Record{}, Class.New("the record has %d bytes, at most %d are admitted", len(data), MaxRecord)
	}
	var wire wirepb.Record
	if err := proto.Unmarshal(data, &wire); err != nil {
		return Record{}, Class.Wrap(err)
	}
	switch body := wire.GetBody().(type) {
	case *wirepb.Record_Patch:
		record := PatchFromWire(body.Patch)
		return Record{Patch: &record}, nil
	case *wirepb.Record_Chunk:
		chunk, err := ChunkFromWire(body.Chunk)
		return Record{Chunk: &chunk}, err
	default:
		return Record{}, Class.New("the record is neither a patch nor a snapshot chunk")
	}
}

// ChunkToWire converts a snapshot chunk to its wire form.
func ChunkToWire(chunk replay.Chunk) *wirepb.SnapshotChunk {
	return &wirepb.SnapshotChunk{
		Version: chunk.Version,
		Digest:  chunk.Digest[:],
		Index:   chunk.Index,
		Count:   chunk.Count,
		Data:    chunk.Data,
		Next:    chunk.ResumeOffset,
	}
}

// ChunkFromWire converts a snapshot chunk from its wire form. A chunk whose
// fields are inconsistent is an error.
func ChunkFromWire(wire *wirepb.SnapshotChunk) (replay.Chunk, error) {
	if len(wire.GetDigest()) != sha256.Size {
		return replay.Chunk{}, Class.New("the snapshot chunk has a digest of %d bytes", len(wire.GetDigest()))
	}
	chunk := replay.Chunk{
		Version:      wire.GetVersion(),
		Digest:       [sha256.Size]byte(wire.GetDigest()),
		Index:        wire.GetIndex(),
		Count:        wire.GetCount(),
		Data:         wire.GetData(),
		ResumeOffset: wire.GetNext(),
	}
	if !chunk.Valid() {
		return replay.Chunk{}, Class.New("snapshot chunk %d of %d of version %d is inconsistent", chunk.Index, chunk.Count, chunk.Version)
	}
	return chunk, nil
}
