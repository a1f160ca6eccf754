package quota

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

// schedule is one simulated run of a cluster, derived from its seed.
type schedule struct {
	seed      uint64
	duration  time.Duration
	shards    int
	processes int
	rate      conf.Tokens
	burst     conf.Tokens
	latency   time.Duration
	lossRate  float64
	slowRate  float64
	maxWait   time.Duration
	demand    float64 // in multiples of the rate
	// exactCost makes requests use their whole cost, so that nothing is refunded.
	exactCost bool
	// idleTime follows each 3 s of demand; the bucket fills in it.
	idleTime time.Duration
	// dispatchInterval makes all processes pause between Reserve and Commit until
	// its next multiple, so that tokens reserved over some time are dispatched at
	// once.
	dispatchInterval time.Duration
	requests         []request
	faults           []injectedFault
}

type request struct {
	at      time.Duration
	process int
	cost    conf.Tokens
	used    conf.Tokens
	length  time.Duration
}

type injectedFault struct {
	at      time.Duration
	kind    faultKind
	process int
	length  time.Duration
	rate    conf.Tokens
	burst   conf.Tokens
}

type faultKind int

const (
	pause faultKind = iota
	kill
	resize
)

// newSchedule derives a schedule with every kind of fault.
func newSchedule(seed uint64, duration time.Duration) schedule {
	random := rand.New(rand.NewPCG(seed, 3))
	processes := 3 + random.IntN(12)
	rate := conf.Tokens(500 + random.Int64N(20000))
	schedule := schedule{
		seed:      seed,
		duration:  duration,
		processes: processes,
		shards:    min(8, processes),
		rate:      rate,
		burst:     rate + conf.Tokens(random.Int64N(3*int64(rate))),
		latency:   time.Duration(1+random.IntN(30)) * 100 * time.Microsecond,
		lossRate:  float64(random.IntN(3)) * 0.1 * random.Float64(),
		slowRate:  float64(random.IntN(2)) * 0.02,
		maxWait:   time.Duration(1+random.IntN(5)) * time.Second,
		demand:    []float64{0.3, 0.7, 0.95, 1.5, 5}[random.IntN(5)],
		exactCost: random.IntN(3) == 0,
		idleTime:  time.Duration(random.IntN(3)) * 3 * time.Second,
	}
	requestRate := 10 + 20*random.Float64()
	if seed%3 == 0 {
		schedule.approachBound(random)
		requestRate = 25
	}
	schedule.addRequests(random, duration, requestRate)
	schedule.addFaults(random, duration)
	return schedule
}

// approachBound brings the use close to the bound: the bucket fills, then the
// demand far exceeds it, and few messages are lost.
func (schedule *schedule) approachBound(random *rand.Rand) {
	schedule.burst = schedule.rate
	schedule.lossRate, schedule.slowRate, schedule.maxWait = schedule.lossRate/10, 0, 4*time.Second
	schedule.processes = 3 + random.IntN(4)
	schedule.shards = min(4, schedule.processes)
	schedule.demand, schedule.idleTime = 4, 4*time.Second
	schedule.dispatchInterval = []time.Duration{0, 440 * time.Millisecond, 3 * time.Second}[random.IntN(3)]
}

// addRequests adds requests: requestRate times demand per second on average,
// spread unevenly over the processes, with the most loaded process changing in the
// middle. In tokens actually used, the demand is that multiple of the rate.
func (schedule *schedule) addRequests(random *rand.Rand, duration time.Duration, requestRate float64) {
	meanTokens := float64(schedule.rate) / requestRate
	skew := random.Float64() * 3
	shift := random.IntN(schedule.processes)
	meanGap := float64(time.Second) / requestRate / schedule.demand
	meanLength := time.Duration(1+random.IntN(4)*random.IntN(20)) * time.Second
	demandEnd := 3 * time.Second
	for at := time.Duration(0); at < duration; at += time.Duration(random.ExpFloat64() * meanGap) {
		process := int(float64(schedule.processes) * math.Pow(random.Float64(), 1+skew))
		if at > duration/2 {
			process += shift
		}
		if at > demandEnd {
			at += schedule.idleTime
			demandEnd = at + 3*time.Second
		}
		used := meanTokens * (0.2 + 1.6*random.Float64())
		cost := used
		if !schedule.exactCost {
			cost *= 1 + 2*random.Float64()*random.Float64()
		}
		schedule.requests = append(schedule.requests, request{
			at:      at,
			process: process % schedule.processes,
			cost:    min(schedule.burst/2, 1+conf.Tokens(cost)),
			used:    min(schedule.burst/2, 1+conf.Tokens(used)),
			length:  time.Duration(random.ExpFloat64() * float64(meanLength)),
		})
	}
}

// addFaults adds pauses, kills and changes of the limits.
func (schedule *schedule) addFaults(random *rand.Rand, duration time.Duration) {
	for range random.IntN(12) {
		schedule.faults = append(schedule.faults, injectedFault{
			at:      time.Duration(random.Int64N(int64(duration))),
			kind:    faultKind(random.IntN(2)),
			process: random.IntN(schedule.processes),
			length:  time.Duration(random.ExpFloat64() * float64(time.Second)),
		})
	}
	for at := duration / 4; at < duration && random.IntN(2) == 0; at += duration / 3 {
		rate := conf.Tokens(500 + random.Int64N(20000))
		schedule.faults = append(schedule.faults, injectedFault{
			at: at, kind: resize, length: 2 * time.Second,
			rate: rate, burst: max(schedule.burst, rate+conf.Tokens(random.Int64N(int64(rate)))),
		})
	}
	slices.SortFunc(schedule.faults, func(a, b injectedFault) int { return cmp.Compare(a.at, b.at) })
}
