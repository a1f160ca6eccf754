package conf

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against adapters that are lost, duplicated or reordered when blocks
// are split, merged and copied, and against an edit that changes an older
// configuration.
func TestAdaptersMatchMap(t *testing.T) {
	tests := []struct {
		name    string
		edits   int
		perEdit int
		names   int
		removes int // removals in 10 operations
	}{
		{name: "growing", edits: 40, perEdit: 200, names: 5000, removes: 1},
		{name: "churning", edits: 60, perEdit: 100, names: 300, removes: 5},
		{name: "shrinking", edits: 60, perEdit: 100, names: 900, removes: 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			config, reference := New(), map[string]AdapterSpec{}
			type snapshot struct {
				config    *Config
				reference map[string]AdapterSpec
			}
			var history []snapshot
			for version := range test.edits {
				editor := config.Edit()
				for range test.perEdit {
					name := fmt.Sprintf("adapter-%d", random.IntN(test.names))
					if random.IntN(10) < test.removes {
						editor.RemoveAdapter(name)
						delete(reference, name)
						continue
					}
					spec := randomAdapter(random, name)
					editor.PutAdapter(spec)
					reference[name] = spec
				}
				config = editor.Commit(uint64(version + 1))
				history = append(history, snapshot{config, maps.Clone(reference)})
			}
			for _, snapshot := range history {
				if diff := cmp.Diff(sortedByName(snapshot.reference), snapshot.config.Adapters()); diff != "" {
					t.Fatalf("version %d differs (-want +got):\n%s", snapshot.config.Version(), diff)
				}
				for name := range test.names {
					name := fmt.Sprintf("adapter-%d", name)
					want, known := snapshot.reference[name]
					got, ok := snapshot.config.Adapter(name)
					if diff := cmp.Diff(want, got); diff != "" || ok != known {
						t.Fatalf("adapter %q of version %d differs, ok %v (-want +got):\n%s", name, snapshot.config.Version(), ok, diff)
					}
				}
			}
		})
	}
}

func randomAdapter(random *rand.Rand, name string) AdapterSpec {
	spec := AdapterSpec{Name: name, Service: fmt.Sprintf("service-%d", random.IntN(3))}
	if random.IntN(4) > 0 {
		spec.Organisation = fmt.Sprintf("organisation-%d", random.IntN(50))
	}
	for range random.IntN(4) {
		spec.Versions = append(spec.Versions, random.Uint32N(3)+1+3*uint32(len(spec.Versions)))
	}
	if len(spec.Versions) > 0 {
		spec.DefaultVersion = spec.Versions[0]
	}
	return spec
}

// Guards against a lookup that allocates memory: routing a request may take 2 µs
// in all.
func TestAdapterDoesNotAllocate(t *testing.T) {
	config := configWithAdapters(2000)
	allocations := testing.AllocsPerRun(100, func() {
		if _, ok := config.Adapter("adapter-of-some-team-001234"); !ok {
			t.Fatal("adapter is missing")
		}
	})
	if allocations > 0 {
		t.Errorf("got %v allocations, want none", allocations)
	}
}

func configWithAdapters(count int) *Config {
	editor := New().Edit()
	for index := range count {
		editor.PutAdapter(AdapterSpec{
			Name:           fmt.Sprintf("adapter-of-some-team-%06d", index),
			Organisation:   fmt.Sprintf("organisation-%02d", index%40),
			Service:        fmt.Sprintf("service-%d", index%2),
			Versions:       []uint32{1, 2, 3}[:1+index%3],
			DefaultVersion: 1,
		})
	}
	return editor.Commit(1)
}

var sizes = []int{20_000, 60_000, 110_000, 170_000}

func BenchmarkAdapterBytes(b *testing.B) {
	nameBytes := len("adapter-of-some-team-000000")
	for _, size := range sizes {
		for _, order := range []string{"sorted", "shuffled"} {
			b.Run(fmt.Sprintf("%s-%d", order, size), func(b *testing.B) {
				for b.Loop() {
					before := heapBytes()
					config := configWithAdapters(size)
					if order == "shuffled" {
						config = shuffled(config)
					}
					after := heapBytes()
					b.ReportMetric(float64(after-before)/float64(size)-float64(nameBytes), "bytes-beside-name/adapter")
					runtime.KeepAlive(config)
				}
			})
		}
	}
}

func shuffled(config *Config) *Config {
	list := config.Adapters()
	random := rand.New(rand.NewPCG(1, 2))
	random.Shuffle(len(list), func(left, right int) { list[left], list[right] = list[right], list[left] })
	editor := New().Edit()
	for _, spec := range list {
		editor.PutAdapter(spec)
	}
	return editor.Commit(1)
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func BenchmarkAdapterLookup(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			config := configWithAdapters(size)
			names := make([]string, 0, size)
			for spec := range config.AllAdapters() {
				names = append(names, spec.Name)
			}
			random := rand.New(rand.NewPCG(1, 2))
			random.Shuffle(len(names), func(left, right int) { names[left], names[right] = names[right], names[left] })
			b.ReportAllocs()
			index := 0
			for b.Loop() {
				config.Adapter(names[index%len(names)])
				index++
			}
		})
	}
}

func BenchmarkEdit(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			config := configWithAdapters(size)
			names := slices.Collect(func(yield func(string) bool) {
				for spec := range config.AllAdapters() {
					if !yield(spec.Name) {
						return
					}
				}
			})
			b.ReportAllocs()
			index := 0
			for b.Loop() {
				editor := config.Edit()
				editor.PutAdapter(AdapterSpec{
					Name: names[index*7919%len(names)], Service: "service-0", Versions: []uint32{1, 2}, DefaultVersion: 2,
				})
				config = editor.Commit(config.Version() + 1)
				index++
			}
		})
	}
}
