package replay

import (
	"bytes"
	"crypto/sha256"
	"time"
)

// ChunkSize is the length of a snapshot chunk's data in bytes. It keeps records
// well below the message limit of 4 MiB.
const ChunkSize = 256 << 10

// MaxChunks is the largest number of chunks of one snapshot, 64 MiB in all.
const MaxChunks = 256

// Chunk is a part of an encoded State.
type Chunk struct {
	Version uint64
	// Digest is the SHA-256 of the whole encoding.
	Digest [sha256.Size]byte
	Index  uint32
	Count  uint32
	// ResumeOffset is the log offset at which a reader of the snapshot goes on.
	// The writer had applied all records before it.
	ResumeOffset uint64
	Data         []byte
}

// Valid reports whether the chunk's fields are consistent with each other.
func (chunk Chunk) Valid() bool {
	last := chunk.Index+1 == chunk.Count
	return chunk.Version > 0 && chunk.Count > 0 && chunk.Count <= MaxChunks && chunk.Index < chunk.Count &&
		len(chunk.Data) > 0 && len(chunk.Data) <= ChunkSize && (last || len(chunk.Data) == ChunkSize)
}

// Split splits an encoded State into chunks. The chunks' data refers to encoded
// and is not copied.
func Split(version, resumeOffset uint64, encoded []byte) []Chunk {
	digest := sha256.Sum256(encoded)
	count := uint32((len(encoded) + ChunkSize - 1) / ChunkSize)
	chunks := make([]Chunk, 0, count)
	for index := range count {
		start := int(index) * ChunkSize
		end := min(start+ChunkSize, len(encoded))
		chunks = append(chunks, Chunk{
			Version: version, Digest: digest, Index: index, Count: count, ResumeOffset: resumeOffset, Data: encoded[start:end],
		})
	}
	return chunks
}

// maxChunkSets bounds the number of snapshots that are tracked at a time. When
// the first chunk of a further snapshot is read, the one that was seen first is
// dropped.
const maxChunkSets = 4

// SnapshotTracker tracks which snapshots on the log are complete. It keeps the
// data of their chunks only while CollectData is set.
type SnapshotTracker struct {
	CollectData    bool
	sets           []*chunkSet
	newestComplete time.Time
}

// chunkSet holds the chunks of one snapshot that were read.
type chunkSet struct {
	version      uint64
	digest       [sha256.Size]byte
	resumeOffset uint64
	// appended holds when each chunk was appended, or the zero time if the chunk
	// was not read yet.
	appended []time.Time
	data     [][]byte
}

// Add records a chunk and the time at which it was appended. If the chunk
// completes a snapshot whose data was collected, Add returns the encoded State
// and the log offset at which to go on. It ignores invalid chunks.
func (snapshotTracker *SnapshotTracker) Add(chunk Chunk, appended time.Time) (encoded []byte, next uint64, ok bool) {
	if !chunk.Valid() {
		return nil, 0, false
	}
	set := snapshotTracker.findOrAddSet(chunk)
	set.resumeOffset = max(set.resumeOffset, chunk.ResumeOffset)
	set.appended[chunk.Index] = appended
	if oldestChunk := earliest(set.appended); oldestChunk.After(snapshotTracker.newestComplete) {
		snapshotTracker.newestComplete = oldestChunk
	}
	if !snapshotTracker.CollectData {
		return nil, 0, false
	}
	set.data[chunk.Index] = bytes.Clone(chunk.Data)
	return set.assemble()
}

// NewestComplete returns the time of the newest complete snapshot, at which the
// oldest of its chunks was appended. It returns the zero time if no snapshot is
// complete.
func (snapshotTracker *SnapshotTracker) NewestComplete() time.Time {
	return snapshotTracker.newestComplete
}

// RecordComplete records that another process has seen a complete snapshot of
// the given time.
func (snapshotTracker *SnapshotTracker) RecordComplete(newest time.Time) {
	if newest.After(snapshotTracker.newestComplete) {
		snapshotTracker.newestComplete = newest
	}
}

// LastAppended returns when the same chunk of the same snapshot was last
// appended, or the zero time if it was not.
func (snapshotTracker *SnapshotTracker) LastAppended(chunk Chunk) time.Time {
	for _, set := range snapshotTracker.sets {
		if set.matches(chunk) {
			return set.appended[chunk.Index]
		}
	}
	return time.Time{}
}

// DiscardData discards the collected data of all chunks.
func (snapshotTracker *SnapshotTracker) DiscardData() {
	for _, set := range snapshotTracker.sets {
		clear(set.data)
	}
}

func (snapshotTracker *SnapshotTracker) findOrAddSet(chunk Chunk) *chunkSet {
	for _, set := range snapshotTracker.sets {
		if set.matches(chunk) {
			return set
		}
	}
	added := &chunkSet{
		version: chunk.Version, digest: chunk.Digest,
		appended: make([]time.Time, chunk.Count), data: make([][]byte, chunk.Count),
	}
	if len(snapshotTracker.sets) == maxChunkSets {
		snapshotTracker.sets = snapshotTracker.sets[1:]
	}
	snapshotTracker.sets = append(snapshotTracker.sets, added)
	return added
}

func (chunkSet *chunkSet) matches(chunk Chunk) bool {
	return chunkSet.digest == chunk.Digest && chunkSet.version == chunk.Version && len(chunkSet.appended) == int(chunk.Count)
}

// assemble returns the encoded State and the resume offset if all chunks are
// present and match the digest. It discards chunks that don't match.
func (chunkSet *chunkSet) assemble() ([]byte, uint64, bool) {
	for _, data := range chunkSet.data {
		if data == nil {
			return nil, 0, false
		}
	}
	encoded := bytes.Join(chunkSet.data, nil)
	if sha256.Sum256(encoded) != chunkSet.digest {
		clear(chunkSet.data)
		return nil, 0, false
	}
	return encoded, chunkSet.resumeOffset, true
}

func earliest(times []time.Time) time.Time {
	first := times[0]
	for _, at := range times[1:] {
		if at.Before(first) {
			first = at
		}
	}
	return first
}
