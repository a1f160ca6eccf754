package chaos

import (
	"context"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/infra"
	config "jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

func (world *world) control(control infra.Control) {
	if err := world.platform.Control(control); err != nil {
		world.problem("%v", err)
	}
}

func (world *world) withdrawKey(ctx context.Context, _ Failure) {
	world.publish(ctx, "withdrawal", patch.WithdrawKey{ID: world.keys.withdrawnID})
}

func (world *world) logOut(ctx context.Context, failure Failure) {
	mode := []string{infra.ModeDown, infra.ModeRefusing}[failure.Pick%2]
	world.note("log %s", mode)
	world.mutex.Lock()
	world.logDown = window{time.Now(), time.Now().Add(failure.For)}
	world.mutex.Unlock()
	world.control(infra.Control{Log: &infra.Fault{Mode: mode, For: infra.Duration(failure.For)}})
	_ = pause(ctx, failure.For)
}

func (world *world) loseLogReplies(ctx context.Context, failure Failure) {
	world.note("log replies lost")
	world.control(infra.Control{Log: &infra.Fault{Mode: infra.ModeLostReplies, For: infra.Duration(failure.For), Fraction: 0.7}})
	_ = pause(ctx, failure.For)
}

func (world *world) slowLog(ctx context.Context, failure Failure) {
	world.note("log slow")
	fault := &infra.Fault{Mode: infra.ModeSlow, Delay: infra.Duration(500 * time.Millisecond), For: infra.Duration(failure.For)}
	world.control(infra.Control{Log: fault})
	_ = pause(ctx, failure.For)
}

func (world *world) slowStore(ctx context.Context, failure Failure) {
	world.note("store slow")
	fault := &infra.Fault{Mode: infra.ModeSlow, Delay: infra.Duration(time.Second), For: infra.Duration(failure.For)}
	world.control(infra.Control{Store: fault})
	_ = pause(ctx, failure.For)
}

func (world *world) listFault(ctx context.Context, failure Failure, mode string) {
	world.note("list %s", mode)
	world.control(infra.Control{List: &infra.Fault{Mode: mode, For: infra.Duration(failure.For)}})
	world.mutex.Lock()
	world.listStale = window{time.Now(), time.Now().Add(failure.For)}
	world.mutex.Unlock()
	_ = pause(ctx, failure.For)
}

func (world *world) staleList(ctx context.Context, failure Failure) {
	world.listFault(ctx, failure, infra.ModeStale)
}

// returningList lets instances that are gone return to the list.
func (world *world) returningList(ctx context.Context, failure Failure) {
	gone := infra.Instance{
		ID: "side-gone", Role: "side", Upstream: world.upstreams[failure.Pick%uint64(len(world.upstreams))],
		Address: world.address("side-gone", peersPort), FailureDomain: "domain-a",
	}
	if err := world.platform.PutInstance(gone); err != nil {
		world.problem("%v", err)
	}
	_ = pause(ctx, 100*time.Millisecond)
	world.platform.RemoveInstance(gone.ID)
	world.listFault(ctx, failure, infra.ModeShowRemoved)
}

// raceOperators lets three operators change the same things at once.
func (world *world) raceOperators(ctx context.Context, failure Failure) {
	done := make(chan struct{})
	for index, operator := range []string{"operator-a", "operator-b", "operator-c"} {
		go func() {
			defer func() { done <- struct{}{} }()
			for round := range 2 {
				wait := time.Duration(2+index+3*round) * time.Second
				version := uint32(1 + (index+round)%adapterVersions)
				world.publish(ctx, operator+string(rune('0'+round)),
					patch.PutRoute{Route: raceSpec(wait)},
					patch.PutAdapter{Adapter: adapterSpec(int(failure.Pick%organisations), index, version)})
			}
		}()
	}
	for range 3 {
		<-done
	}
}

// moveUpstream gives an upstream to the other half, or a whole one to half B.
func (world *world) moveUpstream(ctx context.Context, failure Failure) {
	index := int(failure.Pick % uint64(len(world.upstreams)))
	half := config.Half(halfB)
	if upstreamHalf(index) == halfB {
		half = halfA
	}
	world.note("move %s to half %s", world.upstreams[index], half)
	world.publish(ctx, "move", patch.PutUpstream{Upstream: upstreamSpec(index, world.upstreams[index], half)})
}

// leaveTime is how long a leaving instance keeps serving, so that the list's
// lag and one poll pass.
const leaveTime = 2 * time.Second

func (world *world) announceLeaving(process *process) {
	world.note("%s leaves", process.name)
	process.state = infra.StateDraining
	if err := process.announce(); err != nil {
		world.problem("%v", err)
	}
	if process.upstream != "" {
		world.mutex.Lock()
		world.left = append(world.left, leaving{process.upstream, time.Now()})
		world.mutex.Unlock()
	}
}

// leaveUpstream lists an upstream as leaving. Its side process stays.
func (world *world) leaveUpstream(_ context.Context, failure Failure) {
	world.announceLeaving(failure.among(world.sides))
}

func (world *world) stopEntry(ctx context.Context, failure Failure) {
	world.stopProcess(ctx, failure.among(world.entries))
}

func (world *world) stopSide(ctx context.Context, failure Failure) {
	world.stopProcess(ctx, failure.among(world.sides))
}

func (world *world) stopProcess(ctx context.Context, process *process) {
	world.announceLeaving(process)
	_ = pause(ctx, leaveTime)
	world.note("stop %s", process.name)
	err := process.stop(ctx)
	world.note("%s stopped: %v", process.name, err)
	world.mutex.Lock()
	world.stopped = append(world.stopped, stop{process.name, err})
	world.mutex.Unlock()
	world.platform.RemoveInstance(process.name)
}
