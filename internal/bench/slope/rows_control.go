package slope

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/demo"
	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
)

const (
	// sidesPerEntry is the ratio of 7,200 side processes to 420 entry instances,
	// the sizes in two years.
	sidesPerEntry = 17
	// requestRatePerSide is the number of requests a second for each side process:
	// 6,900 for 7,200 side processes.
	requestRatePerSide = 0.96
	// controlWindow is the time over which traffic is counted, and controlWarmup
	// the time before, in which connections are opened.
	controlWindow = 15 * time.Second
	controlWarmup = 4 * time.Second
	// fleetStartTimeout limits the start of a fleet.
	fleetStartTimeout = time.Minute
)

// controlEngines is the number of engines among the upstreams.
const controlEngines = 4

// controlDeployment returns a deployment with a number of upstreams and the
// request rate that they have in two years. Most requests go to plain services:
// their side processes draw tokens and report load as those of engines do, but
// need no adapter loads.
func controlDeployment(upstreams int) demo.Deployment {
	deployment := demo.Bonsai()
	deployment.Engines = controlEngines
	deployment.PlainUpstreams = upstreams - controlEngines
	deployment.Adapters = 50
	deployment.RequestRate = requestRatePerSide * float64(upstreams)
	deployment.KindWeights = [4]float64{0.01, 0.01, 0.01, 0.97}
	return deployment
}

// controlKinds are the kinds of traffic that make up the control traffic between
// hosts: among processes and with the platform.
var controlKinds = []string{kindList, kindLog, kindClaims, kindAppend, kindSync, kindDraw, kindProbe}

// controlTraffic measures the control traffic of fleets of several sizes, idle
// and under load. sizes are numbers of side processes.
func controlTraffic(ctx context.Context, sizes []float64) ([]series, error) {
	seriesBySuffix := map[string]*series{}
	var suffixes []string
	addPoint := func(suffix, unit string, processes, value float64) {
		if seriesBySuffix[suffix] == nil {
			seriesBySuffix[suffix] = &series{suffix: suffix, unit: unit}
			suffixes = append(suffixes, suffix)
		}
		seriesBySuffix[suffix].points = append(seriesBySuffix[suffix].points, Point{processes, value})
	}
	for _, size := range sizes {
		if err := measureControl(ctx, int(size), addPoint); err != nil {
			return nil, err
		}
	}
	slices.Sort(suffixes)
	result := make([]series, 0, len(suffixes))
	for _, suffix := range suffixes {
		result = append(result, *seriesBySuffix[suffix])
	}
	return result, nil
}

func measureControl(ctx context.Context, sides int, addPoint func(suffix, unit string, processes, value float64)) error {
	network := demo.NewMemoryNetwork()
	counter := newCounter()
	entries := max(1, sides/sidesPerEntry)
	fleet, err := demo.NewFleet(demo.FleetConfig{
		Deployment: controlDeployment(sides), Network: countedNetwork{network, counter}, Policy: "default", Entries: entries, Seed: 1,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	startCtx, cancel := context.WithTimeout(ctx, fleetStartTimeout)
	defer cancel()
	if err := fleet.Start(startCtx); err != nil {
		return fmt.Errorf("the fleet did not become ready: %w", err)
	}
	processes := entries + sides
	window := traffic{processes: processes, seconds: controlWindow.Seconds()}
	sleep(ctx, controlWarmup)
	counter.takeCounts()
	sleep(ctx, controlWindow)
	window.counts = counter.takeCounts()
	window.addPoints("-idle", addPoint)

	generator := reqgen.New(reqgen.Config{
		EntryURLs: fleet.EntryURLs, Plan: fleet.Plan(), Seed: 1, ExpectedToken: demo.ExpectedToken,
		Client: &http.Client{Transport: &http.Transport{DialContext: network.DialContext, MaxIdleConnsPerHost: 256}},
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		generator.Run(ctx, controlWarmup+controlWindow)
	}()
	sleep(ctx, controlWarmup)
	counter.takeCounts()
	before := generator.Report().Total().Completed
	sleep(ctx, controlWindow)
	window.counts = counter.takeCounts()
	window.requests = float64(generator.Report().Total().Completed - before)
	<-done
	window.addPoints("-loaded", addPoint)
	return ctx.Err()
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// traffic is the traffic of a fleet over a period. processes, seconds and
// requests are set only where addPoints uses them.
type traffic struct {
	counts    map[trafficKey]trafficCount
	processes int
	seconds   float64
	requests  float64
}

// addPoints adds the bytes a second of the mean process for each kind, and the
// draw traffic of the process that receives the most of it. Traffic between two
// processes counts for both.
func (traffic traffic) addPoints(prefix string, addPoint func(suffix, unit string, processes, value float64)) {
	processes := float64(traffic.processes)
	perProcessSecond := 1 / traffic.seconds / processes
	total := 0.0
	for _, kind := range controlKinds {
		rate, count := 0.0, traffic.total(kind)
		rate = float64(count.sent+count.received) * perProcessSecond
		if slices.Contains([]string{kindSync, kindDraw, kindProbe}, kind) {
			rate *= 2
		}
		total += rate
		addPoint(prefix+"-"+kind, "B/s", processes, rate)
	}
	addPoint(prefix+"-total", "B/s", processes, total)
	syncs := traffic.total(kindSync)
	addPoint(prefix+"-sync-calls", "calls/s", processes, float64(syncs.calls)*perProcessSecond)
	addPoint(prefix+"-sync-dials", "dials/s", processes, float64(syncs.dials)*perProcessSecond)
	state := traffic.total(kindState)
	addPoint(prefix+"-engine-state", "B/s", processes, float64(state.sent+state.received)*perProcessSecond)
	if traffic.requests > 0 {
		draws := traffic.total(kindDraw)
		addPoint(prefix+"-draw-calls", "calls/request", processes, float64(draws.calls)/traffic.requests)
		addPoint(prefix+"-draw-dials", "dials/request", processes, float64(draws.dials)/traffic.requests)
		busiest, addresses := traffic.busiestAddress(kindDraw)
		addPoint(prefix+"-draw-busiest-host", "B/s", processes, float64(busiest.sent+busiest.received)/traffic.seconds)
		addPoint(prefix+"-draw-busiest-calls", "calls/s", processes, float64(busiest.calls)/traffic.seconds)
		addPoint(prefix+"-draw-hosts", "hosts", processes, float64(addresses))
		addPoint(prefix+"-requests", "requests/s", processes, traffic.requests/traffic.seconds)
	}
}

// total returns the sum of a kind over all addresses.
func (traffic traffic) total(kind string) trafficCount {
	var sum trafficCount
	for key, counted := range traffic.counts {
		if key.kind == kind {
			sum.sent += counted.sent
			sum.received += counted.received
			sum.calls += counted.calls
			sum.dials += counted.dials
		}
	}
	return sum
}

// busiestAddress returns the traffic of the address that has the most bytes of a
// kind, and the number of addresses that have any.
func (traffic traffic) busiestAddress(kind string) (trafficCount, int) {
	var busiest trafficCount
	addresses := 0
	for key, counted := range traffic.counts {
		if key.kind != kind {
			continue
		}
		addresses++
		if counted.sent+counted.received > busiest.sent+busiest.received {
			busiest = counted
		}
	}
	return busiest, addresses
}

func init() {
	register(row{
		name: "control", description: "control traffic of the mean process, payload of TCP, without TLS", unit: "B/s", sizeName: "processes",
		sizes: []float64{34, 85, 170, 272}, measureAll: controlTraffic,
	})
}
