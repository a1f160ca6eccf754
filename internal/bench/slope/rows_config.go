package slope

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
	"jacinthfront.dev/jacinthfront/internal/state/replay"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
)

var (
	adapterSizes  = []float64{20_000, 60_000, 110_000, 170_000}
	upstreamSizes = []float64{900, 1800, 3600, 5400, 7200}
)

// decodedHeap returns the bytes that a configuration of this size keeps alive
// when it is decoded from a snapshot, as in a newly started process.
func (configSize configSize) decodedHeap() (float64, error) {
	data, err := configSize.encoded()
	if err != nil {
		return 0, err
	}
	size, _, err := retainedHeap(func() (replay.State, error) { return codec.DecodeState(data) })
	runtime.KeepAlive(data)
	return size, err
}

func configHeapByAdapters(_ context.Context, size float64) (float64, error) {
	return configSize{organisations: 50, upstreams: 10, adapters: int(size)}.decodedHeap()
}

func configHeapByUpstreams(_ context.Context, size float64) (float64, error) {
	return configSize{organisations: 50, upstreams: int(size), adapters: 10}.decodedHeap()
}

func configHeapByOrganisations(_ context.Context, size float64) (float64, error) {
	return configSize{organisations: int(size), upstreams: 100, adapters: 10}.decodedHeap()
}

// patchTime returns the processor time in ms of applying a patch with one
// operation, where size is the number of adapters.
func patchTime(_ context.Context, size float64) (float64, error) {
	state := configSize{organisations: 50, upstreams: 100, adapters: int(size)}.state()
	replayer := replay.New()
	if !replayer.InstallState(state, 1) {
		return 0, fmt.Errorf("the state was not adopted")
	}
	const patches = 12
	nanoseconds, err := processTimePerCall(patches, func(index int) error {
		spec := adapterSpec(index, 50)
		spec.Versions = append(spec.Versions, 3)
		result, _ := replayer.ApplyPatch(uint64(index+1), patch.Patch{
			ID: fmt.Sprintf("patch-%d", index), BaseVersion: uint64(index + 1), Operator: "slope",
			Ops: []patch.Op{patch.PutAdapter{Adapter: spec}},
		})
		if result.Kind != patch.Accepted {
			return fmt.Errorf("patch %d: %v %s %s", index, result.Kind, result.Field, result.Reason)
		}
		return nil
	})
	return nanoseconds / 1e6, err
}

// patchMemory returns the memory in MB that a patch with one operation adds while
// the former version of the configuration is still in use.
func patchMemory(_ context.Context, size float64) (float64, error) {
	state := configSize{organisations: 50, upstreams: 100, adapters: int(size)}.state()
	bytes, _, err := retainedHeap(func() (*conf.Config, error) {
		editor := state.Config.Edit()
		editor.PutAdapter(adapterSpec(0, 50))
		return editor.Commit(2), nil
	})
	runtime.KeepAlive(state)
	return bytes / 1e6, err
}

// snapshotCosts measures the size in MB and the encode and decode time in ms of a
// snapshot.
func snapshotCosts(_ context.Context, sizes []float64) ([]series, error) {
	result := []series{{suffix: "-size", unit: "MB"}, {suffix: "-encode", unit: "ms"}, {suffix: "-decode", unit: "ms"}}
	for _, size := range sizes {
		state := configSize{organisations: 50, upstreams: 100, adapters: int(size)}.state()
		var encode, decode []float64
		var data []byte
		for range repeats {
			started := time.Now()
			var err error
			if data, err = codec.EncodeState(state); err != nil {
				return nil, err
			}
			replay.Split(1, 1, data)
			encode = append(encode, milliseconds(time.Since(started)))
			started = time.Now()
			if _, err = codec.DecodeState(data); err != nil {
				return nil, err
			}
			decode = append(decode, milliseconds(time.Since(started)))
		}
		for index, value := range []float64{float64(len(data)) / 1e6, median(encode), median(decode)} {
			result[index].points = append(result[index].points, Point{size, value})
		}
	}
	return result, nil
}

func milliseconds(duration time.Duration) float64 { return float64(duration) / 1e6 }

func init() {
	register(
		row{name: "memory-config-adapter", description: "live heap of model.Config decoded from a snapshot", unit: "B",
			sizeName: "adapters", sizes: adapterSizes, quickSizes: []float64{500, 1000, 1500, 2000}, target: targetAdapters, measure: configHeapByAdapters},
		row{name: "memory-config-upstream", description: "live heap of model.Config decoded from a snapshot", unit: "B",
			sizeName: "upstreams", sizes: upstreamSizes, target: targetUpstreams, measure: configHeapByUpstreams},
		row{name: "memory-config-organisation", description: "live heap of model.Config, with 8 shards and one key each", unit: "B",
			sizeName: "organisations", sizes: []float64{100, 500, 1000, 2000}, measure: configHeapByOrganisations},
		row{name: "time-config-change", description: "fold of a patch with one operation on an adapter", unit: "ms",
			sizeName: "adapters", sizes: adapterSizes, quickSizes: []float64{500, 1000, 1500, 2000}, target: targetAdapters, measure: patchTime},
		row{name: "memory-config-change", description: "heap of the next version while the former one is in use", unit: "MB",
			sizeName: "adapters", sizes: adapterSizes, target: targetAdapters, measure: patchMemory},
		row{name: "snapshot", description: "snapshot of the configuration", sizeName: "adapters", sizes: adapterSizes,
			quickSizes: []float64{500, 1000, 1500, 2000}, target: targetAdapters, measureAll: snapshotCosts},
	)
}
