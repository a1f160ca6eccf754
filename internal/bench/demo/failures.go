package demo

import (
	"context"
	"fmt"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/engsim"
	"jacinthfront.dev/jacinthfront/internal/bench/infra"
	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

// SetSurge sets the surge of the plan. The measures by class and the worst-served
// organisation leave out the organisation whose load surges.
func (fleet *Fleet) SetSurge(surge reqgen.Surge) { fleet.plan.Surge = surge }

// RestartEngine restarts an engine after a downtime. It loses its loaded adapters.
func (fleet *Fleet) RestartEngine(index int, downtime time.Duration) error {
	return fleet.engines[index].ApplyControl(engsim.ControlRequest{Restart: &engsim.Restart{DownFor: infra.Duration(downtime)}})
}

// FailLoads makes a fraction of the adapter loads of all engines fail for a time.
func (fleet *Fleet) FailLoads(share float64, length time.Duration) error {
	for _, engine := range fleet.engines {
		fault := infra.Fault{Mode: engsim.ModeFailing, Fraction: share, For: infra.Duration(length)}
		if err := engine.ApplyControl(engsim.ControlRequest{LoadFault: &fault}); err != nil {
			return err
		}
	}
	return nil
}

// FailLog makes the platform's log unavailable for a time.
func (fleet *Fleet) FailLog(length time.Duration) error {
	return fleet.platform.Control(infra.Control{Log: &infra.Fault{Mode: infra.ModeDown, For: infra.Duration(length)}})
}

// FailDomain kills the side processes in the last failure domain and restarts its
// engines after a downtime. The plain services keep running.
func (fleet *Fleet) FailDomain(ctx context.Context, downtime time.Duration) error {
	deployment := fleet.config.Deployment
	failed := deployment.FailureDomains[len(deployment.FailureDomains)-1]
	for index := range fleet.urls {
		domainIndex := index
		if index >= deployment.Engines {
			domainIndex -= deployment.Engines
		}
		if deployment.failureDomain(domainIndex) != failed {
			continue
		}
		if index < deployment.Engines {
			if err := fleet.RestartEngine(index, downtime); err != nil {
				return err
			}
		}
		if err := fleet.KillSide(ctx, index); err != nil {
			return err
		}
	}
	return nil
}

// The halves into which a deployment can be split.
const (
	firstHalf  conf.Half = "first"
	secondHalf conf.Half = "second"
)

// half assigns indexes to the two halves in turn.
func half(index int) conf.Half {
	if index%2 == 0 {
		return firstHalf
	}
	return secondHalf
}

// SplitHalves splits the deployment by a patch that assigns upstreams and
// organisations to the two halves in turn.
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
	fleet.splitAt = time.Now()
	return fleet.appendPatch(patch.Patch{ID: "split", BaseVersion: fleet.version(), Operator: operatorName, Ops: ops})
}

// CheckHalves checks that, once the split must be in force everywhere, no request
// ran in the other half than its organisation's.
func (fleet *Fleet) CheckHalves() Invariant {
	halves := map[string]conf.Half{}
	for index, organisation := range fleet.plan.Organisations {
		halves[organisation.Name] = half(index)
	}
	foreign, runs := 0, 0
	for index, engine := range fleet.engines {
		for _, request := range engine.Observed().AcceptedRequests {
			if fleet.splitAt.IsZero() || request.Accepted.Before(fleet.splitAt.Add(configDelayLimit)) {
				continue
			}
			runs++
			if halves[request.Organisation] != half(index) {
				foreign++
			}
		}
	}
	if fleet.splitAt.IsZero() || fleet.version() == 0 {
		return Invariant{Name: "halves stay apart", Observed: "the split was not published"}
	}
	return Invariant{Name: "halves stay apart", Held: foreign == 0, Observed: fmt.Sprintf("%d of %d runs after the split were in the other half", foreign, runs)}
}
