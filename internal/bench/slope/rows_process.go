package slope

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

const (
	// idleTime is the time over which an idle process is watched.
	idleTime = 10 * time.Second
	// settleTime lets a fresh process give back what its start needed.
	settleTime = 3 * time.Second
	// changes is the number of patches published while processes are watched,
	// one each changeGap.
	changes   = 100
	changeGap = 50 * time.Millisecond
)

// table collects the points of several costs.
type table struct {
	order  []string
	series map[string]*series
}

func (table *table) add(suffix, unit string, size, value float64) {
	if table.series == nil {
		table.series = map[string]*series{}
	}
	if table.series[suffix] == nil {
		table.series[suffix] = &series{suffix: suffix, unit: unit}
		table.order = append(table.order, suffix)
	}
	table.series[suffix].points = append(table.series[suffix].points, Point{size, value})
}

func (table *table) list() []series {
	list := make([]series, 0, len(table.order))
	for _, suffix := range table.order {
		list = append(list, *table.series[suffix])
	}
	return list
}

// processes measures an entry instance and a side process of the real binary
// with configurations of several shapes.
func processes(build func(size float64) (state shape, listed int)) func(context.Context, []float64) ([]series, error) {
	return func(ctx context.Context, sizes []float64) ([]series, error) {
		var table table
		for _, size := range sizes {
			state, listed := build(size)
			if err := processesOf(ctx, state, listed, size, &table); err != nil {
				return nil, err
			}
		}
		return table.list(), nil
	}
}

func processesOf(ctx context.Context, state shape, instances int, size float64, table *table) error {
	ground, err := newGround(ctx, state)
	if err != nil {
		return err
	}
	defer ground.close()
	// The other instances are listed at an address that refuses connections.
	for _, instance := range listed(instances) {
		instance.Address = "127.0.0.1:1"
		if instance.Upstream == upstreamName(0) {
			continue
		}
		if err := ground.platform.PutInstance(instance); err != nil {
			return err
		}
	}
	roles := []string{"side", "entry"}
	running := map[string]*osProcess{}
	for _, role := range roles {
		ground.counter.take()
		if role == "side" {
			running[role], err = ground.startSide(ctx, upstreamName(0), ground.url, 1)
		} else {
			running[role], err = ground.startEntry(ctx)
		}
		if err != nil {
			return err
		}
		started := traffic{flows: ground.counter.take()}.kind(kindLog)
		table.add("-"+role+"-start", "s", size, running[role].startup.Seconds())
		table.add("-"+role+"-start-log", "MB", size, float64(started.received)/1e6)
	}
	sleep(ctx, settleTime)
	for _, role := range roles {
		if err := watch(ctx, running[role], "-"+role, size, table); err != nil {
			return err
		}
	}
	return watchChanges(ctx, ground, roles, running, size, table)
}

// watch notes memory and processor time of an idle process.
func watch(ctx context.Context, process *osProcess, prefix string, size float64, table *table) error {
	before, err := process.processor()
	if err != nil {
		return err
	}
	sleep(ctx, idleTime)
	after, err := process.processor()
	if err != nil {
		return err
	}
	table.add(prefix+"-idle", "% of a core", size, 100*(after-before).Seconds()/idleTime.Seconds())
	for suffix, field := range map[string]string{"-resident": "VmRSS", "-private": "RssAnon", "-peak": "VmHWM"} {
		value, err := process.status(field)
		if err != nil {
			return err
		}
		table.add(prefix+suffix, "MB", size, value/1e6)
	}
	return nil
}

// watchChanges notes the processor time for each patch. What an idle process
// uses in the same time is below the spread.
func watchChanges(ctx context.Context, ground *ground, roles []string, running map[string]*osProcess, size float64, table *table) error {
	before := map[string]time.Duration{}
	for _, role := range roles {
		var err error
		if before[role], err = running[role].processor(); err != nil {
			return err
		}
	}
	for index := range changes {
		spec := adapterSpec(0, 1)
		spec.Versions = append(spec.Versions, uint32(index+3))
		if err := ground.publish(patch.PutAdapter{Adapter: spec}); err != nil {
			return err
		}
		sleep(ctx, changeGap)
	}
	sleep(ctx, time.Second)
	for _, role := range roles {
		after, err := running[role].processor()
		if err != nil {
			return err
		}
		table.add("-"+role+"-change", "ms", size, milliseconds(after-before[role])/changes)
		peak, err := running[role].status("VmHWM")
		if err != nil {
			return err
		}
		table.add("-"+role+"-change-peak", "MB", size, peak/1e6)
	}
	return nil
}

func byAdapters(size float64) (state shape, instances int) {
	return shape{organisations: 50, upstreams: 10, adapters: int(size)}, 10
}

func byUpstreams(size float64) (state shape, instances int) {
	return shape{organisations: 50, upstreams: int(size), adapters: 1000}, int(size) * targetInstances / targetUpstreams
}

// byScale returns a part of the configuration in two years, in percent.
func byScale(size float64) (state shape, instances int) {
	return shape{
		organisations: 50, upstreams: int(size) * targetUpstreams / 100, adapters: int(size) * targetAdapters / 100,
	}, int(size) * targetInstances / 100
}

func init() {
	register(
		row{name: "process-scale", what: "real binary with 50 organisations and parts of 170,000 adapters, 7,200 upstreams and 7,620 instances",
			unit: "MB", size: "percent of the size in two years", sizes: []float64{25, 50, 75, 100}, target: 100, all: processes(byScale)},
		row{name: "process-adapters", what: "real binary with 10 upstreams and 50 organisations", unit: "MB",
			size: "adapters", sizes: append([]float64{1000}, adapterSizes...), target: targetAdapters, all: processes(byAdapters)},
		row{name: "process-upstreams", what: "real binary with 1,000 adapters, 50 organisations and all instances listed", unit: "MB",
			size: "upstreams", sizes: []float64{10, 1800, 3600, 5400, 7200}, target: targetUpstreams, all: processes(byUpstreams)},
	)
}
