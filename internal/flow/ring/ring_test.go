package ring

import (
	stdcmp "cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/zeebo/xxh3"
)

// naiveRing holds only the ids and sorts all points on each call.
type naiveRing map[string]bool

func (naive naiveRing) candidates(hash uint64, count int) []string {
	type naivePoint struct {
		distance uint64
		id       string
	}
	var points []naivePoint
	for id := range naive {
		for index := range PointsPerUpstream {
			points = append(points, naivePoint{pointHash(id, index) - hash, id})
		}
	}
	slices.SortFunc(points, func(a, b naivePoint) int { return stdcmp.Compare(a.distance, b.distance) })
	var ids []string
	for _, point := range points {
		if len(ids) < count && !slices.Contains(ids, point.id) {
			ids = append(ids, point.id)
		}
	}
	return ids
}

func (ring *Ring) candidateIDs(hash uint64, count int) []string {
	var ids []string
	for _, index := range ring.Candidates(hash, count, nil) {
		ids = append(ids, ring.ID(index))
	}
	return ids
}

// TestRingAgainstNaive compares candidates with those of a naiveRing. It guards
// against candidates that depend on the order of changes, on tombstones or on
// reclaimed points.
func TestRingAgainstNaive(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			ring, naive := NewRing(16), naiveRing{}
			for step := range 400 {
				// Adds a new upstream and one that may have been removed, and
				// removes some.
				for _, id := range []string{fmt.Sprint(step), fmt.Sprint(random.IntN(step + 1))} {
					ring.Add(id)
					naive[id] = true
				}
				for range 3 {
					id := fmt.Sprint(random.IntN(step + 1))
					ring.Remove(id)
					delete(naive, id)
				}
				hash := random.Uint64()
				if diff := cmp.Diff(naive.candidates(hash, 3), ring.candidateIDs(hash, 3)); diff != "" {
					t.Fatalf("step %d, candidates (-naive +ring):\n%s", step, diff)
				}
			}
			if len(ring.freeIndexes)+ring.liveCount+len(ring.tombstones) != ring.IndexLimit() || len(ring.freeIndexes) == 0 && ring.IndexLimit() == 400 {
				t.Errorf("%d indexes, %d live, %d tombstones, %d free", ring.IndexLimit(), ring.liveCount, len(ring.tombstones), len(ring.freeIndexes))
			}
		})
	}
}

// TestRingBalance guards against an uneven distribution of adapters, which would
// overload an upstream.
func TestRingBalance(t *testing.T) {
	ring, shares := NewRing(100), map[uint32]int{}
	for index := range 100 {
		ring.Add(fmt.Sprintf("upstream-%d", index))
	}
	const adapters = 100_000
	for index := range adapters {
		shares[ring.Candidates(AdapterHash(fmt.Sprintf("adapter-%d", index), 1), 1, nil)[0]]++
	}
	for index, share := range shares {
		if share > adapters/100*2 || share < adapters/100/2 {
			t.Errorf("%s has %d of %d adapters", ring.ID(index), share, adapters)
		}
	}
}

// TestRingAllocations guards against allocations in Candidates.
func TestRingAllocations(t *testing.T) {
	ring := NewRing(100)
	for index := range 100 {
		ring.Add(fmt.Sprintf("upstream-%d", index))
	}
	hash := uint64(0)
	got := testing.AllocsPerRun(1000, func() {
		var into [4]uint32
		hash += 1 << 57
		_ = ring.Candidates(hash, 4, into[:0])
	})
	if got != 0 {
		t.Errorf("%v allocations, want 0", got)
	}
}

// TestRendezvous guards against an order that omits an upstream, and against one
// that changes for the other upstreams when one is removed.
func TestRendezvous(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	order := func(key string, ids []string) []string {
		var list []string
		for rank := 0; ; rank++ {
			index := Rendezvous([]byte(key), ids, rank)
			if index < 0 {
				return list
			}
			list = append(list, ids[index])
		}
	}
	for _, key := range []string{"one", "two", "three"} {
		whole := order(key, ids)
		if diff := cmp.Diff(ids, slices.Sorted(slices.Values(whole))); diff != "" {
			t.Errorf("%s: ids (-want +got):\n%s", key, diff)
		}
		if diff := cmp.Diff(whole[1:], order(key, slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == whole[0] }))); diff != "" {
			t.Errorf("%s: order without the first (-want +got):\n%s", key, diff)
		}
	}
}

// TestAdapterHash guards against a change of the hash. Side processes
// report it, also those of another version.
func TestAdapterHash(t *testing.T) {
	if got, want := AdapterHash("oak", 12), xxh3.HashString("oak@12"); got != want {
		t.Errorf("hash %x, want %x", got, want)
	}
}

func bigRing() *Ring {
	ring := NewRing(7200)
	for index := range 7200 {
		ring.Add(fmt.Sprintf("upstream-%d", index))
	}
	return ring
}

func BenchmarkRingCandidates(b *testing.B) {
	ring := bigRing()
	random := rand.New(rand.NewPCG(1, 0))
	b.ReportAllocs()
	for b.Loop() {
		var into [4]uint32
		_ = ring.Candidates(random.Uint64(), 4, into[:0])
	}
}

// BenchmarkRingRemove removes an upstream and adds it again, which changes no
// points.
func BenchmarkRingRemove(b *testing.B) {
	ring := bigRing()
	index := uint32(0)
	for b.Loop() {
		id := ring.ID(index % 7200)
		ring.Remove(id)
		ring.Add(id)
		index++
	}
}

// BenchmarkRingReplace removes an upstream and adds a new one, which includes
// reclaiming tombstones.
func BenchmarkRingReplace(b *testing.B) {
	ring := bigRing()
	next := 0
	for b.Loop() {
		ring.Remove(fmt.Sprintf("upstream-%d", next))
		ring.Add(fmt.Sprintf("upstream-%d", next+7200))
		next++
	}
}
