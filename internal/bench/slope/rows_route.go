package slope

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/health"
	"jacinthfront.dev/jacinthfront/internal/flow/policy"
	"jacinthfront.dev/jacinthfront/internal/flow/ring"
)

// newRouter returns a router as an entry instance creates it, without expected
// numbers of upstreams and adapters.
func newRouter(upstreams int) (*policy.Router, error) {
	router, err := policy.New(policy.Config{FailureDomain: domainName(0), Seed: 1})
	if err != nil {
		return nil, err
	}
	router.SetMembers(routerMembers(upstreams), targetEntries)
	return router, nil
}

func routerHeap(_ context.Context, size float64) (float64, error) {
	list := routerMembers(int(size))
	bytes, _, err := retainedHeap(func() (*policy.Router, error) {
		router, err := policy.New(policy.Config{FailureDomain: domainName(0), Seed: 1})
		if err == nil {
			router.SetMembers(list, targetEntries)
		}
		return router, err
	})
	runtime.KeepAlive(list)
	return bytes, err
}

// popularityHeap returns the bytes of the table of request rates for a number of
// active adapters. The table's size doubles, and the row's sizes are about the
// largest for each table size, so that the line is a lower bound.
func popularityHeap(_ context.Context, size float64) (float64, error) {
	bytes, _, err := retainedHeap(func() (*ring.Popularity, error) {
		return ring.NewPopularity(ring.PopularityConfig{Adapters: int(size), HalfLife: time.Minute, Start: time.Now()}), nil
	})
	return bytes, err
}

// decisionTime returns the processor time in ns of one routing decision, for
// adapters drawn evenly from targetAdapters.
func decisionTime(_ context.Context, size float64) (float64, error) {
	router, err := newRouter(int(size))
	if err != nil {
		return 0, err
	}
	hashes := make([]uint64, targetAdapters)
	for index := range hashes {
		hashes[index] = ring.AdapterHash(adapterName(index), 2)
	}
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Now()
	return threadTimePerCall(200_000, func(int) {
		chosen, _ := router.Choose(now, policy.Request{AdapterHash: hashes[random.IntN(len(hashes))], PromptTokens: 100})
		router.RequestEnded(chosen.Upstream)
	}), nil
}

// loadReportTime returns the processor time in ns of storing a load report with
// 64 loaded adapters.
func loadReportTime(_ context.Context, size float64) (float64, error) {
	router, err := newRouter(int(size))
	if err != nil {
		return 0, err
	}
	loaded := make([]uint64, 64)
	for index := range loaded {
		loaded[index] = ring.AdapterHash(adapterName(index), 2)
	}
	names := make([]string, int(size))
	for index := range names {
		names[index] = upstreamName(index)
	}
	now := time.Now()
	load := policy.LoadReport{Incarnation: 1, Running: 8, Slots: 64, LoadedAdapters: loaded}
	return threadTimePerCall(200_000, func(index int) { router.UpdateLoad(now, names[index%len(names)], load) }), nil
}

// setMembersTime returns the processor time in µs of comparing a router's members
// with the instance list, which an entry instance does twice a second.
func setMembersTime(_ context.Context, size float64) (float64, error) {
	router, err := newRouter(int(size))
	if err != nil {
		return 0, err
	}
	list := routerMembers(int(size))
	return threadTimePerCall(200, func(index int) {
		list[index%len(list)].Draining = index < len(list)
		router.SetMembers(list, targetEntries)
	}) / 1e3, nil
}

// rendezvousTime returns the processor time in µs of assigning an idempotency key
// to one of size upstreams by rendezvous hashing.
func rendezvousTime(_ context.Context, size float64) (float64, error) {
	list := upstreamIDs(int(size))
	key := make([]byte, 32)
	return threadTimePerCall(2000, func(index int) {
		key[0], key[1] = byte(index), byte(index>>8)
		ring.Rendezvous(key, list, 0)
	}) / 1e3, nil
}

// upstreamIDs returns the IDs of a number of upstreams.
func upstreamIDs(count int) []string {
	list := make([]string, count)
	for index := range list {
		list[index] = upstreamName(index)
	}
	return list
}

// healthHeap returns the bytes of the health records of a service's upstreams.
func healthHeap(_ context.Context, size float64) (float64, error) {
	list := upstreamIDs(int(size))
	bytes, _, err := retainedHeap(func() (*health.Tracker, error) {
		tracker, err := health.New(health.Config{})
		if err == nil {
			tracker.SetUpstreams(list)
		}
		return tracker, err
	})
	runtime.KeepAlive(list)
	return bytes, err
}

// healthStateTime returns the processor time in ns of reading the health state of
// an upstream.
func healthStateTime(_ context.Context, size float64) (float64, error) {
	list := upstreamIDs(int(size))
	tracker, err := health.New(health.Config{})
	if err != nil {
		return 0, err
	}
	tracker.SetUpstreams(list)
	return threadTimePerCall(200_000, func(index int) { tracker.State(list[index*7919%len(list)]) }), nil
}

func init() {
	quick := []float64{16, 32, 48, 64}
	register(
		row{name: "memory-router-upstream", description: "live heap of an entry instance's router", unit: "B",
			sizeName: "upstreams", sizes: upstreamSizes, quickSizes: quick, target: targetUpstreams, measure: routerHeap},
		row{name: "memory-health-upstream", description: "live heap of an entry instance's health records", unit: "B",
			sizeName: "upstreams", sizes: upstreamSizes, quickSizes: quick, target: targetUpstreams, measure: healthHeap},
		row{name: "time-health", description: "asking for the state of an upstream's health", unit: "ns",
			sizeName: "upstreams", sizes: upstreamSizes, quickSizes: quick, target: targetUpstreams, measure: healthStateTime},
		row{name: "memory-popularity-adapter", description: "table of adapters' request rates at an entry instance; doubles at powers of two", unit: "B",
			sizeName: "adapters with an entry", sizes: []float64{6553, 13107, 26214, 52428, 104857}, target: targetAdapters, measure: popularityHeap},
		row{name: "time-decision", description: "routing decision, adapters drawn evenly from 170,000", unit: "ns",
			sizeName: "upstreams", sizes: upstreamSizes, quickSizes: quick, target: targetUpstreams, measure: decisionTime},
		row{name: "time-load-report", description: "storing a load report with 64 loaded adapters", unit: "ns",
			sizeName: "upstreams", sizes: upstreamSizes, quickSizes: quick, target: targetUpstreams, measure: loadReportTime},
		row{name: "time-members", description: "comparing a router's members with the list, one change", unit: "us",
			sizeName: "upstreams", sizes: upstreamSizes, quickSizes: []float64{128, 160, 192, 224}, target: targetUpstreams, measure: setMembersTime},
		row{name: "time-rendezvous", description: "assigning an idempotency key to an upstream", unit: "us",
			sizeName: "upstreams", sizes: upstreamSizes, quickSizes: quick, target: targetUpstreams, measure: rendezvousTime},
	)
}
