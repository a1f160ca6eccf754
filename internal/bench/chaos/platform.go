package chaos

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
	config "jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

func (deployment *deployment) controlPlatform(control infra.Control) {
	if err := deployment.platform.Control(control); err != nil {
		deployment.recordProblem("%v", err)
	}
}

func (deployment *deployment) withdrawKey(ctx context.Context, _ Failure) {
	deployment.publish(ctx, "withdrawal", patch.WithdrawKey{ID: deployment.keys.withdrawnID})
}

func (deployment *deployment) failLog(ctx context.Context, failure Failure) {
	mode := []string{infra.ModeDown, infra.ModeRefusing}[failure.Selector%2]
	deployment.recordEvent("log %s", mode)
	deployment.mutex.Lock()
	deployment.logOutage = interval{time.Now(), time.Now().Add(failure.Duration)}
	deployment.mutex.Unlock()
	deployment.controlPlatform(infra.Control{Log: &infra.Fault{Mode: mode, For: infra.Duration(failure.Duration)}})
	_ = sleep(ctx, failure.Duration)
}

func (deployment *deployment) loseLogReplies(ctx context.Context, failure Failure) {
	deployment.recordEvent("log replies lost")
	deployment.controlPlatform(infra.Control{Log: &infra.Fault{Mode: infra.ModeLostReplies, For: infra.Duration(failure.Duration), Fraction: 0.7}})
	_ = sleep(ctx, failure.Duration)
}

func (deployment *deployment) slowLog(ctx context.Context, failure Failure) {
	deployment.recordEvent("log slow")
	fault := &infra.Fault{Mode: infra.ModeSlow, Delay: infra.Duration(500 * time.Millisecond), For: infra.Duration(failure.Duration)}
	deployment.controlPlatform(infra.Control{Log: fault})
	_ = sleep(ctx, failure.Duration)
}

func (deployment *deployment) slowStore(ctx context.Context, failure Failure) {
	deployment.recordEvent("store slow")
	fault := &infra.Fault{Mode: infra.ModeSlow, Delay: infra.Duration(time.Second), For: infra.Duration(failure.Duration)}
	deployment.controlPlatform(infra.Control{Store: fault})
	_ = sleep(ctx, failure.Duration)
}

func (deployment *deployment) injectListFault(ctx context.Context, failure Failure, mode string) {
	deployment.recordEvent("list %s", mode)
	deployment.controlPlatform(infra.Control{List: &infra.Fault{Mode: mode, For: infra.Duration(failure.Duration)}})
	deployment.mutex.Lock()
	deployment.listStale = interval{time.Now(), time.Now().Add(failure.Duration)}
	deployment.mutex.Unlock()
	_ = sleep(ctx, failure.Duration)
}

func (deployment *deployment) makeListStale(ctx context.Context, failure Failure) {
	deployment.injectListFault(ctx, failure, infra.ModeStale)
}

// showRemovedInstances announces and removes an instance, then makes the platform
// list removed instances again.
func (deployment *deployment) showRemovedInstances(ctx context.Context, failure Failure) {
	gone := infra.Instance{
		ID: "side-gone", Role: "side", Upstream: deployment.upstreams[failure.Selector%uint64(len(deployment.upstreams))],
		Address: deployment.address("side-gone", peersPort), FailureDomain: "domain-a",
	}
	if err := deployment.platform.PutInstance(gone); err != nil {
		deployment.recordProblem("%v", err)
	}
	_ = sleep(ctx, 100*time.Millisecond)
	deployment.platform.RemoveInstance(gone.ID)
	deployment.injectListFault(ctx, failure, infra.ModeShowRemoved)
}

// publishConflictingPatches lets three operators change the same route, and an
// adapter each, at the same time.
func (deployment *deployment) publishConflictingPatches(ctx context.Context, failure Failure) {
	done := make(chan struct{})
	for index, operator := range []string{"operator-a", "operator-b", "operator-c"} {
		go func() {
			defer func() { done <- struct{}{} }()
			for round := range 2 {
				wait := time.Duration(2+index+3*round) * time.Second
				version := uint32(1 + (index+round)%adapterVersions)
				deployment.publish(ctx, operator+string(rune('0'+round)),
					patch.PutRoute{Route: contendedRouteSpec(wait)},
					patch.PutAdapter{Adapter: adapterSpec(int(failure.Selector%organisations), index, version)})
			}
		}()
	}
	for range 3 {
		<-done
	}
}

// moveUpstream moves an upstream of half B to half A, and any other to half B.
func (deployment *deployment) moveUpstream(ctx context.Context, failure Failure) {
	index := int(failure.Selector % uint64(len(deployment.upstreams)))
	half := config.Half(halfB)
	if upstreamHalf(index) == halfB {
		half = halfA
	}
	deployment.recordEvent("move %s to half %s", deployment.upstreams[index], half)
	deployment.publish(ctx, "move", patch.PutUpstream{Upstream: upstreamSpec(index, deployment.upstreams[index], half)})
}

// drainNotice is the time between the announcement that an instance is draining
// and its stop. It covers the lag of the instance list and one poll of it.
const drainNotice = 2 * time.Second

func (deployment *deployment) announceDraining(process *process) {
	deployment.recordEvent("%s leaves", process.name)
	process.listState = infra.StateDraining
	if err := process.announce(); err != nil {
		deployment.recordProblem("%v", err)
	}
	if process.upstream != "" {
		deployment.mutex.Lock()
		deployment.draining = append(deployment.draining, drainingUpstream{process.upstream, time.Now()})
		deployment.mutex.Unlock()
	}
}

// drainUpstream lists the side process of an upstream as draining. The side process
// keeps running.
func (deployment *deployment) drainUpstream(_ context.Context, failure Failure) {
	deployment.announceDraining(failure.target(deployment.sides))
}

func (deployment *deployment) stopEntry(ctx context.Context, failure Failure) {
	deployment.stopProcess(ctx, failure.target(deployment.entries))
}

func (deployment *deployment) stopSide(ctx context.Context, failure Failure) {
	deployment.stopProcess(ctx, failure.target(deployment.sides))
}

func (deployment *deployment) stopProcess(ctx context.Context, process *process) {
	deployment.announceDraining(process)
	_ = sleep(ctx, drainNotice)
	deployment.recordEvent("stop %s", process.name)
	err := process.stop(ctx)
	deployment.recordEvent("%s stopped: %v", process.name, err)
	deployment.mutex.Lock()
	deployment.plannedStops = append(deployment.plannedStops, plannedStop{process.name, err})
	deployment.mutex.Unlock()
	deployment.platform.RemoveInstance(process.name)
}
