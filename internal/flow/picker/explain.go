package picker

import (
	"cmp"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/flow/permit"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

const (
	// maxRanked bounds the upstreams that Explain ranks by the decision itself.
	maxRanked = 16
	// maxConsidered bounds the upstreams in an Explanation.
	maxConsidered = 64
)

// AdapterState is the state of an adapter at an engine.
type AdapterState string

// The states of an adapter, the best one first.
const (
	Resident   AdapterState = "resident"
	Pending    AdapterState = "pending"
	Requested  AdapterState = "requested"
	Reloadable AdapterState = "reloadable"
	Absent     AdapterState = "absent"
)

// Considered is an upstream of the request's service as Explain found it.
type Considered struct {
	Upstream fleet.Upstream
	Obstacle Obstacle
	// BackoffUntil is when the backoff ends, if that is the obstacle.
	BackoffUntil time.Time
	Load         int
	Backlog      int64
	Wait         time.Duration
	// ColdWait is the part of Wait that follows from the cold rate.
	ColdWait time.Duration
	// Cost is what candidates are compared by. It is 0 for upstreams with an obstacle.
	Cost time.Duration
	// WorkFactor is 0 if unknown.
	WorkFactor float64
	PauseRisk  float64
	// Adapter is empty for requests without one.
	Adapter    AdapterState
	Full       bool
	SameDomain bool
	// Admitted means that its rate limit admits the request, by Admission.
	Admitted  bool
	Admission permit.Admission
	// Ranked means that it would be chosen without the upstreams before it, and Equal that
	// the choice between it and the first one is random.
	Ranked bool
	Equal  bool
}

// Explanation says what Choose would return now, and why.
type Explanation struct {
	Choice Choice
	// Considered holds the upstreams of the service in the order of preference, the chosen
	// one first, and Omitted counts those beyond its bound.
	Considered []Considered
	Omitted    int
}

// Explain returns what Choose would return for a request now, by the same decision. It
// records nothing, and asks for no permit.
func (picker *Picker) Explain(request Request) Explanation {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	now := time.Now()
	candidates, withoutPermit := picker.candidates(request)
	ranked, choice := picker.rank(candidates, withoutPermit, request, now)
	placed := make(map[string]bool, len(ranked))
	for _, considered := range ranked {
		placed[considered.Upstream.ID] = true
	}
	rest := slices.DeleteFunc(slices.Concat(candidates, withoutPermit), func(candidate candidate) bool { return placed[candidate.spec.ID] })
	slices.SortStableFunc(rest, func(a, b candidate) int { return cmp.Or(compareBool(a.full, b.full), compareCost(a, b)) })
	for _, candidate := range rest {
		placed[candidate.spec.ID] = true
		ranked = append(ranked, picker.describe(candidate, request, now))
	}
	for _, upstream := range picker.services[request.Service] {
		if placed[upstream.spec.ID] {
			continue
		}
		considered := picker.describe(picker.newCandidate(upstream, request, now), request, now)
		if considered.Obstacle == NoObstacle {
			considered.Obstacle = NotReported
		}
		ranked = append(ranked, considered)
	}
	shown := min(len(ranked), maxConsidered)
	return Explanation{Choice: choice, Considered: ranked[:shown], Omitted: len(ranked) - shown}
}

// rank returns the choice, and the first upstreams in the order of preference. Each one is
// the choice among those that are left.
func (picker *Picker) rank(candidates, withoutPermit []candidate, request Request, now time.Time) (ranked []Considered, first Choice) {
	first, _ = picker.decide(candidates, withoutPermit, request)
	left, leftWithoutPermit := slices.Clone(candidates), slices.Clone(withoutPermit)
	equal := true
	for choice := first; choice.Upstream.ID != "" && len(ranked) < maxRanked; choice, _ = picker.decide(left, leftWithoutPermit, request) {
		chosen := func(candidate candidate) bool { return candidate.spec.ID == choice.Upstream.ID }
		all := slices.Concat(candidates, withoutPermit)
		considered := picker.describe(all[slices.IndexFunc(all, chosen)], request, now)
		equal = equal && picker.wouldLead(candidates, withoutPermit, request, choice.Upstream.ID)
		considered.Ranked, considered.Equal = true, equal && choice.Upstream.ID != first.Upstream.ID
		ranked = append(ranked, considered)
		left, leftWithoutPermit = slices.DeleteFunc(left, chosen), slices.DeleteFunc(leftWithoutPermit, chosen)
	}
	return ranked, first
}

// wouldLead reports whether a candidate would be chosen if it came first in the random
// order.
func (picker *Picker) wouldLead(candidates, withoutPermit []candidate, request Request, id string) bool {
	reordered := slices.Clone(candidates)
	slices.SortStableFunc(reordered, func(a, b candidate) int { return compareBool(b.spec.ID == id, a.spec.ID == id) })
	choice, _ := picker.decide(reordered, withoutPermit, request)
	return choice.Upstream.ID == id
}

// describe returns an upstream as it was found.
func (picker *Picker) describe(candidate candidate, request Request, now time.Time) Considered {
	considered := Considered{
		Upstream: candidate.spec, Obstacle: picker.obstacle(candidate.upstream, request, now),
		Load: candidate.load, Backlog: candidate.backlog, Wait: candidate.wait, ColdWait: picker.coldWait(candidate.upstream, request, now),
		Cost: candidate.cost, WorkFactor: candidate.work.Present(now), PauseRisk: candidate.report.PauseRisk,
		Adapter: candidate.adapterState(request.Adapter), Full: candidate.full, SameDomain: candidate.sameDomain,
		Admitted: candidate.admitted, Admission: candidate.admission,
	}
	if considered.Obstacle == Backoff {
		considered.BackoffUntil, _ = picker.cordoned(candidate.upstream)
	}
	return considered
}

// adapterState returns the state of an adapter at the upstream.
func (upstream *upstream) adapterState(adapter lora.Adapter) AdapterState {
	switch {
	case adapter.Name == "":
		return ""
	case upstream.hasAdapter(adapter):
		return Resident
	case lora.AnySatisfies(upstream.report.Pending, adapter):
		return Pending
	case upstream.awaits(adapter):
		return Requested
	case upstream.canReload(adapter):
		return Reloadable
	default:
		return Absent
	}
}
