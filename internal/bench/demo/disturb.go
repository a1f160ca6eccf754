package demo

import (
	"context"
	"fmt"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/load"
	engine "jacinthfront.dev/jacinthfront/internal/bench/model"
	"jacinthfront.dev/jacinthfront/internal/bench/plat"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

// SetSurge sets the surge of the plan, whose organisation the measures leave
// out of the worst-served one.
func (fleet *Fleet) SetSurge(surge load.Surge) { fleet.plan.Surge = surge }

// RestartEngine restarts an engine with nothing loaded.
func (fleet *Fleet) RestartEngine(index int, down time.Duration) error {
	return fleet.engines[index].Control(engine.Control{Restart: &engine.Restart{DownFor: plat.Duration(down)}})
}

// FailLoads makes a part of the adapter loads of all engines fail for a time.
func (fleet *Fleet) FailLoads(share float64, length time.Duration) error {
	for _, runner := range fleet.engines {
		fault := plat.Fault{Mode: engine.ModeFailing, Share: share, For: plat.Duration(length)}
		if err := runner.Control(engine.Control{Loads: &fault}); err != nil {
			return err
		}
	}
	return nil
}

// StopLog takes the platform's log down for a time.
func (fleet *Fleet) StopLog(length time.Duration) error {
	return fleet.platform.Control(plat.Control{Log: &plat.Fault{Mode: plat.ModeDown, For: plat.Duration(length)}})
}

// LoseDomain ends the upstreams of the last failure domain and their side
// processes at once. The engines stay away for a time.
func (fleet *Fleet) LoseDomain(ctx context.Context, away time.Duration) error {
	deployment := fleet.config.Deployment
	lost := deployment.FailureDomains[len(deployment.FailureDomains)-1]
	for index := range fleet.urls {
		place := index
		if index >= deployment.Runners {
			place -= deployment.Runners
		}
		if deployment.domain(place) != lost {
			continue
		}
		if index < deployment.Runners {
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

// Split gives each half every other upstream and organisation.
func (fleet *Fleet) Split(context.Context) error {
	deployment := fleet.config.Deployment
	var ops []patch.Op
	for _, op := range deployment.upstreamOps() {
		if put, ok := op.(patch.PutUpstream); ok {
			put.Upstream.Half = half(len(ops))
			if put.Upstream.Plain {
				put.Upstream.Half = half(len(ops) - deployment.Runners)
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
func (fleet *Fleet) CheckHalves() Promise {
	halves := map[string]conf.Half{}
	for index, organisation := range fleet.plan.Organisations {
		halves[organisation.Name] = half(index)
	}
	foreign, runs := 0, 0
	for index, runner := range fleet.engines {
		for _, start := range runner.Observed().Starts {
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
		return Promise{Name: "halves stay apart", Seen: "the split was not published"}
	}
	return Promise{Name: "halves stay apart", Held: foreign == 0, Seen: fmt.Sprintf("%d of %d runs after the split were in the other half", foreign, runs)}
}
