package demo

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
)

// Invariant is one of the required invariants with what an observer outside our
// processes saw of it.
type Invariant struct {
	Name string `json:"promise"`
	Held bool   `json:"held"`
	// Observed says what was counted, and how often.
	Observed string `json:"seen"`
}

func promise(name string, violations int, format string, args ...any) Invariant {
	return Invariant{Name: name, Held: violations == 0, Observed: fmt.Sprintf(format, args...)}
}

// dispatch is one request that an upstream received.
type dispatch struct {
	time   time.Time
	tokens float64
}

// excess returns the largest amount by which the tokens of any interval exceed
// rate × length + burst. It looks at all intervals that begin and end with a
// dispatch, which are the worst ones.
func excess(dispatches []dispatch, rate, burst float64) float64 {
	slices.SortFunc(dispatches, func(left, right dispatch) int { return left.time.Compare(right.time) })
	largest, sum := 0.0, 0.0
	var least float64
	for index, dispatch := range dispatches {
		accrued := rate * dispatch.time.Sub(dispatches[0].time).Seconds()
		if index == 0 || sum-accrued < least {
			least = sum - accrued
		}
		sum += dispatch.tokens
		largest = max(largest, sum-accrued-least-burst)
	}
	return largest
}

// dispatches collects, by organisation, what engines and plain services received.
func (fleet *Fleet) dispatches() map[string][]dispatch {
	result := map[string][]dispatch{}
	for _, engine := range fleet.engines {
		for _, start := range engine.Observed().AcceptedRequests {
			result[start.Organisation] = append(result[start.Organisation],
				dispatch{time: start.Accepted, tokens: float64(start.PromptTokens + start.GeneratedTokens)})
		}
	}
	for _, service := range fleet.plains {
		for _, call := range service.Observed().Calls {
			result[call.Organisation] = append(result[call.Organisation], dispatch{time: call.Time, tokens: plainCost})
		}
	}
	return result
}

// CheckInvariants compares what the stand-ins and the callers saw with the promises.
func (fleet *Fleet) CheckInvariants(report *reqgen.Report, events *Events) []Invariant {
	total := checked(report)
	promises := fleet.CheckLoadInvariants(report)
	return append(promises, fleet.checkIsolation(events), events.checkWithdrawal(),
		fleet.checkLeaving(events), events.checkStops(total), events.checkConfiguration())
}

// CheckLoadInvariants checks the promises that do not depend on operators' actions.
func (fleet *Fleet) CheckLoadInvariants(report *reqgen.Report) []Invariant {
	total := checked(report)
	promises := []Invariant{
		promise("a request runs on its adapter and version", int(total.WrongText), "%d of %d complete answers had another text", total.WrongText, total.Completed),
		fleet.checkEvictions(),
		fleet.checkForeign(),
		fleet.checkKeys(),
		fleet.checkShares(),
		promise("a caller receives its whole answer", int(total.Incomplete), "%d of %d answers were cut", total.Incomplete, total.Sent),
	}
	return append(promises, fleet.checkBookings(report)...)
}

// checked sums the counts of all requests, the warm-up time included.
func checked(report *reqgen.Report) reqgen.Series {
	total, warmup := report.Total(), report.Warmup()
	total.Sent += warmup.Sent
	total.Completed += warmup.Completed
	total.Incomplete += warmup.Incomplete
	total.WrongText += warmup.WrongText
	return total
}

func (fleet *Fleet) checkEvictions() Invariant {
	violations, loads := 0, 0
	for _, engine := range fleet.engines {
		observed := engine.Observed()
		violations += len(observed.Violations)
		loads += len(observed.Loads)
	}
	return promise("an adapter in use is never evicted", violations, "%d orders to unload an adapter in use among %d loads", violations, loads)
}

func (fleet *Fleet) checkForeign() Invariant {
	foreign, starts := 0, 0
	for _, engine := range fleet.engines {
		for _, start := range engine.Observed().AcceptedRequests {
			starts++
			if reqgen.AdapterOwner(start.Adapter) != start.Organisation {
				foreign++
			}
		}
	}
	return promise("a request runs only for its key's organisation", foreign, "%d of %d runs were of another organisation's adapter", foreign, starts)
}

func (*Fleet) checkIsolation(events *Events) Invariant {
	return promise("another organisation's adapter is refused", events.foreignRuns, "%d of %d probes ran", events.foreignRuns, events.probes)
}

func (fleet *Fleet) checkKeys() Invariant {
	leaks := 0
	for _, engine := range fleet.engines {
		leaks += len(engine.Observed().KeyLeaks)
	}
	for _, service := range fleet.plains {
		leaks += len(service.Observed().KeyLeaks)
	}
	return promise("no upstream sees a caller's key", leaks, "%d places with a key in what upstreams received", leaks)
}

func (fleet *Fleet) checkShares() Invariant {
	worst, violations := 0.0, 0
	dispatches := fleet.dispatches()
	for _, organisation := range fleet.plan.Organisations {
		over := excess(dispatches[organisation.Name], float64(organisation.Rate), float64(organisation.Burst))
		if over > 0 {
			violations++
		}
		worst = max(worst, over)
	}
	return promise("no organisation exceeds its rate and burst", violations, "largest excess over any interval %.0f tokens", worst)
}

func (fleet *Fleet) checkBookings(report *reqgen.Report) []Invariant {
	effects := map[string]int{}
	for _, service := range fleet.plains {
		for _, call := range service.Observed().Calls {
			if call.Effect && call.Method == "POST" {
				effects[call.Path]++
			}
		}
	}
	doubled, untrue := 0, 0
	for _, count := range effects {
		if count > 1 {
			doubled++
		}
	}
	notRun := report.NotRunBookings()
	for _, booking := range notRun {
		if effects["/orders/"+booking] > 0 {
			untrue++
		}
	}
	lost := 0
	for booking, answered := range report.Bookings() {
		if answered > 0 && effects["/orders/"+booking] == 0 {
			lost++
		}
	}
	return []Invariant{
		promise("a refusal that says not-run is true", untrue, "%d of %d bookings refused as not-run had an effect", untrue, len(notRun)),
		promise("non-idempotent work runs at most once", doubled+lost, "%d of %d bookings had more than one effect, %d answered ones had none", doubled, len(effects), lost),
	}
}

// leavingBound is how long a leaving upstream may receive new work.
const leavingBound = 3 * time.Second

func (fleet *Fleet) checkLeaving(events *Events) Invariant {
	late := 0
	if !events.leftAt.IsZero() {
		for _, start := range fleet.engines[events.left].Observed().AcceptedRequests {
			if start.Accepted.Sub(events.leftAt) > leavingBound {
				late++
			}
		}
	}
	return promise("a leaving upstream receives no new work", late, "%d runs began more than %s after upstream %s was listed as leaving", late, leavingBound, fleet.config.Deployment.runnerID(events.left))
}

// slowest returns the longest duration of a list.
func slowest(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	return slices.MaxFunc(durations, cmp.Compare[time.Duration])
}
