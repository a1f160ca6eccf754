package chaos

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

// Violation is a broken invariant. The numbers are those of section 2 of the
// design page; 0 stands for the final answer that every request gets.
type Violation struct {
	Invariant int
	Text      string
}

// String describes the violation.
func (violation Violation) String() string {
	return fmt.Sprintf("invariant %d: %s", violation.Invariant, violation.Text)
}

const (
	withdrawalBound = 4 * time.Second
	leavingBound    = 3 * time.Second
	configBound     = 4 * time.Second
	// readTime is the time after an append in which an outage may keep all
	// processes from reading it.
	readTime = 300 * time.Millisecond
)

// checker collects violations.
type checker struct {
	*world
	found      []Violation
	dispatched []dispatch
	versions   []version
	spread     []time.Duration
}

func (checker *checker) fail(invariant int, format string, args ...any) {
	checker.found = append(checker.found, Violation{invariant, fmt.Sprintf(format, args...)})
}

// check compares what callers, upstreams and log saw with the invariants.
func (world *world) check() *checker {
	checker := &checker{world: world, dispatched: world.dispatches(), versions: foldNaively(world.platform.Records(configStream))}
	for _, answer := range world.answers {
		checker.checkAnswer(answer)
	}
	for _, dispatch := range checker.dispatched {
		checker.checkDispatch(dispatch)
	}
	checker.checkOnce()
	checker.checkEvictions()
	checker.checkKeys()
	checker.checkRates()
	checker.checkStops()
	checker.checkVersions()
	checker.checkSpread()
	for _, problem := range world.problems {
		checker.fail(0, "%s", problem)
	}
	return checker
}

// effects counts the runs that match.
func (checker *checker) effects(match func(dispatch) bool) int {
	count := 0
	for _, dispatch := range checker.dispatched {
		if dispatch.effect && match(dispatch) {
			count++
		}
	}
	return count
}

func (checker *checker) checkAnswer(answer *Answer) {
	switch {
	case answer.Silent:
		checker.fail(0, "no final answer within its limit: %s", answer)
		return
	case answer.Err != nil:
		if !answer.Disturbed {
			checker.fail(7, "the answer broke off: %s", answer)
		}
		return
	case answer.Complete:
		checker.checkComplete(answer)
	default:
		checker.checkRefusal(answer)
	}
	if checker.gentle() && !answer.Complete && answer.Ran != "not-run" && !checker.meetsClaim(answer) {
		checker.fail(11, "the request was interrupted although no failure interrupts requests: %s", answer)
	}
}

// meetsClaim reports whether an answer is the unknown of a copy that met the
// claim of another copy, which was in flight when it was sent. Section 10 of
// the design page requires this answer, and it interrupts nothing.
func (checker *checker) meetsClaim(answer *Answer) bool {
	for _, other := range checker.answers {
		same := other != answer && other.Request.Index == answer.Request.Index && answer.Request.Kind.Keyed()
		flying := !other.Sent.After(answer.Sent) && other.Sent.Add(other.Took).After(answer.Sent)
		if same && flying && answer.Kind == "outcome-unknown" && answer.Ran == "unknown" {
			return true
		}
	}
	return false
}

// gentle reports whether no failure of the schedule interrupts requests.
func (world *world) gentle() bool {
	for _, planned := range world.schedule.Failures {
		if kind, _ := findFailure(planned.Name); !kind.gentle {
			return false
		}
	}
	return len(world.schedule.Failures) > 0
}

func (checker *checker) checkComplete(answer *Answer) {
	request := answer.Request
	if request.Kind == Foreign {
		checker.fail(3, "another organisation's adapter answered: %s", answer)
		return
	}
	adapter := ""
	version, err := strconv.ParseUint(answer.Version, 10, 32)
	got := answer.Text
	if request.Kind.Model() {
		adapter = adapterName(request.Organisation, request.Adapter)
		if err != nil || answer.Adapter != adapter || request.Version > 0 && uint32(version) != request.Version || version > adapterVersions {
			checker.fail(1, "the answer names another adapter or version than %s@%d: %s", adapter, request.Version, answer)
			return
		}
	} else {
		got = plainResult(answer.Text)
	}
	text, finish := naiveAnswer(request, adapter, uint32(version))
	if got != text || answer.Finish != finish {
		checker.fail(7, "the answer is %q (%s), a single process answers %q (%s): %s", got, answer.Finish, text, finish, answer)
	}
	runs := checker.effects(func(dispatch dispatch) bool { return dispatch.known && dispatch.request.Index == request.Index })
	if runs == 0 {
		checker.fail(7, "the answer is complete, but nothing ran: %s", answer)
	}
}

func (checker *checker) checkRefusal(answer *Answer) {
	switch answer.Ran {
	case "ran", "unknown":
	case "not-run":
		runs := checker.effects(func(dispatch dispatch) bool { return dispatch.id == answer.RequestID })
		if runs > 0 || answer.RequestID == "" {
			checker.fail(8, "%d runs of a request that did not run: %s", runs, answer)
		}
	default:
		checker.fail(8, "the refusal does not say whether the request ran: %s", answer)
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
	if request.Kind.Model() {
		adapter := adapterName(request.Organisation, request.Adapter)
		if dispatch.adapter != adapter || request.Version > 0 && dispatch.version != request.Version {
			checker.fail(1, "upstream %s ran request %d on %s@%d in place of %s@%d", name, request.Index, dispatch.adapter, dispatch.version, adapter, request.Version)
		}
	}
	if !dispatch.resumed {
		checker.checkWithdrawn(dispatch)
		checker.checkLeaving(dispatch)
		checker.checkHalf(dispatch)
	}
}

// late reports whether a side process should have known by a time what was
// decided at another.
func (checker *checker) late(dispatch dispatch, decided time.Time, bound time.Duration) bool {
	side := checker.sides[dispatch.upstream]
	extra := side.allowance(decided, dispatch.at)
	if down := checker.logDown; down.from.Sub(decided) < readTime && down.until.After(decided) {
		extra = max(extra, down.until.Sub(decided))
	}
	return dispatch.at.Sub(decided) > bound+extra
}

func (checker *checker) checkWithdrawn(dispatch dispatch) {
	withdrawn, _, ok := find(checker.versions, func(op patch.WithdrawKey) bool { return op.ID == checker.keys.withdrawnID })
	if ok && dispatch.request.Withdrawn && checker.late(dispatch, withdrawn.at, withdrawalBound) {
		checker.fail(5, "upstream %s ran request %d %s after its key was withdrawn",
			checker.upstreams[dispatch.upstream], dispatch.request.Index, dispatch.at.Sub(withdrawn.at))
	}
}

func (checker *checker) checkLeaving(dispatch dispatch) {
	name := checker.upstreams[dispatch.upstream]
	for _, left := range checker.left {
		from := left.at
		if checker.listStale.until.After(from) {
			from = checker.listStale.until
		}
		if left.upstream == name && checker.late(dispatch, from, leavingBound) {
			checker.fail(10, "upstream %s received request %d %s after it was listed as leaving", name, dispatch.request.Index, dispatch.at.Sub(left.at))
		}
	}
}

func (checker *checker) checkHalf(dispatch dispatch) {
	name := checker.upstreams[dispatch.upstream]
	asked := organisationSpecs[dispatch.request.Organisation].half
	before := upstreamHalf(dispatch.upstream)
	moved, op, ok := find(checker.versions, func(op patch.PutUpstream) bool { return op.Upstream.ID == name })
	allowed := naiveShares(asked, before)
	if ok && !dispatch.at.Before(moved.at) {
		allowed = naiveShares(asked, op.Upstream.Half) || allowed && !checker.late(dispatch, moved.at, configBound)
	}
	if !allowed {
		checker.fail(3, "upstream %s ran request %d of the half %q", name, dispatch.request.Index, asked)
	}
}

func (checker *checker) checkOnce() {
	for _, request := range checker.schedule.Requests {
		if !request.Kind.Once() {
			continue
		}
		runs := checker.effects(func(dispatch dispatch) bool { return dispatch.known && dispatch.request.Index == request.Index })
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

func (checker *checker) checkKeys() {
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
	if count := checker.network.leaks + checker.lines.leaks; len(leaks) > 0 || count > 0 {
		checker.fail(4, "keys in what upstreams received %v, %d in bytes to stand-ins, %d in log lines", leaks, checker.network.leaks, checker.lines.leaks)
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
		if over := excess(own, organisation.rate, organisation.burst); over > 0 {
			checker.fail(6, "organisation %s got %.1f tokens more than its rate and burst allow", organisation.name, over)
		}
	}
}

func (checker *checker) checkStops() {
	for _, stop := range checker.stopped {
		if stop.err != nil {
			checker.fail(11, "the planned stop of %s ended with %v", stop.process, stop.err)
		}
	}
}
