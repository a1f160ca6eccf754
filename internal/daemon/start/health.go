package start

import (
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/daemon/entry"
	"jacinthfront.dev/jacinthfront/internal/flow/health"
	"jacinthfront.dev/jacinthfront/internal/flow/retry"
	"jacinthfront.dev/jacinthfront/internal/flow/route"
)

// serviceHealth implements entry.Health.
type serviceHealth struct{ *health.Service }

func newHealth(string) entry.Health {
	// The defaults pass every check.
	service, _ := health.New(health.Config{})
	return serviceHealth{service}
}

// Usable reports whether the upstream may get a request. One whose ejection is
// over gets a probe, which probingPolicy bounds to one.
func (service serviceHealth) Usable(upstream string, _ time.Time) bool {
	return service.State(upstream) != health.Ejected
}

// Succeeded records an answer.
func (service serviceHealth) Succeeded(upstream string, _ time.Time) {
	service.Service.Succeeded(upstream)
}

// Failed records a lost or failed answer.
func (service serviceHealth) Failed(upstream string, _ time.Time) {
	service.Service.Failed(upstream)
}

// probingPolicy admits one request at a time to an upstream that is probed.
type probingPolicy struct {
	route.Policy
	health *health.Service
}

// withProbes returns the policy with probes of the service's health.
func withProbes(policy route.Policy, known route.Health) route.Policy {
	service, ok := known.(serviceHealth)
	if !ok {
		return policy
	}
	return probingPolicy{Policy: policy, health: service.Service}
}

// SetMembers replaces the upstreams.
func (policy probingPolicy) SetMembers(members []route.Member, entries int) {
	ids := make([]string, 0, len(members))
	for _, member := range members {
		if !member.Leaving {
			ids = append(ids, member.ID)
		}
	}
	policy.health.Follow(ids)
	policy.Policy.SetMembers(members, entries)
}

// Choose picks an upstream. One whose probe is under way is avoided.
func (policy probingPolicy) Choose(now time.Time, request route.Request) (route.Decision, bool) {
	for {
		decision, ok := policy.Policy.Choose(now, request)
		if !ok || policy.health.Probe(decision.Upstream) {
			return decision, ok
		}
		policy.Ended(decision.Upstream)
		if slices.Contains(request.Avoid, decision.Upstream) || request.Only != "" {
			return route.Decision{}, false
		}
		request.Avoid = append(slices.Clip(request.Avoid), decision.Upstream)
	}
}

// retryBudget implements entry.Budget.
type retryBudget struct{ *retry.Budget }

// Deposit counts a request.
func (budget retryBudget) Deposit(time.Time) { budget.Request() }

// Withdraw takes a retry from the budget if one is left.
func (budget retryBudget) Withdraw(time.Time) bool { return budget.Allow() }
