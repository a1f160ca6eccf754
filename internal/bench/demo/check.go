package demo

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
)

// Invariant is the result of checking one required invariant from outside the
// processes under test: by what simulators and callers observed.
type Invariant struct {
	Name string `json:"promise"`
	Held bool   `json:"held"`
	// Observed describes what was counted, with the counts.
	Observed string `json:"seen"`
}

// newInvariant returns an invariant that held if there were no violations. The
// observation is built from format and args.
func newInvariant(name string, violations int, format string, args ...any) Invariant {
	return Invariant{Name: name, Held: violations == 0, Observed: fmt.Sprintf(format, args...)}
}

// dispatch is one request that an upstream received.
type dispatch struct {
	time   time.Time
	tokens float64
}

// maxExcess returns the largest number of tokens by which any interval exceeds
// rate × length + burst, or 0. It is enough to check the intervals that begin and
// end with a dispatch, since any other interval contains one of them with the same
// tokens.
func maxExcess(dispatches []dispatch, rate, burst float64) float64 {
	slices.SortFunc(dispatches, func(left, right dispatch) int { return left.time.Compare(right.time) })
	largest, sum := 0.0, 0.0
	var lowest float64
	for index, dispatch := range dispatches {
		accrued := rate * dispatch.time.Sub(dispatches[0].time).Seconds()
		if index == 0 || sum-accrued < lowest {
			lowest = sum - accrued
		}
		sum += dispatch.tokens
		largest = max(largest, sum-accrued-lowest-burst)
	}
	return largest
}

// dispatches returns, by organisation, the requests that engines and plain
// services received.
func (fleet *Fleet) dispatches() map[string][]dispatch {
	result := map[string][]dispatch{}
	for _, engine := range fleet.engines {
		for _, request := range engine.Observed().AcceptedRequests {
			result[request.Organisation] = append(result[request.Organisation],
				dispatch{time: request.Accepted, tokens: float64(request.PromptTokens + request.GeneratedTokens)})
		}
	}
	for _, service := range fleet.plainServices {
		for _, call := range service.Observed().Calls {
			result[call.Organisation] = append(result[call.Organisation], dispatch{time: call.Time, tokens: plainCost})
		}
	}
	return result
}

// CheckInvariants checks all invariants against what the simulators and the
// callers observed.
func (fleet *Fleet) CheckInvariants(report *reqgen.Report, actions *OperatorActions) []Invariant {
	total := totalWithWarmup(report)
	invariants := fleet.CheckLoadInvariants(report)
	return append(invariants, fleet.checkIsolation(actions), actions.checkWithdrawal(),
		fleet.checkDraining(actions), actions.checkStops(total), actions.checkConfiguration())
}

// CheckLoadInvariants checks the invariants that do not depend on operators'
// actions.
func (fleet *Fleet) CheckLoadInvariants(report *reqgen.Report) []Invariant {
	total := totalWithWarmup(report)
	invariants := []Invariant{
		newInvariant("a request runs on its adapter and version", int(total.WrongText), "%d of %d complete answers had another text", total.WrongText, total.Completed),
		fleet.checkEvictions(),
		fleet.checkOwnership(),
		fleet.checkKeyLeaks(),
		fleet.checkRates(),
		newInvariant("a caller receives its whole answer", int(total.Incomplete), "%d of %d answers were cut", total.Incomplete, total.Sent),
	}
	return append(invariants, fleet.checkBookings(report)...)
}

// totalWithWarmup sums the counts of all requests, including those of the warm-up
// time.
func totalWithWarmup(report *reqgen.Report) reqgen.Series {
	total, warmup := report.Total(), report.Warmup()
	total.Sent += warmup.Sent
	total.Completed += warmup.Completed
	total.Incomplete += warmup.Incomplete
	total.WrongText += warmup.WrongText
	return total
}

// checkEvictions checks that no engine was ordered to unload an adapter in use.
func (fleet *Fleet) checkEvictions() Invariant {
	violations, loads := 0, 0
	for _, engine := range fleet.engines {
		observed := engine.Observed()
		violations += len(observed.Violations)
		loads += len(observed.Loads)
	}
	return newInvariant("an adapter in use is never evicted", violations, "%d orders to unload an adapter in use among %d loads", violations, loads)
}

// checkOwnership checks that each request used an adapter of its organisation.
func (fleet *Fleet) checkOwnership() Invariant {
	foreign, accepted := 0, 0
	for _, engine := range fleet.engines {
		for _, request := range engine.Observed().AcceptedRequests {
			accepted++
			if reqgen.AdapterOwner(request.Adapter) != request.Organisation {
				foreign++
			}
		}
	}
	return newInvariant("a request runs only for its key's organisation", foreign, "%d of %d runs were of another organisation's adapter", foreign, accepted)
}

// checkIsolation checks that every request for another organisation's adapter was
// refused.
func (*Fleet) checkIsolation(actions *OperatorActions) Invariant {
	return newInvariant("another organisation's adapter is refused", actions.servedProbes, "%d of %d probes ran", actions.servedProbes, actions.probesSent)
}

// checkKeyLeaks checks that no upstream received a caller's key.
func (fleet *Fleet) checkKeyLeaks() Invariant {
	leaks := 0
	for _, engine := range fleet.engines {
		leaks += len(engine.Observed().KeyLeaks)
	}
	for _, service := range fleet.plainServices {
		leaks += len(service.Observed().KeyLeaks)
	}
	return newInvariant("no upstream sees a caller's key", leaks, "%d places with a key in what upstreams received", leaks)
}

// checkRates checks that no organisation exceeded its rate and burst in any
// interval.
func (fleet *Fleet) checkRates() Invariant {
	largest, violations := 0.0, 0
	dispatches := fleet.dispatches()
	for _, organisation := range fleet.plan.Organisations {
		excess := maxExcess(dispatches[organisation.Name], float64(organisation.Rate), float64(organisation.Burst))
		if excess > 0 {
			violations++
		}
		largest = max(largest, excess)
	}
	return newInvariant("no organisation exceeds its rate and burst", violations, "largest excess over any interval %.0f tokens", largest)
}

// checkBookings checks non-idempotent requests to the plain service: one that was
// refused as not run had no effect, none had more than one effect, and each that
// was answered had one.
func (fleet *Fleet) checkBookings(report *reqgen.Report) []Invariant {
	effects := map[string]int{}
	for _, service := range fleet.plainServices {
		for _, call := range service.Observed().Calls {
			if call.Effect && call.Method == "POST" {
				effects[call.Path]++
			}
		}
	}
	repeated, falseNotRun := 0, 0
	for _, count := range effects {
		if count > 1 {
			repeated++
		}
	}
	notRun := report.NotRunBookings()
	for _, booking := range notRun {
		if effects["/orders/"+booking] > 0 {
			falseNotRun++
		}
	}
	lost := 0
	for booking, answered := range report.Bookings() {
		if answered > 0 && effects["/orders/"+booking] == 0 {
			lost++
		}
	}
	return []Invariant{
		newInvariant("a refusal that says not-run is true", falseNotRun, "%d of %d bookings refused as not-run had an effect", falseNotRun, len(notRun)),
		newInvariant("non-idempotent work runs at most once", repeated+lost, "%d of %d bookings had more than one effect, %d answered ones had none", repeated, len(effects), lost),
	}
}

// drainingLimit is how long an upstream may receive new requests after it was
// listed as draining.
const drainingLimit = 3 * time.Second

// checkDraining checks that the upstream whose side process was stopped received
// no requests after drainingLimit.
func (fleet *Fleet) checkDraining(actions *OperatorActions) Invariant {
	late := 0
	if !actions.drainedAt.IsZero() {
		for _, request := range fleet.engines[actions.drainedUpstream].Observed().AcceptedRequests {
			if request.Accepted.Sub(actions.drainedAt) > drainingLimit {
				late++
			}
		}
	}
	return newInvariant("a leaving upstream receives no new work", late, "%d runs began more than %s after upstream %s was listed as leaving", late, drainingLimit, fleet.config.Deployment.engineID(actions.drainedUpstream))
}

// longest returns the longest of some durations, or 0.
func longest(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	return slices.MaxFunc(durations, cmp.Compare[time.Duration])
}
