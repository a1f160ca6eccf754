package chaos

import (
	"context"
	"fmt"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/engsim"
	"jacinthfront.dev/jacinthfront/internal/bench/infra"
	"jacinthfront.dev/jacinthfront/internal/bench/plain"
)

// failureKind is a kind of failure. Under non-interrupting failures, each request
// must be served or refused without being run.
type failureKind struct {
	name            string
	nonInterrupting bool
	inject          func(deployment *deployment, ctx context.Context, failure Failure)
}

// failureKinds lists all kinds. A seed selects kinds by index, so their order and
// number determine its schedule.
var failureKinds = []failureKind{
	{"entry-killed", false, (*deployment).killEntry},
	{"side-killed", false, (*deployment).killSide},
	{"entry-paused", false, (*deployment).pauseEntry},
	{"side-paused", false, (*deployment).pauseSide},
	{"partition", false, (*deployment).partition},
	{"connections-cut", false, (*deployment).cutConnections},
	{"connections-held", false, (*deployment).blockConnections},
	{"reply-lost", false, (*deployment).loseReplies},
	{"service-reply-lost", false, (*deployment).loseServiceReplies},
	{"service-call-lost", false, (*deployment).loseServiceCalls},
	{"replies-late", false, (*deployment).delayReplies},
	{"engine-restart", false, (*deployment).restartEngine},
	{"engine-frozen", false, (*deployment).freezeEngine},
	{"stream-broken", false, (*deployment).breakStreams},
	{"engine-call-lost", false, (*deployment).loseEngineCalls},
	{"load-failures", false, (*deployment).failLoads},
	{"key-withdrawn", false, (*deployment).withdrawKey},
	{"log-out", false, (*deployment).failLog},
	{"log-replies-lost", false, (*deployment).loseLogReplies},
	{"log-slow", false, (*deployment).slowLog},
	{"store-slow", true, (*deployment).slowStore},
	{"list-stale", true, (*deployment).makeListStale},
	{"list-returning", true, (*deployment).showRemovedInstances},
	{"operators-racing", true, (*deployment).publishConflictingPatches},
	{"upstream-moved", true, (*deployment).moveUpstream},
	{"upstream-leaving", true, (*deployment).drainUpstream},
	{"entry-stopped", true, (*deployment).stopEntry},
	{"side-stopped", true, (*deployment).stopSide},
}

func findFailureKind(name string) (failureKind, bool) {
	for _, known := range failureKinds {
		if known.name == name {
			return known, true
		}
	}
	return failureKind{}, false
}

// runFailures injects the schedule's failures and waits until they have ended.
func (deployment *deployment) runFailures(ctx context.Context) {
	done := make(chan struct{})
	for _, planned := range deployment.schedule.Failures {
		go func() {
			defer func() { done <- struct{}{} }()
			kind, ok := findFailureKind(planned.Name)
			if !ok || sleep(ctx, time.Until(deployment.startedAt.Add(planned.At))) != nil {
				return
			}
			kind.inject(deployment, ctx, planned)
			deployment.recordEvent("%s over", planned.Name)
		}()
	}
	for range deployment.schedule.Failures {
		<-done
	}
}

func (failure Failure) target(list []*process) *process {
	return list[failure.Selector%uint64(len(list))]
}

func (deployment *deployment) recordProblem(format string, args ...any) {
	deployment.mutex.Lock()
	defer deployment.mutex.Unlock()
	deployment.problems = append(deployment.problems, fmt.Sprintf(format, args...))
}

// killAndRestart kills a process and restarts it at the same addresses.
func (deployment *deployment) killAndRestart(ctx context.Context, killed *process, failure Failure) {
	from := time.Now()
	deployment.recordEvent("kill %s", killed.name)
	killed.kill()
	_ = sleep(ctx, min(failure.Duration, maxOutage))
	if err := killed.start(); err != nil {
		deployment.recordProblem("start %s again: %v", killed.name, err)
		return
	}
	killed.recordDown(from)
}

// maxOutage is the longest time until a killed process is restarted.
const maxOutage = 3 * time.Second

func (deployment *deployment) killEntry(ctx context.Context, failure Failure) {
	deployment.killAndRestart(ctx, failure.target(deployment.entries), failure)
}

func (deployment *deployment) killSide(ctx context.Context, failure Failure) {
	deployment.killAndRestart(ctx, failure.target(deployment.sides), failure)
}

func (deployment *deployment) pauseProcess(ctx context.Context, paused *process, failure Failure) {
	from := time.Now()
	deployment.recordEvent("pause %s", paused.name)
	paused.countDisruption()
	deployment.network.Pause(paused.name, 1)
	_ = sleep(ctx, failure.Duration)
	paused.countDisruption()
	deployment.network.Pause(paused.name, -1)
	paused.recordUnreachable(from)
}

func (deployment *deployment) pauseEntry(ctx context.Context, failure Failure) {
	deployment.pauseProcess(ctx, failure.target(deployment.entries), failure)
}

func (deployment *deployment) pauseSide(ctx context.Context, failure Failure) {
	deployment.pauseProcess(ctx, failure.target(deployment.sides), failure)
}

// partition separates the processes that the selector's bits mark, never the first
// entry instance, from all other processes and the platform. Side processes still
// reach their own upstreams.
func (deployment *deployment) partition(ctx context.Context, failure Failure) {
	from := time.Now()
	separated := map[string]bool{}
	var group []*process
	for index, process := range deployment.processes() {
		if index > 0 && failure.Selector>>index&1 == 1 {
			separated[process.name] = true
			group = append(group, process)
		}
	}
	var directions []direction
	for _, inside := range group {
		for _, outside := range append(deployment.processes(), &process{name: platformName}) {
			if !separated[outside.name] {
				directions = append(directions, direction{inside.name, outside.name}, direction{outside.name, inside.name})
			}
		}
	}
	deployment.recordEvent("partition %v", separated)
	deployment.blockDirections(ctx, directions, failure.Duration)
	for _, process := range group {
		process.recordUnreachable(from)
	}
}

func (deployment *deployment) blockDirections(ctx context.Context, directions []direction, duration time.Duration) {
	for _, direction := range directions {
		deployment.network.Block(direction, 1)
	}
	_ = sleep(ctx, duration)
	for _, direction := range directions {
		deployment.network.Block(direction, -1)
	}
}

// pair returns a direction between two processes that communicate: to a side
// process from its upstream, another side process or an entry instance.
func (deployment *deployment) pair(failure Failure) direction {
	side := failure.target(deployment.sides)
	other := deployment.entries[failure.Selector>>8%uint64(len(deployment.entries))].name
	switch failure.Selector >> 16 % 4 {
	case 0:
		other = side.upstream
	case 1:
		other = deployment.sides[failure.Selector>>8%uint64(len(deployment.sides))].name
	}
	return direction{other, side.name}
}

func (deployment *deployment) cutConnections(ctx context.Context, failure Failure) {
	pair := deployment.pair(failure)
	for range 3 {
		deployment.recordEvent("cut %v", pair)
		deployment.network.Cut(func(other direction) bool { return other == pair })
		_ = sleep(ctx, failure.Duration/3)
	}
}

// blockConnections blocks both directions between two processes, but never what a
// side process sends to its upstream: it makes its last checks before it sends, so
// a request delayed after that would count as dispatched too late.
func (deployment *deployment) blockConnections(ctx context.Context, failure Failure) {
	pair := deployment.pair(failure)
	directions := []direction{pair, {pair.to, pair.from}}
	if isSimulator(pair.from) {
		directions = directions[:1]
	}
	deployment.recordEvent("hold %v", directions)
	deployment.blockDirections(ctx, directions, failure.Duration)
}

// loseReplies cuts connections when a side process responds on them.
func (deployment *deployment) loseReplies(ctx context.Context, failure Failure) {
	side, entry := failure.target(deployment.sides), deployment.entries[failure.Selector>>8%uint64(len(deployment.entries))]
	pair := direction{side.name, entry.name}
	deployment.recordEvent("lose replies %v", pair)
	deployment.network.CutDeliveries(pair, 3)
	_ = sleep(ctx, failure.Duration)
	deployment.network.CutDeliveries(pair, 0)
}

func (deployment *deployment) injectServiceFault(ctx context.Context, failure Failure, fault *infra.Fault) {
	service := deployment.services[failure.Selector%uint64(len(deployment.services))]
	fault.For = infra.Duration(failure.Duration)
	deployment.recordEvent("service %d: %s", failure.Selector%uint64(len(deployment.services))+1, fault.Mode)
	if err := service.ApplyControl(plain.ControlRequest{CallFault: fault}); err != nil {
		deployment.recordProblem("%v", err)
	}
	_ = sleep(ctx, failure.Duration)
}

func (deployment *deployment) loseServiceReplies(ctx context.Context, failure Failure) {
	deployment.injectServiceFault(ctx, failure, &infra.Fault{Mode: plain.ModeCutAfter, Fraction: 0.6})
}

func (deployment *deployment) loseServiceCalls(ctx context.Context, failure Failure) {
	deployment.injectServiceFault(ctx, failure, &infra.Fault{Mode: plain.ModeCutBefore, Fraction: 0.6})
}

// delayReplies delays the replies of side processes to entry instances, on each
// connection by a time of its own, so that responses arrive late and out of order.
func (deployment *deployment) delayReplies(ctx context.Context, failure Failure) {
	const maxDelay = 1500 * time.Millisecond
	deployment.recordEvent("late replies to the entry instances")
	var directions []direction
	for _, entry := range deployment.entries {
		for _, side := range deployment.sides {
			directions = append(directions, direction{side.name, entry.name})
		}
	}
	for _, direction := range directions {
		deployment.network.Delay(direction, maxDelay)
	}
	_ = sleep(ctx, failure.Duration)
	for _, direction := range directions {
		deployment.network.Delay(direction, 0)
	}
}

func (deployment *deployment) injectEngineFault(ctx context.Context, failure Failure, control engsim.ControlRequest) {
	number := failure.Selector % engineCount
	deployment.recordEvent("engine %d: %+v", number+1, control)
	if err := deployment.engines[number].ApplyControl(control); err != nil {
		deployment.recordProblem("%v", err)
	}
	_ = sleep(ctx, failure.Duration)
}

func (deployment *deployment) restartEngine(ctx context.Context, failure Failure) {
	deployment.injectEngineFault(ctx, failure, engsim.ControlRequest{Restart: &engsim.Restart{DownFor: infra.Duration(failure.Duration / 3)}})
}

func (deployment *deployment) freezeEngine(ctx context.Context, failure Failure) {
	deployment.injectEngineFault(ctx, failure, engsim.ControlRequest{Freeze: infra.Duration(failure.Duration)})
}

func (deployment *deployment) breakStreams(ctx context.Context, failure Failure) {
	fault := &infra.Fault{Mode: engsim.ModeCutStream, For: infra.Duration(failure.Duration), Fraction: 0.7, AfterTokens: int(failure.Selector >> 8 % 7)}
	deployment.injectEngineFault(ctx, failure, engsim.ControlRequest{BreakStreams: true, CompletionFault: fault})
}

func (deployment *deployment) loseEngineCalls(ctx context.Context, failure Failure) {
	fault := &infra.Fault{Mode: engsim.ModeCutBefore, For: infra.Duration(failure.Duration), Fraction: 0.5}
	deployment.injectEngineFault(ctx, failure, engsim.ControlRequest{CompletionFault: fault})
}

func (deployment *deployment) failLoads(ctx context.Context, failure Failure) {
	fault := &infra.Fault{Mode: engsim.ModeFailing, For: infra.Duration(failure.Duration), Fraction: 0.7}
	deployment.injectEngineFault(ctx, failure, engsim.ControlRequest{LoadFault: fault})
}
