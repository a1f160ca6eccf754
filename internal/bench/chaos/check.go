package chaos

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

// Violation is a broken invariant. Invariants are numbered as in section 2 of the
// design page; 0 is the rule that every request gets a final response.
type Violation struct {
	Invariant int
	Text      string
}

// String describes the violation.
func (violation Violation) String() string {
	return fmt.Sprintf("invariant %d: %s", violation.Invariant, violation.Text)
}

const (
	// withdrawalBound, drainingBound and configBound bound the time from a decision
	// until all processes must act on it.
	withdrawalBound = 4 * time.Second
	drainingBound   = 3 * time.Second
	configBound     = 4 * time.Second
	// logReadWindow is the time after an append in which an outage of the log may
	// keep all processes from reading the record.
	logReadWindow = 300 * time.Millisecond
)

// checker checks the invariants after a run and collects violations.
type checker struct {
	*deployment
	violations        []Violation
	dispatched        []dispatch
	versions          []version
	propagationDelays []time.Duration
}

func (checker *checker) fail(invariant int, format string, args ...any) {
	checker.violations = append(checker.violations, Violation{invariant, fmt.Sprintf(format, args...)})
}

// check compares what callers, upstreams and the log observed with the
// invariants.
func (deployment *deployment) check() *checker {
	checker := &checker{deployment: deployment, dispatched: deployment.dispatches(), versions: referenceReplay(deployment.platform.Records(configStream))}
	for _, result := range deployment.results {
		checker.checkResult(result)
	}
	for _, dispatch := range checker.dispatched {
		checker.checkDispatch(dispatch)
	}
	checker.checkAtMostOnce()
	checker.checkEvictions()
	checker.checkSecretLeaks()
	checker.checkRates()
	checker.checkPlannedStops()
	checker.checkVersions()
	checker.checkPropagation()
	for _, problem := range deployment.problems {
		checker.fail(0, "%s", problem)
	}
	return checker
}

// countRuns counts the matching dispatches that an upstream ran.
func (checker *checker) countRuns(match func(dispatch) bool) int {
	count := 0
	for _, dispatch := range checker.dispatched {
		if dispatch.effect && match(dispatch) {
			count++
		}
	}
	return count
}

func (checker *checker) checkResult(result *Result) {
	switch {
	case result.TimedOut:
		checker.fail(0, "no final answer within its limit: %s", result)
		return
	case result.Err != nil:
		if !result.EntryDisrupted {
			checker.fail(7, "the answer broke off: %s", result)
		}
		return
	case result.Complete:
		checker.checkComplete(result)
	default:
		checker.checkRefusal(result)
	}
	if checker.interruptsNothing() && !result.Complete && result.Ran != "not-run" && !checker.metActiveClaim(result) {
		checker.fail(11, "the request was interrupted although no failure interrupts requests: %s", result)
	}
}

// metActiveClaim reports whether a copy of a request was refused with an unknown
// outcome because another copy, in flight when this one was sent, held the claim.
// Section 10 of the design page requires this response, and no request is
// interrupted by it.
func (checker *checker) metActiveClaim(result *Result) bool {
	for _, other := range checker.results {
		sameRequest := other != result && other.Request.Index == result.Request.Index && result.Request.Kind.Keyed()
		overlaps := !other.Sent.After(result.Sent) && other.Sent.Add(other.Took).After(result.Sent)
		if sameRequest && overlaps && result.ErrorKind == "outcome-unknown" && result.Ran == "unknown" {
			return true
		}
	}
	return false
}

// interruptsNothing reports whether the schedule has failures, none of which may
// interrupt a request.
func (deployment *deployment) interruptsNothing() bool {
	for _, planned := range deployment.schedule.Failures {
		if kind, _ := findFailureKind(planned.Name); !kind.nonInterrupting {
			return false
		}
	}
	return len(deployment.schedule.Failures) > 0
}

func (checker *checker) checkComplete(result *Result) {
	request := result.Request
	if request.Kind == Foreign {
		checker.fail(3, "another organisation's adapter answered: %s", result)
		return
	}
	adapter := ""
	version, err := strconv.ParseUint(result.Version, 10, 32)
	got := result.Text
	if request.Kind.UsesAdapter() {
		adapter = adapterName(request.Organisation, request.Adapter)
		if err != nil || result.Adapter != adapter || request.Version > 0 && uint32(version) != request.Version || version > adapterVersions {
			checker.fail(1, "the answer names another adapter or version than %s@%d: %s", adapter, request.Version, result)
			return
		}
	} else {
		got = plainResult(result.Text)
	}
	text, finish := referenceResponse(request, adapter, uint32(version))
	if got != text || result.Finish != finish {
		checker.fail(7, "the answer is %q (%s), a single process answers %q (%s): %s", got, result.Finish, text, finish, result)
	}
	runs := checker.countRuns(func(dispatch dispatch) bool { return dispatch.known && dispatch.request.Index == request.Index })
	if runs == 0 {
		checker.fail(7, "the answer is complete, but nothing ran: %s", result)
	}
}

func (checker *checker) checkRefusal(result *Result) {
	switch result.Ran {
	case "ran", "unknown":
	case "not-run":
		runs := checker.countRuns(func(dispatch dispatch) bool { return dispatch.id == result.RequestID })
		if runs > 0 || result.RequestID == "" {
			checker.fail(8, "%d runs of a request that did not run: %s", runs, result)
		}
	default:
		checker.fail(8, "the refusal does not say whether the request ran: %s", result)
	}
}

func (checker *checker) checkDispatch(dispatch dispatch) {
	request := dispatch.request
	name := checker.upstreams[dispatch.upstream]
	if !dispatch.known {
		checker.fail(1, "upstream %s ran work that nobody asked for: %+v", name, dispatch)
		return
	}
	if request.Kind == Foreign || dispatch.organisation != organisationSpecs[request.Organisation].name {
		checker.fail(3, "upstream %s ran request %d for %q", name, request.Index, dispatch.organisation)
	}
	if request.Kind.UsesAdapter() {
		adapter := adapterName(request.Organisation, request.Adapter)
		if dispatch.adapter != adapter || request.Version > 0 && dispatch.version != request.Version {
			checker.fail(1, "upstream %s ran request %d on %s@%d in place of %s@%d", name, request.Index, dispatch.adapter, dispatch.version, adapter, request.Version)
		}
	}
	if !dispatch.resumed {
		checker.checkWithdrawn(dispatch)
		checker.checkDraining(dispatch)
		checker.checkHalf(dispatch)
	}
}

// tooLate reports whether a side process dispatched a request so long after a
// decision that it should have known the decision. The bound is extended by
// failures that kept the process from learning of it.
func (checker *checker) tooLate(dispatch dispatch, decided time.Time, bound time.Duration) bool {
	side := checker.sides[dispatch.upstream]
	extra := side.stalenessAllowance(decided, dispatch.at)
	if outage := checker.logOutage; outage.from.Sub(decided) < logReadWindow && outage.until.After(decided) {
		extra = max(extra, outage.until.Sub(decided))
	}
	return dispatch.at.Sub(decided) > bound+extra
}

func (checker *checker) checkWithdrawn(dispatch dispatch) {
	withdrawn, _, ok := findVersion(checker.versions, func(op patch.WithdrawKey) bool { return op.ID == checker.keys.withdrawnID })
	if ok && dispatch.request.Withdrawn && checker.tooLate(dispatch, withdrawn.at, withdrawalBound) {
		checker.fail(5, "upstream %s ran request %d %s after its key was withdrawn",
			checker.upstreams[dispatch.upstream], dispatch.request.Index, dispatch.at.Sub(withdrawn.at))
	}
}

func (checker *checker) checkDraining(dispatch dispatch) {
	name := checker.upstreams[dispatch.upstream]
	for _, draining := range checker.draining {
		from := draining.at
		if checker.listStale.until.After(from) {
			from = checker.listStale.until
		}
		if draining.upstream == name && checker.tooLate(dispatch, from, drainingBound) {
			checker.fail(10, "upstream %s received request %d %s after it was listed as leaving", name, dispatch.request.Index, dispatch.at.Sub(draining.at))
		}
	}
}

func (checker *checker) checkHalf(dispatch dispatch) {
	name := checker.upstreams[dispatch.upstream]
	asked := organisationSpecs[dispatch.request.Organisation].half
	before := upstreamHalf(dispatch.upstream)
	moved, op, ok := findVersion(checker.versions, func(op patch.PutUpstream) bool { return op.Upstream.ID == name })
	allowed := mayRunInHalf(asked, before)
	if ok && !dispatch.at.Before(moved.at) {
		allowed = mayRunInHalf(asked, op.Upstream.Half) || allowed && !checker.tooLate(dispatch, moved.at, configBound)
	}
	if !allowed {
		checker.fail(3, "upstream %s ran request %d of the half %q", name, dispatch.request.Index, asked)
	}
}

func (checker *checker) checkAtMostOnce() {
	for _, request := range checker.schedule.Requests {
		if !request.Kind.AtMostOnce() {
			continue
		}
		runs := checker.countRuns(func(dispatch dispatch) bool { return dispatch.known && dispatch.request.Index == request.Index })
		if runs > 1 {
			checker.fail(9, "request %d (%s, copies %v) ran %d times", request.Index, request.Kind, request.Copies, runs)
		}
	}
}

func (checker *checker) checkEvictions() {
	for index, engine := range checker.engines {
		for _, violation := range engine.Observed().Violations {
			checker.fail(2, "upstream %s was ordered to unload %s@%d in use by %v", checker.upstreams[index], violation.Adapter, violation.Version, violation.Requests)
		}
	}
}

func (checker *checker) checkSecretLeaks() {
	var leaks []string
	for _, engine := range checker.engines {
		leaks = append(leaks, engine.Observed().KeyLeaks...)
	}
	for _, service := range checker.services {
		leaks = append(leaks, service.Observed().KeyLeaks...)
	}
	for name := range checker.platform.Observed().Records {
		for _, record := range checker.platform.Records(name) {
			for _, secret := range checker.network.secrets {
				if bytes.Contains(record.Data, secret) {
					leaks = append(leaks, "log stream "+name)
				}
			}
		}
	}
	if count := checker.network.leaks + checker.logScanner.leaks; len(leaks) > 0 || count > 0 {
		checker.fail(4, "keys in what upstreams received %v, %d in bytes to stand-ins, %d in log lines", leaks, checker.network.leaks, checker.logScanner.leaks)
	}
}

func (checker *checker) checkRates() {
	for _, organisation := range organisationSpecs {
		var own []dispatch
		for _, dispatch := range checker.dispatched {
			if dispatch.organisation == organisation.name {
				own = append(own, dispatch)
			}
		}
		if excess := excessTokens(own, organisation.rate, organisation.burst); excess > 0 {
			checker.fail(6, "organisation %s got %.1f tokens more than its rate and burst allow", organisation.name, excess)
		}
	}
}

func (checker *checker) checkPlannedStops() {
	for _, stop := range checker.plannedStops {
		if stop.err != nil {
			checker.fail(11, "the planned stop of %s ended with %v", stop.process, stop.err)
		}
	}
}
