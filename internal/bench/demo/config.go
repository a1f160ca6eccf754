package demo

import (
	"fmt"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/creds"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

const (
	// operator is who publishes the patches of a demo.
	operator        = "demo"
	interactiveWait = 5 * time.Second
	patientWait     = 30 * time.Second
	// adaptersPerPatch keeps a patch well below the log's record limit.
	adaptersPerPatch = 1000
	loadBurst        = 8
	adapterVersion   = 1
)

// runnerID and plainID name the upstreams.
func (deployment Deployment) runnerID(index int) string {
	return fmt.Sprintf("%s-%02d", deployment.ModelService, index+1)
}

func (deployment Deployment) plainID(index int) string {
	return fmt.Sprintf("%s-%02d", deployment.PlainService, index+1)
}

func (deployment Deployment) domain(index int) string {
	return deployment.FailureDomains[index%len(deployment.FailureDomains)]
}

// initialPatches returns the configuration as patches on versions 0, 1, …, and
// sets the keys of the plan's organisations.
func (deployment Deployment) initialPatches(plan *reqgen.Plan) []patch.Patch {
	ops := deployment.upstreamOps()
	ops = append(ops, deployment.routeOps()...)
	for index := range plan.Organisations {
		organisation := &plan.Organisations[index]
		ops = append(ops, patch.PutOrganisation{Organisation: conf.OrganisationSpec{
			Name: organisation.Name, Rate: organisation.Rate, Burst: organisation.Burst,
		}})
		key, spec := creds.Issue(organisation.Name)
		organisation.Key = key
		ops = append(ops, patch.PutKey{Key: spec})
	}
	patches := []patch.Patch{{ID: "initial-0", Operator: operator, Ops: ops}}
	return append(patches, deployment.adapterPatches(plan.Organisations)...)
}

func (deployment Deployment) upstreamOps() []patch.Op {
	var ops []patch.Op
	for index := range deployment.Engines {
		ops = append(ops, patch.PutUpstream{Upstream: conf.UpstreamSpec{
			ID: deployment.runnerID(index), Service: deployment.ModelService,
			FailureDomain: deployment.domain(index), FencingChecked: true,
		}})
	}
	for index := range deployment.PlainUpstreams {
		ops = append(ops, patch.PutUpstream{Upstream: conf.UpstreamSpec{
			ID: deployment.plainID(index), Service: deployment.PlainService, Plain: true, FailureDomain: deployment.domain(index),
		}})
	}
	return append(ops, patch.PutFleet{Fleet: conf.FleetSpec{
		LoadRateMilli: int64(deployment.LoadRate * 1000), LoadBurst: loadBurst,
	}})
}

func (deployment Deployment) routeOps() []patch.Op {
	routes := []conf.RouteSpec{
		{Name: "default", Service: deployment.ModelService, Class: conf.Interactive, MaxWait: interactiveWait, Idempotent: true, DefaultMaxTokens: 64},
		{Name: "chats", Service: deployment.ModelService, Class: conf.Interactive, MaxWait: interactiveWait, Idempotent: true, DefaultMaxTokens: 64},
		{Name: "letters", Service: deployment.ModelService, Class: conf.Patient, MaxWait: patientWait, Idempotent: true, DefaultMaxTokens: 256},
		{Name: "orders", Service: deployment.PlainService, Plain: true, PathPrefix: "/orders", Methods: []string{"POST"}, Class: conf.Interactive, MaxWait: interactiveWait, Cost: plainCost},
		{Name: "stock", Service: deployment.PlainService, Plain: true, PathPrefix: "/stock", Methods: []string{"GET"}, Class: conf.Interactive, MaxWait: interactiveWait, Idempotent: true, Cost: plainCost},
	}
	ops := make([]patch.Op, 0, len(routes))
	for _, route := range routes {
		ops = append(ops, patch.PutRoute{Route: route})
	}
	return ops
}

func (deployment Deployment) adapterPatches(organisations []reqgen.Organisation) []patch.Patch {
	var ops []patch.Op
	for _, organisation := range organisations {
		for index := range organisation.AdapterCount {
			ops = append(ops, patch.PutAdapter{Adapter: conf.AdapterSpec{
				Name: reqgen.AdapterName(organisation.Name, index), Organisation: organisation.Name,
				Service: deployment.ModelService, Versions: []uint32{adapterVersion}, DefaultVersion: adapterVersion,
			}})
		}
	}
	var patches []patch.Patch
	for start := 0; start < len(ops); start += adaptersPerPatch {
		number := len(patches) + 1
		patches = append(patches, patch.Patch{
			ID: fmt.Sprintf("initial-%d", number), BaseVersion: uint64(number), Operator: operator,
			Ops: ops[start:min(start+adaptersPerPatch, len(ops))],
		})
	}
	return patches
}
