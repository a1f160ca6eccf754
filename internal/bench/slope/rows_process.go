package slope

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

const (
	// idleWindow is the time over which the processor time of an idle process is
	// measured.
	idleWindow = 10 * time.Second
	// settleDuration is the time in which a new process returns the memory that its
	// start needed.
	settleDuration = 3 * time.Second
	// patchCount is the number of patches whose processor time is measured, and
	// patchInterval the time between two of them.
	patchCount    = 100
	patchInterval = 50 * time.Millisecond
)

// table collects the points of several costs by the suffix of their names.
type table struct {
	suffixes []string
	series   map[string]*series
}

func (table *table) add(suffix, unit string, size, value float64) {
	if table.series == nil {
		table.series = map[string]*series{}
	}
	if table.series[suffix] == nil {
		table.series[suffix] = &series{suffix: suffix, unit: unit}
		table.suffixes = append(table.suffixes, suffix)
	}
	table.series[suffix].points = append(table.series[suffix].points, Point{size, value})
}

func (table *table) list() []series {
	list := make([]series, 0, len(table.suffixes))
	for _, suffix := range table.suffixes {
		list = append(list, *table.series[suffix])
	}
	return list
}

// processCosts measures an entry instance and a side process of the real binary
// with configurations of several sizes. configOf returns the configuration and
// the number of listed instances for a size.
func processCosts(configOf func(size float64) (config configSize, instances int)) func(context.Context, []float64) ([]series, error) {
	return func(ctx context.Context, sizes []float64) ([]series, error) {
		var table table
		for _, size := range sizes {
			config, instances := configOf(size)
			if err := measureProcesses(ctx, config, instances, size, &table); err != nil {
				return nil, err
			}
		}
		return table.list(), nil
	}
}

func measureProcesses(ctx context.Context, config configSize, instances int, size float64, table *table) error {
	environment, err := newEnvironment(ctx, config)
	if err != nil {
		return err
	}
	defer environment.close()
	// The other instances don't exist: their address refuses connections.
	for _, instance := range instanceList(instances) {
		instance.Address = "127.0.0.1:1"
		if instance.Upstream == upstreamName(0) {
			continue
		}
		if err := environment.platform.PutInstance(instance); err != nil {
			return err
		}
	}
	roles := []string{"side", "entry"}
	running := map[string]*osProcess{}
	for _, role := range roles {
		environment.counter.takeCounts()
		if role == "side" {
			running[role], err = environment.startSide(ctx, upstreamName(0), environment.url, 1)
		} else {
			running[role], err = environment.startEntry(ctx)
		}
		if err != nil {
			return err
		}
		logTraffic := traffic{counts: environment.counter.takeCounts()}.total(kindLog)
		table.add("-"+role+"-start", "s", size, running[role].startup.Seconds())
		table.add("-"+role+"-start-log", "MB", size, float64(logTraffic.received)/1e6)
	}
	sleep(ctx, settleDuration)
	for _, role := range roles {
		if err := measureIdle(ctx, running[role], "-"+role, size, table); err != nil {
			return err
		}
	}
	return measurePatches(ctx, environment, roles, running, size, table)
}

// measureIdle measures memory and processor time of an idle process.
func measureIdle(ctx context.Context, process *osProcess, prefix string, size float64, table *table) error {
	before, err := process.cpuTime()
	if err != nil {
		return err
	}
	sleep(ctx, idleWindow)
	after, err := process.cpuTime()
	if err != nil {
		return err
	}
	table.add(prefix+"-idle", "% of a core", size, 100*(after-before).Seconds()/idleWindow.Seconds())
	for suffix, field := range map[string]string{"-resident": "VmRSS", "-private": "RssAnon", "-peak": "VmHWM"} {
		value, err := process.statusBytes(field)
		if err != nil {
			return err
		}
		table.add(prefix+suffix, "MB", size, value/1e6)
	}
	return nil
}

// measurePatches measures the processor time for each patch. The idle processor
// time in the same period is not subtracted, since it is below the standard
// deviation of the residuals.
func measurePatches(ctx context.Context, environment *environment, roles []string, running map[string]*osProcess, size float64, table *table) error {
	before := map[string]time.Duration{}
	for _, role := range roles {
		var err error
		if before[role], err = running[role].cpuTime(); err != nil {
			return err
		}
	}
	for index := range patchCount {
		spec := adapterSpec(0, 1)
		spec.Versions = append(spec.Versions, uint32(index+3))
		if err := environment.publishPatch(patch.PutAdapter{Adapter: spec}); err != nil {
			return err
		}
		sleep(ctx, patchInterval)
	}
	sleep(ctx, time.Second)
	for _, role := range roles {
		after, err := running[role].cpuTime()
		if err != nil {
			return err
		}
		table.add("-"+role+"-change", "ms", size, milliseconds(after-before[role])/patchCount)
		peak, err := running[role].statusBytes("VmHWM")
		if err != nil {
			return err
		}
		table.add("-"+role+"-change-peak", "MB", size, peak/1e6)
	}
	return nil
}

func byAdapters(size float64) (config configSize, instances int) {
	return configSize{organisations: 50, upstreams: 10, adapters: int(size)}, 10
}

func byUpstreams(size float64) (config configSize, instances int) {
	return configSize{organisations: 50, upstreams: int(size), adapters: 1000}, int(size) * targetInstances / targetUpstreams
}

// byScale returns the configuration in two years, scaled to size percent.
func byScale(size float64) (config configSize, instances int) {
	return configSize{
		organisations: 50, upstreams: int(size) * targetUpstreams / 100, adapters: int(size) * targetAdapters / 100,
	}, int(size) * targetInstances / 100
}

func init() {
	register(
		row{name: "process-scale", description: "real binary with 50 organisations and parts of 170,000 adapters, 7,200 upstreams and 7,620 instances",
			unit: "MB", sizeName: "percent of the size in two years", sizes: []float64{25, 50, 75, 100}, target: 100, measureAll: processCosts(byScale)},
		row{name: "process-adapters", description: "real binary with 10 upstreams and 50 organisations", unit: "MB",
			sizeName: "adapters", sizes: append([]float64{1000}, adapterSizes...), target: targetAdapters, measureAll: processCosts(byAdapters)},
		row{name: "process-upstreams", description: "real binary with 1,000 adapters, 50 organisations and all instances listed", unit: "MB",
			sizeName: "upstreams", sizes: []float64{10, 1800, 3600, 5400, 7200}, target: targetUpstreams, measureAll: processCosts(byUpstreams)},
	)
}
