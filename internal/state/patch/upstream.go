package patch

import (
	"slices"

	"jacinthfront.dev/jacinthfront/internal/state/conf"
)

func (op PutUpstream) check() *Problem {
	upstream := op.Upstream
	return firstProblem(
		checkName("id", upstream.ID),
		checkName("service", upstream.Service),
		checkOptionalName("half", string(upstream.Half)),
		checkName("failure-domain", upstream.FailureDomain),
	)
}

func (op PutUpstream) apply(draft *draft) *Problem {
	current, exists := draft.current().Upstream(op.Upstream.ID)
	if !exists && draft.hostsShards(op.Upstream.ID) {
		// The side process of the removed upstream may still grant tokens from its
		// quota shards, so no other process may use its id.
		return problemf("id", "upstream %q was removed but still hosts quota shards; remove it with ended = true first or use another id", op.Upstream.ID)
	}
	draft.topologyChanged = draft.topologyChanged || current.Service != op.Upstream.Service || current.Half != op.Upstream.Half
	draft.editor.PutUpstream(op.Upstream)
	return nil
}

func (op PutUpstream) verify(draft *draft) *Problem {
	return draft.checkPlain(op.Upstream.Service, op.Upstream.Plain)
}

func (op RemoveUpstream) check() *Problem { return nil }

func (op RemoveUpstream) apply(draft *draft) *Problem {
	_, exists := draft.current().Upstream(op.ID)
	if !exists && (!op.Ended || !draft.hostsShards(op.ID)) {
		return problemf("id", "upstream %q does not exist", op.ID)
	}
	draft.editor.RemoveUpstream(op.ID)
	draft.topologyChanged = true
	if op.Ended {
		draft.endedUpstreams = append(draft.endedUpstreams, op.ID)
	}
	return nil
}

func (op RemoveUpstream) verify(draft *draft) *Problem {
	if op.Ended && draft.hostsShards(op.ID) {
		return problemf("ended", "the quota shards of %q cannot be given to another upstream because none is left", op.ID)
	}
	return nil
}

func (op PutFleet) check() *Problem {
	fleet := op.Fleet
	if fleet.LoadRateMilli < 0 || fleet.LoadRateMilli > int64(maxTokens) {
		return problemf("load-rate-milli", "%d must be 0 to %d loads per 1,000 s", fleet.LoadRateMilli, maxTokens)
	}
	if fleet.LoadBurst > int64(maxTokens) || fleet.LoadBurst*1000 < fleet.LoadRateMilli {
		return problemf("load-burst", "%d must be at least the loads of 1 s and at most %d", fleet.LoadBurst, maxTokens)
	}
	return nil
}

func (op PutFleet) apply(draft *draft) *Problem {
	fleet, current := op.Fleet, draft.current().Fleet()
	if len(fleet.LoadShards) > 0 && !slices.Equal(fleet.LoadShards, current.LoadShards) {
		return problemf("load-shards", "are assigned by the system; leave them out")
	}
	fleet.LoadShards = current.LoadShards
	draft.editor.PutFleet(fleet)
	return nil
}

func (op PutFleet) verify(draft *draft) *Problem {
	if op.Fleet.LoadRateMilli > 0 && len(draft.current().Fleet().LoadShards) == 0 {
		return problemf("load-shards", "cannot be assigned because there is no upstream; put an upstream in this or an earlier patch")
	}
	return nil
}

// halfService is a half and a service that its organisations may use.
type halfService struct {
	half    conf.Half
	service string
}

// checkHalves rejects a patch after which a half has no upstream for a service
// with routes, unless that was already so before the patch.
func (draft *draft) checkHalves() *Problem {
	before := unservedServices(draft.base)
	for _, missing := range unservedServices(draft.current()) {
		if !slices.Contains(before, missing) {
			return problemf("ops", "leave half %q without an upstream for service %q; keep or put one, or force the patch",
				missing.half, missing.service)
		}
	}
	return nil
}

// unservedServices returns, for each half that has organisations, the services
// with routes that have no upstream for the half.
func unservedServices(config *conf.Config) []halfService {
	halves := map[conf.Half]bool{}
	for organisation := range config.AllOrganisations() {
		halves[organisation.Half] = true
	}
	if len(halves) == 0 {
		return nil
	}
	available := map[halfService]bool{}
	for upstream := range config.AllUpstreams() {
		available[halfService{upstream.Half, upstream.Service}] = true
	}
	var missing []halfService
	for route := range config.AllRoutes() {
		for half := range halves {
			if !hasUpstream(available, halfService{half, route.Service}) {
				missing = append(missing, halfService{half, route.Service})
			}
		}
	}
	slices.SortFunc(missing, compareHalfServices)
	return slices.Compact(missing)
}

func hasUpstream(available map[halfService]bool, wanted halfService) bool {
	for candidate := range available {
		if candidate.service == wanted.service && candidate.half.CompatibleWith(wanted.half) {
			return true
		}
	}
	return false
}
