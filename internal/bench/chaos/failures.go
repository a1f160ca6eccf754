package chaos

import (
	"context"
	"fmt"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/engsim"
	"jacinthfront.dev/jacinthfront/internal/bench/infra"
	"jacinthfront.dev/jacinthfront/internal/bench/plain"
)

// failure is a kind of failure. A gentle one must not cost any request more
// than a true refusal.
type failure struct {
	name   string
	gentle bool
	act    func(world *world, ctx context.Context, failure Failure)
}

// failures lists all kinds.
var failures = []failure{
	{"entry-killed", false, (*world).killEntry},
	{"side-killed", false, (*world).killSide},
	{"entry-paused", false, (*world).pauseEntry},
	{"side-paused", false, (*world).pauseSide},
	{"partition", false, (*world).partition},
	{"connections-cut", false, (*world).cutConnections},
	{"connections-held", false, (*world).holdConnections},
	{"reply-lost", false, (*world).loseReplies},
	{"service-reply-lost", false, (*world).loseServiceReplies},
	{"service-call-lost", false, (*world).loseServiceCalls},
	{"replies-late", false, (*world).delayReplies},
	{"engine-restart", false, (*world).restartEngine},
	{"engine-frozen", false, (*world).freezeEngine},
	{"stream-broken", false, (*world).breakStreams},
	{"engine-call-lost", false, (*world).loseEngineCalls},
	{"load-failures", false, (*world).failLoads},
	{"key-withdrawn", false, (*world).withdrawKey},
	{"log-out", false, (*world).logOut},
	{"log-replies-lost", false, (*world).loseLogReplies},
	{"log-slow", false, (*world).slowLog},
	{"store-slow", true, (*world).slowStore},
	{"list-stale", true, (*world).staleList},
	{"list-returning", true, (*world).returningList},
	{"operators-racing", true, (*world).raceOperators},
	{"upstream-moved", true, (*world).moveUpstream},
	{"upstream-leaving", true, (*world).leaveUpstream},
	{"entry-stopped", true, (*world).stopEntry},
	{"side-stopped", true, (*world).stopSide},
}

func findFailure(name string) (failure, bool) {
	for _, known := range failures {
		if known.name == name {
			return known, true
		}
	}
	return failure{}, false
}

// runFailures performs the schedule's failures and waits for their ends.
func (world *world) runFailures(ctx context.Context) {
	done := make(chan struct{})
	for _, planned := range world.schedule.Failures {
		go func() {
			defer func() { done <- struct{}{} }()
			kind, ok := findFailure(planned.Name)
			if !ok || pause(ctx, time.Until(world.begin.Add(planned.At))) != nil {
				return
			}
			kind.act(world, ctx, planned)
			world.note("%s over", planned.Name)
		}()
	}
	for range world.schedule.Failures {
		<-done
	}
}

func (failure Failure) among(list []*process) *process { return list[failure.Pick%uint64(len(list))] }

func (world *world) problem(format string, args ...any) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.problems = append(world.problems, fmt.Sprintf(format, args...))
}

// killAndReplace kills a process and starts it again at the same addresses.
func (world *world) killAndReplace(ctx context.Context, killed *process, failure Failure) {
	from := time.Now()
	world.note("kill %s", killed.name)
	killed.kill()
	_ = pause(ctx, min(failure.For, maxOutage))
	if err := killed.start(); err != nil {
		world.problem("start %s again: %v", killed.name, err)
		return
	}
	killed.absent(from)
}

// maxOutage is the longest time for which a killed process stays away.
const maxOutage = 3 * time.Second

func (world *world) killEntry(ctx context.Context, failure Failure) {
	world.killAndReplace(ctx, failure.among(world.entries), failure)
}

func (world *world) killSide(ctx context.Context, failure Failure) {
	world.killAndReplace(ctx, failure.among(world.sides), failure)
}

func (world *world) pauseProcess(ctx context.Context, paused *process, failure Failure) {
	from := time.Now()
	world.note("pause %s", paused.name)
	paused.disturbCallers()
	world.network.Pause(paused.name, 1)
	_ = pause(ctx, failure.For)
	paused.disturbCallers()
	world.network.Pause(paused.name, -1)
	paused.disturb(from)
}

func (world *world) pauseEntry(ctx context.Context, failure Failure) {
	world.pauseProcess(ctx, failure.among(world.entries), failure)
}

func (world *world) pauseSide(ctx context.Context, failure Failure) {
	world.pauseProcess(ctx, failure.among(world.sides), failure)
}

// partition separates an entry instance and some side processes from all
// others. Their own upstreams stay with them.
func (world *world) partition(ctx context.Context, failure Failure) {
	from := time.Now()
	apart := map[string]bool{}
	var group []*process
	for index, process := range world.processes() {
		if index > 0 && failure.Pick>>index&1 == 1 {
			apart[process.name] = true
			group = append(group, process)
		}
	}
	var ways []direction
	for _, inside := range group {
		for _, outside := range append(world.processes(), &process{name: platformName}) {
			if !apart[outside.name] {
				ways = append(ways, direction{inside.name, outside.name}, direction{outside.name, inside.name})
			}
		}
	}
	world.note("partition %v", apart)
	world.holdWays(ctx, ways, failure.For)
	for _, process := range group {
		process.disturb(from)
	}
}

func (world *world) holdWays(ctx context.Context, ways []direction, length time.Duration) {
	for _, way := range ways {
		world.network.Hold(way, 1)
	}
	_ = pause(ctx, length)
	for _, way := range ways {
		world.network.Hold(way, -1)
	}
}

// pair returns two processes that talk to each other.
func (world *world) pair(failure Failure) direction {
	side := failure.among(world.sides)
	other := world.entries[failure.Pick>>8%uint64(len(world.entries))].name
	switch failure.Pick >> 16 % 4 {
	case 0:
		other = side.upstream
	case 1:
		other = world.sides[failure.Pick>>8%uint64(len(world.sides))].name
	}
	return direction{other, side.name}
}

func (world *world) cutConnections(ctx context.Context, failure Failure) {
	way := world.pair(failure)
	for range 3 {
		world.note("cut %v", way)
		world.network.Cut(func(other direction) bool { return other == way })
		_ = pause(ctx, failure.For/3)
	}
}

// holdConnections holds both directions of a pair, except what a side process
// sends to its upstream: there it has made its last checks.
func (world *world) holdConnections(ctx context.Context, failure Failure) {
	way := world.pair(failure)
	ways := []direction{way, {way.to, way.from}}
	if isStandIn(way.from) {
		ways = ways[:1]
	}
	world.note("hold %v", ways)
	world.holdWays(ctx, ways, failure.For)
}

// loseReplies cuts connections when a side process answers on them.
func (world *world) loseReplies(ctx context.Context, failure Failure) {
	side, entry := failure.among(world.sides), world.entries[failure.Pick>>8%uint64(len(world.entries))]
	way := direction{side.name, entry.name}
	world.note("lose replies %v", way)
	world.network.Lose(way, 3)
	_ = pause(ctx, failure.For)
	world.network.Lose(way, 0)
}

func (world *world) serviceFault(ctx context.Context, failure Failure, fault *infra.Fault) {
	service := world.services[failure.Pick%uint64(len(world.services))]
	fault.For = infra.Duration(failure.For)
	world.note("service %d: %s", failure.Pick%uint64(len(world.services))+1, fault.Mode)
	if err := service.ApplyControl(plain.ControlRequest{CallFault: fault}); err != nil {
		world.problem("%v", err)
	}
	_ = pause(ctx, failure.For)
}

func (world *world) loseServiceReplies(ctx context.Context, failure Failure) {
	world.serviceFault(ctx, failure, &infra.Fault{Mode: plain.ModeCutAfter, Fraction: 0.6})
}

func (world *world) loseServiceCalls(ctx context.Context, failure Failure) {
	world.serviceFault(ctx, failure, &infra.Fault{Mode: plain.ModeCutBefore, Fraction: 0.6})
}

// delayReplies delays the replies on new connections by different times, so
// that answers come late and out of order.
func (world *world) delayReplies(ctx context.Context, failure Failure) {
	const longest = 1500 * time.Millisecond
	world.note("late replies to the entry instances")
	var ways []direction
	for _, entry := range world.entries {
		for _, side := range world.sides {
			ways = append(ways, direction{side.name, entry.name})
		}
	}
	for _, way := range ways {
		world.network.Delay(way, longest)
	}
	_ = pause(ctx, failure.For)
	for _, way := range ways {
		world.network.Delay(way, 0)
	}
}

func (world *world) engineFault(ctx context.Context, failure Failure, control engsim.ControlRequest) {
	number := failure.Pick % engineCount
	world.note("engine %d: %+v", number+1, control)
	if err := world.engines[number].ApplyControl(control); err != nil {
		world.problem("%v", err)
	}
	_ = pause(ctx, failure.For)
}

func (world *world) restartEngine(ctx context.Context, failure Failure) {
	world.engineFault(ctx, failure, engsim.ControlRequest{Restart: &engsim.Restart{DownFor: infra.Duration(failure.For / 3)}})
}

func (world *world) freezeEngine(ctx context.Context, failure Failure) {
	world.engineFault(ctx, failure, engsim.ControlRequest{Freeze: infra.Duration(failure.For)})
}

func (world *world) breakStreams(ctx context.Context, failure Failure) {
	fault := &infra.Fault{Mode: engsim.ModeCutStream, For: infra.Duration(failure.For), Fraction: 0.7, AfterTokens: int(failure.Pick >> 8 % 7)}
	world.engineFault(ctx, failure, engsim.ControlRequest{BreakStreams: true, CompletionFault: fault})
}

func (world *world) loseEngineCalls(ctx context.Context, failure Failure) {
	fault := &infra.Fault{Mode: engsim.ModeCutBefore, For: infra.Duration(failure.For), Fraction: 0.5}
	world.engineFault(ctx, failure, engsim.ControlRequest{CompletionFault: fault})
}

func (world *world) failLoads(ctx context.Context, failure Failure) {
	fault := &infra.Fault{Mode: engsim.ModeFailing, For: infra.Duration(failure.For), Fraction: 0.7}
	world.engineFault(ctx, failure, engsim.ControlRequest{LoadFault: fault})
}
