package ring

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/zeebo/xxh3"
)

// PointsPerUpstream is the number of points that each upstream has on a Ring.
const PointsPerUpstream = 64

const (
	// bucketPoints is the mean number of points in a bucket of a full Ring.
	bucketPoints = 8
	// minMarked is the number of removed upstreams whose points may stay.
	minMarked = 64
	// liveShare bounds the points that stay to one in so many live ones.
	liveShare = 8
)

// Ring is a consistent-hash ring of upstreams. The points lie in buckets by the
// top bits of their hashes, so that a change touches only the buckets of the
// changed upstream's points. It is not safe for concurrent use.
type Ring struct {
	buckets [][]point
	shift   uint
	points  int
	slots   map[string]uint32
	ids     []string
	live    []bool
	lives   int
	// marked lists the removed upstreams that still have points, oldest first.
	marked []uint32
	free   []uint32
}

// point is a place on the ring: the 32 hash bits after the bucket's.
type point struct {
	low  uint32
	slot uint32
}

// NewRing returns an empty Ring sized for a number of upstreams. It works for
// more, with slower decisions.
func NewRing(upstreams int) *Ring {
	count := max(1, upstreams*PointsPerUpstream/bucketPoints)
	width := uint(bits.Len(uint(count - 1)))
	return &Ring{buckets: make([][]point, 1<<width), shift: 64 - width, slots: map[string]uint32{}}
}

// Len returns the number of upstreams on the ring.
func (ring *Ring) Len() int { return ring.lives }

// Index returns the slot of an upstream. Slots are small numbers that stay with
// an upstream as long as it is on the ring.
func (ring *Ring) Index(id string) (uint32, bool) {
	slot, ok := ring.slots[id]
	return slot, ok && ring.live[slot]
}

// IndexLimit returns a bound above all slots.
func (ring *Ring) IndexLimit() int { return len(ring.ids) }

// ID returns the upstream in a slot.
func (ring *Ring) ID(slot uint32) string { return ring.ids[slot] }

// Live reports whether the slot's upstream is on the ring.
func (ring *Ring) Live(slot uint32) bool { return ring.live[slot] }

// Add puts an upstream on the ring and returns its slot.
func (ring *Ring) Add(id string) uint32 {
	if slot, known := ring.slots[id]; known {
		ring.revive(slot)
		return slot
	}
	ring.reclaim()
	slot := ring.take(id)
	for index := range PointsPerUpstream {
		bucket, low := ring.locate(pointHash(id, index))
		at, _ := ring.search(bucket, point{low, slot})
		ring.buckets[bucket] = slices.Insert(ring.buckets[bucket], at, point{low, slot})
	}
	ring.points += PointsPerUpstream
	return slot
}

// Remove takes an upstream off the ring. Its points are marked by its slot
// being dead, and nothing else is touched.
func (ring *Ring) Remove(id string) {
	slot, known := ring.slots[id]
	if !known || !ring.live[slot] {
		return
	}
	ring.live[slot] = false
	ring.lives--
	ring.marked = append(ring.marked, slot)
}

// reclaim deletes the points of the upstream removed the longest ago when too
// many marked points have gathered.
func (ring *Ring) reclaim() {
	for len(ring.marked) > max(minMarked, ring.lives/liveShare) {
		ring.drop(ring.marked[0])
		ring.marked = slices.Delete(ring.marked, 0, 1)
	}
}

// revive puts an upstream whose points are still there back on the ring.
func (ring *Ring) revive(slot uint32) {
	if ring.live[slot] {
		return
	}
	ring.live[slot] = true
	ring.lives++
	at := slices.Index(ring.marked, slot)
	ring.marked = slices.Delete(ring.marked, at, at+1)
}

func (ring *Ring) drop(slot uint32) {
	id := ring.ids[slot]
	for index := range PointsPerUpstream {
		bucket, low := ring.locate(pointHash(id, index))
		if at, found := ring.search(bucket, point{low, slot}); found {
			ring.buckets[bucket] = slices.Delete(ring.buckets[bucket], at, at+1)
		}
	}
	ring.points -= PointsPerUpstream
	delete(ring.slots, id)
	ring.ids[slot] = ""
	ring.free = append(ring.free, slot)
}

func (ring *Ring) take(id string) uint32 {
	var slot uint32
	if last := len(ring.free) - 1; last >= 0 {
		slot, ring.free = ring.free[last], ring.free[:last]
		ring.ids[slot], ring.live[slot] = id, true
	} else {
		slot = uint32(len(ring.ids))
		ring.ids, ring.live = append(ring.ids, id), append(ring.live, true)
	}
	ring.slots[id] = slot
	ring.lives++
	return slot
}

// pointHash returns the hash of one of an upstream's points: the output of a
// splitmix64 generator seeded with the id's hash. Hashing the id with the index
// as seed is not enough: xxh3 gives different ids of up to 3 bytes equal hashes
// under different small seeds.
func pointHash(id string, index int) uint64 {
	hash := xxh3.HashString(id) + uint64(index+1)*0x9e3779b97f4a7c15
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

func (ring *Ring) locate(hash uint64) (bucket uint64, low uint32) {
	return hash >> ring.shift, uint32(hash >> (ring.shift - 32))
}

// search finds a point in its bucket. Points of equal hash are ordered by
// upstream id, so that all instances agree.
func (ring *Ring) search(bucket uint64, target point) (int, bool) {
	return slices.BinarySearchFunc(ring.buckets[bucket], target, func(a, b point) int {
		if a.low != b.low || a.slot == b.slot {
			return cmp.Compare(a.low, b.low)
		}
		return cmp.Compare(ring.ids[a.slot], ring.ids[b.slot])
	})
}

// Cursor walks the points of a Ring once around. A change of the ring makes it
// invalid.
type Cursor struct {
	ring   *Ring
	bucket uint64
	at     int
	left   int
}

// Seek returns a Cursor that starts at a hash.
func (ring *Ring) Seek(hash uint64) Cursor {
	bucket, low := ring.locate(hash)
	// A ring with more upstreams than it was sized for has long buckets.
	at, _ := slices.BinarySearchFunc(ring.buckets[bucket], low, func(point point, low uint32) int {
		return cmp.Compare(point.low, low)
	})
	return Cursor{ring: ring, bucket: bucket, at: at, left: ring.points}
}

// Next returns the slot of the next point whose upstream is on the ring. It may
// return a slot more than once.
func (cursor *Cursor) Next() (uint32, bool) {
	ring := cursor.ring
	for cursor.left > 0 {
		points := ring.buckets[cursor.bucket]
		if cursor.at >= len(points) {
			cursor.bucket = (cursor.bucket + 1) & uint64(len(ring.buckets)-1)
			cursor.at = 0
			continue
		}
		slot := points[cursor.at].slot
		cursor.at++
		cursor.left--
		if ring.live[slot] {
			return slot, true
		}
	}
	return 0, false
}

// Candidates appends the first count distinct upstreams after the hash to into,
// which allocates nothing when into has room for them.
func (ring *Ring) Candidates(hash uint64, count int, into []uint32) []uint32 {
	cursor := ring.Seek(hash)
	for len(into) < count {
		slot, ok := cursor.Next()
		if !ok {
			break
		}
		if !slices.Contains(into, slot) {
			into = append(into, slot)
		}
	}
	return into
}
