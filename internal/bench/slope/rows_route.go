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

// newRouter returns a router as the entry instance makes it, without expected
// numbers of upstreams and adapters.
func newRouter(upstreams int) (*policy.Router, error) {
	router, err := policy.New(policy.Config{FailureDomain: domainName(0), Seed: 1})
	if err != nil {
		return nil, err
	}
	router.SetMembers(members(upstreams), targetEntries)
	return router, nil
}

func routerMemory(_ context.Context, size float64) (float64, error) {
	list := members(int(size))
	bytes, _, err := heapOf(func() (*policy.Router, error) {
		router, err := policy.New(policy.Config{FailureDomain: domainName(0), Seed: 1})
		if err == nil {
			router.SetMembers(list, targetEntries)
		}
		return router, err
	})
	runtime.KeepAlive(list)
	return bytes, err
}

// popularityMemory returns the size of the table for a number of active
// adapters. It doubles at powers of two, so that the line only bounds it.
func popularityMemory(_ context.Context, size float64) (float64, error) {
	bytes, _, err := heapOf(func() (*ring.Popularity, error) {
		return ring.NewPopularity(ring.PopularityConfig{Adapters: int(size), HalfLife: time.Minute, Start: time.Now()}), nil
	})
	return bytes, err
}

// decision returns the time of one routing decision in ns, for adapters drawn
// from all of them.
func decision(_ context.Context, size float64) (float64, error) {
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
	return timePer(200_000, func(int) {
		chosen, _ := router.Choose(now, policy.Request{AdapterHash: hashes[random.IntN(len(hashes))], PromptTokens: 100})
		router.RequestEnded(chosen.Upstream)
	}), nil
}

// loadReport returns the time of storing a report with 64 loaded adapters in ns.
func loadReport(_ context.Context, size float64) (float64, error) {
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
	return timePer(200_000, func(index int) { router.UpdateLoad(now, names[index%len(names)], load) }), nil
}

// refresh returns the time in µs of comparing a router's members with the
// instance list, which an entry instance does twice a second.
func refresh(_ context.Context, size float64) (float64, error) {
	router, err := newRouter(int(size))
	if err != nil {
		return 0, err
	}
	list := members(int(size))
	return timePer(200, func(index int) {
		list[index%len(list)].Draining = index < len(list)
		router.SetMembers(list, targetEntries)
	}) / 1e3, nil
}

// rendezvous returns the time in µs of assigning an idempotency key.
func rendezvous(_ context.Context, size float64) (float64, error) {
	list := ids(int(size))
	key := make([]byte, 32)
	return timePer(2000, func(index int) {
		key[0], key[1] = byte(index), byte(index>>8)
		ring.Rendezvous(key, list, 0)
	}) / 1e3, nil
}

// ids returns the names of upstreams.
func ids(count int) []string {
	list := make([]string, count)
	for index := range list {
		list[index] = upstreamName(index)
	}
	return list
}

// healthMemory returns the live heap of a service's health records.
func healthMemory(_ context.Context, size float64) (float64, error) {
	list := ids(int(size))
	bytes, _, err := heapOf(func() (*health.Tracker, error) {
		service, err := health.New(health.Config{})
		if err == nil {
			service.SetUpstreams(list)
		}
		return service, err
	})
	runtime.KeepAlive(list)
	return bytes, err
}

// healthCheck returns the time of asking for an upstream's state in ns.
func healthCheck(_ context.Context, size float64) (float64, error) {
	list := ids(int(size))
	service, err := health.New(health.Config{})
	if err != nil {
		return 0, err
	}
	service.SetUpstreams(list)
	return timePer(200_000, func(index int) { service.State(list[index*7919%len(list)]) }), nil
}

func init() {
	quick := []float64{16, 32, 48, 64}
	register(
		row{name: "memory-router-upstream", what: "live heap of an entry instance's router", unit: "B",
			size: "upstreams", sizes: upstreamSizes, quick: quick, target: targetUpstreams, measure: routerMemory},
		row{name: "memory-health-upstream", what: "live heap of an entry instance's health records", unit: "B",
			size: "upstreams", sizes: upstreamSizes, quick: quick, target: targetUpstreams, measure: healthMemory},
		row{name: "time-health", what: "asking for the state of an upstream's health", unit: "ns",
			size: "upstreams", sizes: upstreamSizes, quick: quick, target: targetUpstreams, measure: healthCheck},
		row{name: "memory-popularity-adapter", what: "table of adapters' request rates at an entry instance; doubles at powers of two", unit: "B",
			size: "adapters with an entry", sizes: []float64{6553, 13107, 26214, 52428, 104857}, target: targetAdapters, measure: popularityMemory},
		row{name: "time-decision", what: "routing decision, adapters drawn evenly from 170,000", unit: "ns",
			size: "upstreams", sizes: upstreamSizes, quick: quick, target: targetUpstreams, measure: decision},
		row{name: "time-load-report", what: "storing a load report with 64 loaded adapters", unit: "ns",
			size: "upstreams", sizes: upstreamSizes, quick: quick, target: targetUpstreams, measure: loadReport},
		row{name: "time-members", what: "comparing a router's members with the list, one change", unit: "us",
			size: "upstreams", sizes: upstreamSizes, quick: []float64{128, 160, 192, 224}, target: targetUpstreams, measure: refresh},
		row{name: "time-rendezvous", what: "assigning an idempotency key to an upstream", unit: "us",
			size: "upstreams", sizes: upstreamSizes, quick: quick, target: targetUpstreams, measure: rendezvous},
	)
}
