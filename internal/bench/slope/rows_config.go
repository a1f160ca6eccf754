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

// decoded returns the bytes that a configuration of a shape keeps alive. It is
// decoded from a snapshot, as in a fresh process.
func (shape shape) decoded() (float64, error) {
	data, err := shape.encoded()
	if err != nil {
		return 0, err
	}
	size, _, err := heapOf(func() (replay.State, error) { return codec.DecodeState(data) })
	runtime.KeepAlive(data)
	return size, err
}

func configByAdapters(_ context.Context, size float64) (float64, error) {
	return shape{organisations: 50, upstreams: 10, adapters: int(size)}.decoded()
}

func configByUpstreams(_ context.Context, size float64) (float64, error) {
	return shape{organisations: 50, upstreams: int(size), adapters: 10}.decoded()
}

func configByOrganisations(_ context.Context, size float64) (float64, error) {
	return shape{organisations: int(size), upstreams: 100, adapters: 10}.decoded()
}

// foldPatch returns the time in ms that a process needs for a patch with one
// operation.
func foldPatch(_ context.Context, size float64) (float64, error) {
	state := shape{organisations: 50, upstreams: 100, adapters: int(size)}.state()
	folding := replay.New()
	if !folding.InstallState(state, 1) {
		return 0, fmt.Errorf("the state was not adopted")
	}
	const patches = 12
	nanoseconds, err := processorPer(patches, func(index int) error {
		spec := adapterSpec(index, 50)
		spec.Versions = append(spec.Versions, 3)
		result, _ := folding.ApplyPatch(uint64(index+1), patch.Patch{
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

// foldPatchMemory returns what one patch with one operation allocates, in MB: the
// former version stays alive while readers hold it.
func foldPatchMemory(_ context.Context, size float64) (float64, error) {
	state := shape{organisations: 50, upstreams: 100, adapters: int(size)}.state()
	bytes, _, err := heapOf(func() (*conf.Config, error) {
		editor := state.Config.Edit()
		editor.PutAdapter(adapterSpec(0, 50))
		return editor.Commit(2), nil
	})
	runtime.KeepAlive(state)
	return bytes / 1e6, err
}

// snapshot returns size in MB and encode and decode time in ms of a snapshot.
func snapshot(_ context.Context, sizes []float64) ([]series, error) {
	result := []series{{suffix: "-size", unit: "MB"}, {suffix: "-encode", unit: "ms"}, {suffix: "-decode", unit: "ms"}}
	for _, size := range sizes {
		state := shape{organisations: 50, upstreams: 100, adapters: int(size)}.state()
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
		row{name: "memory-config-adapter", what: "live heap of model.Config decoded from a snapshot", unit: "B",
			size: "adapters", sizes: adapterSizes, quick: []float64{500, 1000, 1500, 2000}, target: targetAdapters, measure: configByAdapters},
		row{name: "memory-config-upstream", what: "live heap of model.Config decoded from a snapshot", unit: "B",
			size: "upstreams", sizes: upstreamSizes, target: targetUpstreams, measure: configByUpstreams},
		row{name: "memory-config-organisation", what: "live heap of model.Config, with 8 shards and one key each", unit: "B",
			size: "organisations", sizes: []float64{100, 500, 1000, 2000}, measure: configByOrganisations},
		row{name: "time-config-change", what: "fold of a patch with one operation on an adapter", unit: "ms",
			size: "adapters", sizes: adapterSizes, quick: []float64{500, 1000, 1500, 2000}, target: targetAdapters, measure: foldPatch},
		row{name: "memory-config-change", what: "heap of the next version while the former one is in use", unit: "MB",
			size: "adapters", sizes: adapterSizes, target: targetAdapters, measure: foldPatchMemory},
		row{name: "snapshot", what: "snapshot of the configuration", size: "adapters", sizes: adapterSizes,
			quick: []float64{500, 1000, 1500, 2000}, target: targetAdapters, all: snapshot},
	)
}
