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
	// operatorName is the operator that the patches of a demo name.
	operatorName    = "demo"
	interactiveWait = 5 * time.Second
	patientWait     = 30 * time.Second
	// adaptersPerPatch keeps a patch well below the size limit of log records.
	adaptersPerPatch = 1000
	loadBurst        = 8
	adapterVersion   = 1
)

// engineID returns the upstream id of an engine.
func (deployment Deployment) engineID(index int) string {
	return fmt.Sprintf("%s-%02d", deployment.ModelService, index+1)
}

// plainUpstreamID returns the upstream id of an upstream of the plain service.
func (deployment Deployment) plainUpstreamID(index int) string {
	return fmt.Sprintf("%s-%02d", deployment.PlainService, index+1)
}

// failureDomain assigns indexes to the failure domains in turn.
func (deployment Deployment) failureDomain(index int) string {
	return deployment.FailureDomains[index%len(deployment.FailureDomains)]
}

// initialPatches returns the initial configuration as patches with the base
// versions 0, 1, …. It issues a key to each organisation and sets it in the plan.
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
	patches := []patch.Patch{{ID: "initial-0", Operator: operatorName, Ops: ops}}
	return append(patches, deployment.adapterPatches(plan.Organisations)...)
}

func (deployment Deployment) upstreamOps() []patch.Op {
	var ops []patch.Op
	for index := range deployment.Engines {
		ops = append(ops, patch.PutUpstream{Upstream: conf.UpstreamSpec{
			ID: deployment.engineID(index), Service: deployment.ModelService,
			FailureDomain: deployment.failureDomain(index), FencingChecked: true,
		}})
	}
	for index := range deployment.PlainUpstreams {
		ops = append(ops, patch.PutUpstream{Upstream: conf.UpstreamSpec{
			ID: deployment.plainUpstreamID(index), Service: deployment.PlainService, Plain: true, FailureDomain: deployment.failureDomain(index),
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
			ID: fmt.Sprintf("initial-%d", number), BaseVersion: uint64(number), Operator: operatorName,
			Ops: ops[start:min(start+adaptersPerPatch, len(ops))],
		})
	}
	return patches
}
