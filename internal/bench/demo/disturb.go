package demo

import (
	"context"
	"fmt"
	"time"

	engine "jacinthfront.dev/jacinthfront/internal/bench/engsim"
	"jacinthfront.dev/jacinthfront/internal/bench/infra"
	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

// SetSurge sets the surge of the plan, whose organisation the measures leave
// out of the worst-served one.
func (fleet *Fleet) SetSurge(surge reqgen.Surge) { fleet.plan.Surge = surge }

// RestartEngine restarts an engine with nothing loaded.
func (fleet *Fleet) RestartEngine(index int, down time.Duration) error {
	return fleet.engines[index].ApplyControl(engine.ControlRequest{Restart: &engine.Restart{DownFor: infra.Duration(down)}})
}

// FailLoads makes a part of the adapter loads of all engines fail for a time.
func (fleet *Fleet) FailLoads(share float64, length time.Duration) error {
	for _, runner := range fleet.engines {
		fault := infra.Fault{Mode: engine.ModeFailing, Fraction: share, For: infra.Duration(length)}
		if err := runner.ApplyControl(engine.ControlRequest{LoadFault: &fault}); err != nil {
			return err
		}
	}
	return nil
}

// FailLog takes the platform's log down for a time.
func (fleet *Fleet) FailLog(length time.Duration) error {
	return fleet.platform.Control(infra.Control{Log: &infra.Fault{Mode: infra.ModeDown, For: infra.Duration(length)}})
}

// FailDomain ends the upstreams of the last failure domain and their side
// processes at once. The engines stay away for a time.
func (fleet *Fleet) FailDomain(ctx context.Context, away time.Duration) error {
	deployment := fleet.config.Deployment
	lost := deployment.FailureDomains[len(deployment.FailureDomains)-1]
	for index := range fleet.urls {
		place := index
		if index >= deployment.Engines {
			place -= deployment.Engines
		}
		if deployment.domain(place) != lost {
			continue
		}
		if index < deployment.Engines {
			if err := fleet.RestartEngine(index, away); err != nil {
				return err
			}
		}
		if err := fleet.KillSide(ctx, index); err != nil {
			return err
		}
	}
	return nil
}

// The halves of a split.
const (
	firstHalf  conf.Half = "first"
	secondHalf conf.Half = "second"
)

func half(index int) conf.Half {
	if index%2 == 0 {
		return firstHalf
	}
	return secondHalf
}

// SplitHalves gives each half every other upstream and organisation.
func (fleet *Fleet) SplitHalves(context.Context) error {
	deployment := fleet.config.Deployment
	var ops []patch.Op
	for _, op := range deployment.upstreamOps() {
		if put, ok := op.(patch.PutUpstream); ok {
			put.Upstream.Half = half(len(ops))
			if put.Upstream.Plain {
				put.Upstream.Half = half(len(ops) - deployment.Engines)
			}
			ops = append(ops, put)
		}
	}
	for index, organisation := range fleet.plan.Organisations {
		ops = append(ops, patch.PutOrganisation{Organisation: conf.OrganisationSpec{
			Name: organisation.Name, Rate: organisation.Rate, Burst: organisation.Burst, Half: half(index),
		}})
	}
	fleet.split = time.Now()
	return fleet.append(patch.Patch{ID: "split", BaseVersion: fleet.version(), Operator: operator, Ops: ops})
}

// CheckHalves checks that no request ran in the other half after the split was
// to be in force everywhere.
func (fleet *Fleet) CheckHalves() Invariant {
	halves := map[string]conf.Half{}
	for index, organisation := range fleet.plan.Organisations {
		halves[organisation.Name] = half(index)
	}
	foreign, runs := 0, 0
	for index, runner := range fleet.engines {
		for _, start := range runner.Observed().AcceptedRequests {
			if fleet.split.IsZero() || start.Accepted.Before(fleet.split.Add(configBound)) {
				continue
			}
			runs++
			if halves[start.Organisation] != half(index) {
				foreign++
			}
		}
	}
	if fleet.split.IsZero() || fleet.version() == 0 {
		return Invariant{Name: "halves stay apart", Observed: "the split was not published"}
	}
	return Invariant{Name: "halves stay apart", Held: foreign == 0, Observed: fmt.Sprintf("%d of %d runs after the split were in the other half", foreign, runs)}
}
