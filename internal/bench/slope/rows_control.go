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
	// sidesPerEntry is the ratio of 7,200 side processes to 420 entry instances.
	sidesPerEntry = 17
	// sideRequests is the requests a second of one side process: 6,900 over 7,200.
	sideRequests = 0.96
	// controlTime is the time over which traffic is counted, and controlSettle
	// the time before it in which connections are opened.
	controlTime   = 15 * time.Second
	controlSettle = 4 * time.Second
	// startLimit bounds the start of a fleet.
	startLimit = time.Minute
)

// controlRunners is the number of engines among the upstreams.
const controlRunners = 4

// controlDeployment returns a deployment with a number of upstreams and the
// requests that these have in two years. Most requests go to plain services,
// which draw tokens and report loads as engines do but need no adapter loads.
func controlDeployment(upstreams int) demo.Deployment {
	deployment := demo.Bonsai()
	deployment.Engines = controlRunners
	deployment.PlainUpstreams = upstreams - controlRunners
	deployment.Adapters = 50
	deployment.RequestRate = sideRequests * float64(upstreams)
	deployment.Mix = [4]float64{0.01, 0.01, 0.01, 0.97}
	return deployment
}

// controlKinds are the kinds that count as control traffic between hosts.
var controlKinds = []string{kindList, kindLog, kindClaims, kindAppend, kindSync, kindDraw, kindProbe}

// control counts the control traffic of fleets without and with load.
func control(ctx context.Context, sizes []float64) ([]series, error) {
	totals := map[string]*series{}
	var order []string
	note := func(suffix, unit string, processes, value float64) {
		if totals[suffix] == nil {
			totals[suffix] = &series{suffix: suffix, unit: unit}
			order = append(order, suffix)
		}
		totals[suffix].points = append(totals[suffix].points, Point{processes, value})
	}
	for _, size := range sizes {
		if err := controlOf(ctx, int(size), note); err != nil {
			return nil, err
		}
	}
	slices.Sort(order)
	result := make([]series, 0, len(order))
	for _, suffix := range order {
		result = append(result, *totals[suffix])
	}
	return result, nil
}

func controlOf(ctx context.Context, sides int, note func(suffix, unit string, processes, value float64)) error {
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
	starting, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := fleet.Start(starting); err != nil {
		return fmt.Errorf("the fleet did not become ready: %w", err)
	}
	processes := entries + sides
	window := traffic{processes: processes, seconds: controlTime.Seconds()}
	sleep(ctx, controlSettle)
	counter.take()
	sleep(ctx, controlTime)
	window.flows = counter.take()
	window.report("-idle", note)

	generator := reqgen.New(reqgen.Config{
		EntryURLs: fleet.EntryURLs, Plan: fleet.Plan(), Seed: 1, ExpectedToken: demo.ExpectedToken,
		Client: &http.Client{Transport: &http.Transport{DialContext: network.DialContext, MaxIdleConnsPerHost: 256}},
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		generator.Run(ctx, controlSettle+controlTime)
	}()
	sleep(ctx, controlSettle)
	counter.take()
	before := generator.Report().Total().Completed
	sleep(ctx, controlTime)
	window.flows = counter.take()
	window.requests = float64(generator.Report().Total().Completed - before)
	<-done
	window.report("-loaded", note)
	return ctx.Err()
}

func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// traffic is what a fleet sent in a time.
type traffic struct {
	flows     map[flowKey]flow
	processes int
	seconds   float64
	requests  float64
}

// report notes bytes a second of the mean process for each kind, counted at
// both ends of connections between processes, and those of the process that
// receives the most draws.
func (traffic traffic) report(load string, note func(suffix, unit string, processes, value float64)) {
	processes := float64(traffic.processes)
	scale := 1 / traffic.seconds / processes
	sum := 0.0
	for _, kind := range controlKinds {
		value, all := 0.0, traffic.kind(kind)
		value = float64(all.sent+all.received) * scale
		if slices.Contains([]string{kindSync, kindDraw, kindProbe}, kind) {
			value *= 2
		}
		sum += value
		note(load+"-"+kind, "B/s", processes, value)
	}
	note(load+"-total", "B/s", processes, sum)
	sync := traffic.kind(kindSync)
	note(load+"-sync-calls", "calls/s", processes, float64(sync.calls)*scale)
	note(load+"-sync-dials", "dials/s", processes, float64(sync.dials)*scale)
	state := traffic.kind(kindState)
	note(load+"-engine-state", "B/s", processes, float64(state.sent+state.received)*scale)
	if traffic.requests > 0 {
		draws := traffic.kind(kindDraw)
		note(load+"-draw-calls", "calls/request", processes, float64(draws.calls)/traffic.requests)
		note(load+"-draw-dials", "dials/request", processes, float64(draws.dials)/traffic.requests)
		busiest, hosts := traffic.busiest(kindDraw)
		note(load+"-draw-busiest-host", "B/s", processes, float64(busiest.sent+busiest.received)/traffic.seconds)
		note(load+"-draw-busiest-calls", "calls/s", processes, float64(busiest.calls)/traffic.seconds)
		note(load+"-draw-hosts", "hosts", processes, float64(hosts))
		note(load+"-requests", "requests/s", processes, traffic.requests/traffic.seconds)
	}
}

// kind returns the sum of a kind over all addresses.
func (traffic traffic) kind(kind string) flow {
	var sum flow
	for key, counted := range traffic.flows {
		if key.kind == kind {
			sum.sent += counted.sent
			sum.received += counted.received
			sum.calls += counted.calls
			sum.dials += counted.dials
		}
	}
	return sum
}

// busiest returns the traffic of the address with the most of a kind, and the
// number of addresses with any.
func (traffic traffic) busiest(kind string) (flow, int) {
	var most flow
	hosts := 0
	for key, counted := range traffic.flows {
		if key.kind != kind {
			continue
		}
		hosts++
		if counted.sent+counted.received > most.sent+most.received {
			most = counted
		}
	}
	return most, hosts
}

func init() {
	register(row{
		name: "control", what: "control traffic of the mean process, payload of TCP, without TLS", unit: "B/s", size: "processes",
		sizes: []float64{34, 85, 170, 272}, all: control,
	})
}
