package ring

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/zeebo/xxh3"
)

// PointsPerUpstream is the number of points (virtual nodes) of each upstream on
// a Ring.
const PointsPerUpstream = 64

const (
	// bucketPoints is the largest mean number of points in a bucket of a full
	// Ring. The number of buckets is rounded up to a power of two.
	bucketPoints = 8
	// minTombstones is the number of removed upstreams whose points may always
	// stay on the ring.
	minTombstones = 64
	// livePerTombstone is the number of upstreams for which the points of one
	// removed upstream may stay, where that allows more than minTombstones.
	livePerTombstone = 8
)

// Ring is a consistent-hash ring of upstreams. The points are grouped into
// buckets by the top bits of their hashes, so that adding an upstream changes
// only the buckets of its points. It is not safe for concurrent use.
type Ring struct {
	buckets [][]point
	shift   uint
	points  int
	// indexes, ids and live hold the index of each upstream, the upstream at
	// each index, and whether it is on the ring.
	indexes   map[string]uint32
	ids       []string
	live      []bool
	liveCount int
	// tombstones lists the removed upstreams that still have points, the one
	// removed first at the front.
	tombstones  []uint32
	freeIndexes []uint32
}

// point is a point of the upstream with an index. The hash holds the 32 bits
// that follow the bucket's.
type point struct {
	hash     uint32
	upstream uint32
}

// NewRing returns an empty Ring sized for a number of upstreams. With more than
// that, searches are slower.
func NewRing(upstreams int) *Ring {
	count := max(1, upstreams*PointsPerUpstream/bucketPoints)
	width := uint(bits.Len(uint(count - 1)))
	return &Ring{buckets: make([][]point, 1<<width), shift: 64 - width, indexes: map[string]uint32{}}
}

// Len returns the number of upstreams on the ring.
func (ring *Ring) Len() int { return ring.liveCount }

// Index returns the index of an upstream and whether it is on the ring. Indexes
// are small numbers that do not change while the upstream is on the ring.
func (ring *Ring) Index(id string) (uint32, bool) {
	index, ok := ring.indexes[id]
	return index, ok && ring.live[index]
}

// IndexLimit returns a number greater than every index.
func (ring *Ring) IndexLimit() int { return len(ring.ids) }

// ID returns the upstream with an index.
func (ring *Ring) ID(index uint32) string { return ring.ids[index] }

// Live reports whether the upstream with an index is on the ring.
func (ring *Ring) Live(index uint32) bool { return ring.live[index] }

// Add puts an upstream on the ring and returns its index.
func (ring *Ring) Add(id string) uint32 {
	if index, known := ring.indexes[id]; known {
		ring.restore(index)
		return index
	}
	ring.reclaimTombstones()
	index := ring.allocateIndex(id)
	for number := range PointsPerUpstream {
		bucket, low := ring.locate(pointHash(id, number))
		at, _ := ring.findPoint(bucket, point{low, index})
		ring.buckets[bucket] = slices.Insert(ring.buckets[bucket], at, point{low, index})
	}
	ring.points += PointsPerUpstream
	return index
}

// Remove removes an upstream from the ring. Its points stay as tombstones, which
// cursors skip.
func (ring *Ring) Remove(id string) {
	index, known := ring.indexes[id]
	if !known || !ring.live[index] {
		return
	}
	ring.live[index] = false
	ring.liveCount--
	ring.tombstones = append(ring.tombstones, index)
}

// reclaimTombstones deletes the points of the upstreams that were removed first
// while there are too many tombstones.
func (ring *Ring) reclaimTombstones() {
	for len(ring.tombstones) > max(minTombstones, ring.liveCount/livePerTombstone) {
		ring.deletePoints(ring.tombstones[0])
		ring.tombstones = slices.Delete(ring.tombstones, 0, 1)
	}
}

// restore puts an upstream back on the ring whose points have not been deleted.
func (ring *Ring) restore(index uint32) {
	if ring.live[index] {
		return
	}
	ring.live[index] = true
	ring.liveCount++
	at := slices.Index(ring.tombstones, index)
	ring.tombstones = slices.Delete(ring.tombstones, at, at+1)
}

func (ring *Ring) deletePoints(index uint32) {
	id := ring.ids[index]
	for number := range PointsPerUpstream {
		bucket, low := ring.locate(pointHash(id, number))
		if at, found := ring.findPoint(bucket, point{low, index}); found {
			ring.buckets[bucket] = slices.Delete(ring.buckets[bucket], at, at+1)
		}
	}
	ring.points -= PointsPerUpstream
	delete(ring.indexes, id)
	ring.ids[index] = ""
	ring.freeIndexes = append(ring.freeIndexes, index)
}

func (ring *Ring) allocateIndex(id string) uint32 {
	var index uint32
	if last := len(ring.freeIndexes) - 1; last >= 0 {
		index, ring.freeIndexes = ring.freeIndexes[last], ring.freeIndexes[:last]
		ring.ids[index], ring.live[index] = id, true
	} else {
		index = uint32(len(ring.ids))
		ring.ids, ring.live = append(ring.ids, id), append(ring.live, true)
	}
	ring.indexes[id] = index
	ring.liveCount++
	return index
}

// pointHash returns the hash of the upstream's point with a number: an output of
// a splitmix64 generator that is seeded with the id's hash. The id is not hashed
// with the number as the seed, because xxh3 gives different ids of up to 3 bytes
// equal hashes under different small seeds.
func pointHash(id string, number int) uint64 {
	hash := xxh3.HashString(id) + uint64(number+1)*0x9e3779b97f4a7c15
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// locate splits a hash into the bucket and the 32 bits after it.
func (ring *Ring) locate(hash uint64) (bucket uint64, low uint32) {
	return hash >> ring.shift, uint32(hash >> (ring.shift - 32))
}

// findPoint returns the position of a point in its bucket, or where to insert
// it, and whether it is there. Points of equal hash are ordered by upstream id,
// so that all instances agree on the order.
func (ring *Ring) findPoint(bucket uint64, target point) (int, bool) {
	return slices.BinarySearchFunc(ring.buckets[bucket], target, func(a, b point) int {
		if a.hash != b.hash || a.upstream == b.upstream {
			return cmp.Compare(a.hash, b.hash)
		}
		return cmp.Compare(ring.ids[a.upstream], ring.ids[b.upstream])
	})
}

// Cursor visits every point of a Ring once, in the order of their hashes. It is
// invalid after a change of the ring.
type Cursor struct {
	ring      *Ring
	bucket    uint64
	position  int
	remaining int
}

// Seek returns a Cursor whose first point is the first one at or after a hash.
func (ring *Ring) Seek(hash uint64) Cursor {
	bucket, low := ring.locate(hash)
	// Binary search keeps this fast in the long buckets of a ring with more
	// upstreams than it was sized for.
	at, _ := slices.BinarySearchFunc(ring.buckets[bucket], low, func(point point, low uint32) int {
		return cmp.Compare(point.hash, low)
	})
	return Cursor{ring: ring, bucket: bucket, position: at, remaining: ring.points}
}

// Next returns the index of the upstream of the next point whose upstream is on
// the ring, or false after the last one. An index may be returned several times.
func (cursor *Cursor) Next() (uint32, bool) {
	ring := cursor.ring
	for cursor.remaining > 0 {
		points := ring.buckets[cursor.bucket]
		if cursor.position >= len(points) {
			cursor.bucket = (cursor.bucket + 1) & uint64(len(ring.buckets)-1)
			cursor.position = 0
			continue
		}
		index := points[cursor.position].upstream
		cursor.position++
		cursor.remaining--
		if ring.live[index] {
			return index, true
		}
	}
	return 0, false
}

// Candidates appends indexes of upstreams after the hash to into, each once, until
// it holds count or all of them. It does not allocate if into has the capacity.
func (ring *Ring) Candidates(hash uint64, count int, into []uint32) []uint32 {
	cursor := ring.Seek(hash)
	for len(into) < count {
		index, ok := cursor.Next()
		if !ok {
			break
		}
		if !slices.Contains(into, index) {
			into = append(into, index)
		}
	}
	return into
}
