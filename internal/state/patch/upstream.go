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
	current, exists := draft.now().Upstream(op.Upstream.ID)
	if !exists && draft.hosts(op.Upstream.ID) {
		// A side process of the removed upstream may still grant tokens from
		// its shards, so the id must not come back with another process.
		return refuse("id", "upstream %q was removed but still hosts quota shards; remove it with ended = true first or use another id", op.Upstream.ID)
	}
	draft.topology = draft.topology || current.Service != op.Upstream.Service || current.Half != op.Upstream.Half
	draft.editor.PutUpstream(op.Upstream)
	return nil
}

func (op PutUpstream) verify(draft *draft) *Problem {
	return draft.checkPlain(op.Upstream.Service, op.Upstream.Plain)
}

func (op RemoveUpstream) check() *Problem { return nil }

func (op RemoveUpstream) apply(draft *draft) *Problem {
	_, exists := draft.now().Upstream(op.ID)
	if !exists && (!op.Ended || !draft.hosts(op.ID)) {
		return refuse("id", "upstream %q does not exist", op.ID)
	}
	draft.editor.RemoveUpstream(op.ID)
	draft.topology = true
	if op.Ended {
		draft.ended = append(draft.ended, op.ID)
	}
	return nil
}

func (op RemoveUpstream) verify(draft *draft) *Problem {
	if op.Ended && draft.hosts(op.ID) {
		return refuse("ended", "the quota shards of %q cannot be given to another upstream because none is left", op.ID)
	}
	return nil
}

func (op PutFleet) check() *Problem {
	fleet := op.Fleet
	if fleet.LoadRateMilli < 0 || fleet.LoadRateMilli > int64(maxTokens) {
		return refuse("load-rate-milli", "%d must be 0 to %d loads per 1,000 s", fleet.LoadRateMilli, maxTokens)
	}
	if fleet.LoadBurst > int64(maxTokens) || fleet.LoadBurst*1000 < fleet.LoadRateMilli {
		return refuse("load-burst", "%d must be at least the loads of 1 s and at most %d", fleet.LoadBurst, maxTokens)
	}
	return nil
}

func (op PutFleet) apply(draft *draft) *Problem {
	fleet, current := op.Fleet, draft.now().Fleet()
	if len(fleet.LoadShards) > 0 && !slices.Equal(fleet.LoadShards, current.LoadShards) {
		return refuse("load-shards", "are assigned by the system; leave them out")
	}
	fleet.LoadShards = current.LoadShards
	draft.editor.PutFleet(fleet)
	return nil
}

func (op PutFleet) verify(draft *draft) *Problem {
	if op.Fleet.LoadRateMilli > 0 && len(draft.now().Fleet().LoadShards) == 0 {
		return refuse("load-shards", "cannot be assigned because there is no upstream; put an upstream in this or an earlier patch")
	}
	return nil
}

// served is a half and a service that its organisations may call.
type served struct {
	half    conf.Half
	service string
}

// checkHalves refuses a patch that leaves a half without an upstream for a
// service that its organisations have routes to.
func (draft *draft) checkHalves() *Problem {
	before := unserved(draft.base)
	for _, missing := range unserved(draft.now()) {
		if !slices.Contains(before, missing) {
			return refuse("ops", "leave half %q without an upstream for service %q; keep or put one, or force the patch",
				missing.half, missing.service)
		}
	}
	return nil
}

func unserved(config *conf.Config) []served {
	halves := map[conf.Half]bool{}
	for organisation := range config.AllOrganisations() {
		halves[organisation.Half] = true
	}
	if len(halves) == 0 {
		return nil
	}
	hosts := map[served]bool{}
	for upstream := range config.AllUpstreams() {
		hosts[served{upstream.Half, upstream.Service}] = true
	}
	var missing []served
	for route := range config.AllRoutes() {
		for half := range halves {
			if !hasUpstream(hosts, served{half, route.Service}) {
				missing = append(missing, served{half, route.Service})
			}
		}
	}
	slices.SortFunc(missing, compareServed)
	return slices.Compact(missing)
}

func hasUpstream(hosts map[served]bool, wanted served) bool {
	for host := range hosts {
		if host.service == wanted.service && host.half.CompatibleWith(wanted.half) {
			return true
		}
	}
	return false
}
