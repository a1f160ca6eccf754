package ring

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestPopularityAgainstNaive compares rates with sums over all requests. It
// guards against wrong decay and against requests counted for another adapter.
func TestPopularityAgainstNaive(t *testing.T) {
	const halfLife = 10 * time.Second
	popularity := NewPopularity(PopularityConfig{Adapters: 1000, HalfLife: halfLife, Start: start})
	naive := map[uint64][]time.Time{}
	random := rand.New(rand.NewPCG(1, 0))
	now := start
	for range 5000 {
		now = now.Add(time.Duration(random.IntN(20)) * tick)
		adapter := AdapterHash(fmt.Sprint(int(20*math.Pow(random.Float64(), 3))), 1)
		naive[adapter] = append(naive[adapter], now)
		popularity.CountRequest(now, adapter)
	}
	for adapter, requests := range naive {
		want := 0.0
		for _, request := range requests {
			want += math.Exp2(-float64(now.Sub(request))/float64(halfLife)) * math.Ln2 / halfLife.Seconds()
		}
		if got := popularity.Rate(now, adapter); math.Abs(got-want) > 0.001*want+1e-9 {
			t.Errorf("rate %v, want %v", got, want)
		}
	}
}

// TestPopularityBounds guards against a table that grows, against idle entries
// that never expire, and against popular adapters that are replaced by others.
func TestPopularityBounds(t *testing.T) {
	popularity := NewPopularity(PopularityConfig{Adapters: 512, HalfLife: time.Second, Start: start})
	hot := AdapterHash("hot", 1)
	for index := range 10_000 {
		popularity.CountRequest(start, hot)
		popularity.CountRequest(start, AdapterHash(fmt.Sprint(index), 1))
	}
	if rate := popularity.Rate(start, hot); rate < 6000 {
		t.Errorf("the popular adapter has rate %v", rate)
	}
	if got, capacity := popularity.Len(start), len(popularity.sets)*setSize; got > capacity || capacity > 2*512*5/4 {
		t.Errorf("%d entries of %d for 512 adapters", got, capacity)
	}
	if got := popularity.Len(start.Add(time.Minute)); got != 0 {
		t.Errorf("%d entries after a minute of idleness", got)
	}
}

// TestPopularityRetention guards against a table that, with as many adapters as
// it is configured for, has no entry for many of them or uses too much memory.
func TestPopularityRetention(t *testing.T) {
	const adapters = 170_000
	popularity := NewPopularity(PopularityConfig{Adapters: adapters, HalfLife: time.Minute, Start: start})
	for index := range adapters {
		popularity.CountRequest(start, AdapterHash(fmt.Sprintf("adapter-%d", index), 1))
	}
	size := uintptr(len(popularity.sets)) * unsafe.Sizeof(popularity.sets[0])
	perEntry := float64(size) / adapters
	kept := float64(popularity.Len(start)) / adapters
	t.Logf("%.1f bytes per adapter, %.1f%% kept", perEntry, kept*100)
	if perEntry > 48 || kept < 0.95 {
		t.Errorf("%.1f bytes per adapter, want at most 48; %.3f kept, want 0.95", perEntry, kept)
	}
}

func BenchmarkPopularityTouch(b *testing.B) {
	popularity := NewPopularity(PopularityConfig{Adapters: 170_000, HalfLife: time.Minute, Start: start})
	random := rand.New(rand.NewPCG(1, 0))
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		popularity.CountRequest(now, uint64(random.IntN(170_000))*0x9e3779b97f4a7c15)
	}
}
