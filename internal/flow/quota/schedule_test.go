package quota

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/model"
)

// schedule is one run of a cluster, derived from its seed.
type schedule struct {
	seed        uint64
	span        time.Duration
	shards      int
	processes   int
	rate        model.Tokens
	burst       model.Tokens
	latency     time.Duration
	loss        float64
	slow        float64
	longestWait time.Duration
	demand      float64 // in multiples of the rate
	// exact requests use their whole cost, so that nothing is returned.
	exact bool
	// lull is the idle time after each 3 s of demand; the bucket fills in it.
	lull time.Duration
	// beat makes all processes pause between Take and Commit until its next
	// multiple, so that what was taken over some time is dispatched at once.
	beat         time.Duration
	requests     []request
	disturbances []disturbance
}

type request struct {
	at      time.Duration
	process int
	cost    model.Tokens
	used    model.Tokens
	length  time.Duration
}

type disturbance struct {
	at      time.Duration
	kind    disturbanceKind
	process int
	length  time.Duration
	rate    model.Tokens
	burst   model.Tokens
}

type disturbanceKind int

const (
	pause disturbanceKind = iota
	kill
	resize
)

// newSchedule derives a schedule with every kind of fault.
func newSchedule(seed uint64, span time.Duration) schedule {
	random := rand.New(rand.NewPCG(seed, 3))
	processes := 3 + random.IntN(12)
	rate := model.Tokens(500 + random.Int64N(20000))
	schedule := schedule{
		seed:        seed,
		span:        span,
		processes:   processes,
		shards:      min(8, processes),
		rate:        rate,
		burst:       rate + model.Tokens(random.Int64N(3*int64(rate))),
		latency:     time.Duration(1+random.IntN(30)) * 100 * time.Microsecond,
		loss:        float64(random.IntN(3)) * 0.1 * random.Float64(),
		slow:        float64(random.IntN(2)) * 0.02,
		longestWait: time.Duration(1+random.IntN(5)) * time.Second,
		demand:      []float64{0.3, 0.7, 0.95, 1.5, 5}[random.IntN(5)],
		exact:       random.IntN(3) == 0,
		lull:        time.Duration(random.IntN(3)) * 3 * time.Second,
	}
	count := 10 + 20*random.Float64()
	if seed%3 == 0 {
		schedule.tighten(random)
		count = 25
	}
	schedule.offer(random, span, count)
	schedule.disturb(random, span)
	return schedule
}

// tighten brings the use close to the bound: the bucket fills, then far more is
// demanded than it has, and few messages are lost.
func (schedule *schedule) tighten(random *rand.Rand) {
	schedule.burst = schedule.rate
	schedule.loss, schedule.slow, schedule.longestWait = schedule.loss/10, 0, 4*time.Second
	schedule.processes = 3 + random.IntN(4)
	schedule.shards = min(4, schedule.processes)
	schedule.demand, schedule.lull = 4, 4*time.Second
	schedule.beat = []time.Duration{0, 440 * time.Millisecond, 3 * time.Second}[random.IntN(3)]
}

// offer adds requests: count per second at the rate, unevenly over processes,
// with the favoured process shifting in the middle. The demand, in tokens
// actually used, is a multiple of the rate.
func (schedule *schedule) offer(random *rand.Rand, span time.Duration, count float64) {
	mean := float64(schedule.rate) / count
	skew := random.Float64() * 3
	shift := random.IntN(schedule.processes)
	gap := float64(time.Second) / count / schedule.demand
	tail := time.Duration(1+random.IntN(4)*random.IntN(20)) * time.Second
	phase := 3 * time.Second
	for at := time.Duration(0); at < span; at += time.Duration(random.ExpFloat64() * gap) {
		process := int(float64(schedule.processes) * math.Pow(random.Float64(), 1+skew))
		if at > span/2 {
			process += shift
		}
		if at > phase {
			at += schedule.lull
			phase = at + 3*time.Second
		}
		used := mean * (0.2 + 1.6*random.Float64())
		cost := used
		if !schedule.exact {
			cost *= 1 + 2*random.Float64()*random.Float64()
		}
		schedule.requests = append(schedule.requests, request{
			at:      at,
			process: process % schedule.processes,
			cost:    min(schedule.burst/2, 1+model.Tokens(cost)),
			used:    min(schedule.burst/2, 1+model.Tokens(used)),
			length:  time.Duration(random.ExpFloat64() * float64(tail)),
		})
	}
}

// disturb adds pauses, kills and changes of the limits.
func (schedule *schedule) disturb(random *rand.Rand, span time.Duration) {
	for range random.IntN(12) {
		schedule.disturbances = append(schedule.disturbances, disturbance{
			at:      time.Duration(random.Int64N(int64(span))),
			kind:    disturbanceKind(random.IntN(2)),
			process: random.IntN(schedule.processes),
			length:  time.Duration(random.ExpFloat64() * float64(time.Second)),
		})
	}
	for at := span / 4; at < span && random.IntN(2) == 0; at += span / 3 {
		rate := model.Tokens(500 + random.Int64N(20000))
		schedule.disturbances = append(schedule.disturbances, disturbance{
			at: at, kind: resize, length: 2 * time.Second,
			rate: rate, burst: max(schedule.burst, rate+model.Tokens(random.Int64N(int64(rate)))),
		})
	}
	slices.SortFunc(schedule.disturbances, func(a, b disturbance) int { return cmp.Compare(a.at, b.at) })
}
