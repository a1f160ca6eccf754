package replay

import (
	"bytes"
	"crypto/sha256"
	"time"
)

// ChunkSize is the length of a snapshot chunk's data in bytes. It keeps a
// record well below the 4 MiB that messages may have.
const ChunkSize = 256 << 10

// MaxChunks bounds a snapshot to 64 MiB.
const MaxChunks = 256

// Chunk is a part of an encoded State.
type Chunk struct {
	Version uint64
	// Digest is the SHA-256 of the whole encoding.
	Digest [sha256.Size]byte
	Index  uint32
	Count  uint32
	// ResumeOffset is the offset from which a reader of the snapshot resumes: the
	// writer had folded all records before it.
	ResumeOffset uint64
	Data         []byte
}

// Valid reports whether the chunk's numbers agree with each other.
func (chunk Chunk) Valid() bool {
	last := chunk.Index+1 == chunk.Count
	return chunk.Version > 0 && chunk.Count > 0 && chunk.Count <= MaxChunks && chunk.Index < chunk.Count &&
		len(chunk.Data) > 0 && len(chunk.Data) <= ChunkSize && (last || len(chunk.Data) == ChunkSize)
}

// Split cuts an encoded State into chunks. The data of the chunks is shared
// with the encoding.
func Split(version, next uint64, encoded []byte) []Chunk {
	digest := sha256.Sum256(encoded)
	count := uint32((len(encoded) + ChunkSize - 1) / ChunkSize)
	chunks := make([]Chunk, 0, count)
	for index := range count {
		start := int(index) * ChunkSize
		end := min(start+ChunkSize, len(encoded))
		chunks = append(chunks, Chunk{
			Version: version, Digest: digest, Index: index, Count: count, ResumeOffset: next, Data: encoded[start:end],
		})
	}
	return chunks
}

// maxSets bounds the snapshots that are watched at a time. An older one is
// dropped when another version's chunk arrives.
const maxSets = 4

// SnapshotTracker watches the snapshot chunks on the log. It keeps their data only
// while Collect is set.
type SnapshotTracker struct {
	CollectData bool
	sets        []*set
	newest      time.Time
}

type set struct {
	version uint64
	digest  [sha256.Size]byte
	next    uint64
	times   []time.Time
	data    [][]byte
}

// Add records a chunk that was appended at a time. When it completes a
// snapshot whose data was collected, Add returns the encoded State and the
// offset from which to resume.
func (snapshots *SnapshotTracker) Add(chunk Chunk, appended time.Time) (encoded []byte, next uint64, ok bool) {
	if !chunk.Valid() {
		return nil, 0, false
	}
	set := snapshots.set(chunk)
	set.next = max(set.next, chunk.ResumeOffset)
	set.times[chunk.Index] = appended
	if age := oldest(set.times); age.After(snapshots.newest) {
		snapshots.newest = age
	}
	if !snapshots.CollectData {
		return nil, 0, false
	}
	set.data[chunk.Index] = bytes.Clone(chunk.Data)
	return set.assemble()
}

// NewestComplete returns when the oldest chunk of the newest complete snapshot was
// appended, or the zero time when no complete snapshot was seen.
func (snapshots *SnapshotTracker) NewestComplete() time.Time { return snapshots.newest }

// RecordComplete records that another process saw a complete snapshot of this time.
func (snapshots *SnapshotTracker) RecordComplete(newest time.Time) {
	if newest.After(snapshots.newest) {
		snapshots.newest = newest
	}
}

// LastAppended returns when a chunk of the same snapshot was last appended, or the
// zero time.
func (snapshots *SnapshotTracker) LastAppended(chunk Chunk) time.Time {
	for _, set := range snapshots.sets {
		if set.holds(chunk) {
			return set.times[chunk.Index]
		}
	}
	return time.Time{}
}

// DiscardData drops the collected data.
func (snapshots *SnapshotTracker) DiscardData() {
	for _, set := range snapshots.sets {
		clear(set.data)
	}
}

func (snapshots *SnapshotTracker) set(chunk Chunk) *set {
	for _, set := range snapshots.sets {
		if set.holds(chunk) {
			return set
		}
	}
	added := &set{
		version: chunk.Version, digest: chunk.Digest,
		times: make([]time.Time, chunk.Count), data: make([][]byte, chunk.Count),
	}
	if len(snapshots.sets) == maxSets {
		snapshots.sets = snapshots.sets[1:]
	}
	snapshots.sets = append(snapshots.sets, added)
	return added
}

func (set *set) holds(chunk Chunk) bool {
	return set.digest == chunk.Digest && set.version == chunk.Version && len(set.times) == int(chunk.Count)
}

// assemble joins the chunks when all of them are there and match the digest.
func (set *set) assemble() ([]byte, uint64, bool) {
	for _, data := range set.data {
		if data == nil {
			return nil, 0, false
		}
	}
	encoded := bytes.Join(set.data, nil)
	if sha256.Sum256(encoded) != set.digest {
		clear(set.data)
		return nil, 0, false
	}
	return encoded, set.next, true
}

func oldest(times []time.Time) time.Time {
	first := times[0]
	for _, at := range times[1:] {
		if at.Before(first) {
			first = at
		}
	}
	return first
}
