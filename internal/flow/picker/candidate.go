package picker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/permit"
	"jacinthfront.dev/jacinthfront/internal/flow/speed"
)

// minPermitWait is the least expected time until a rate limit that is used up
// admits a request.
const minPermitWait = 10 * time.Millisecond

// candidate is an upstream that may get a request, with the values by which it
// is compared.
type candidate struct {
	*upstream
	load    int
	backlog int64
	wait    time.Duration
	// cost is what an upstream is chosen by: the wait, and where upstreams state their
	// work factor also the time for the prompt and the risk of pauses. lastingCost is the
	// one without slow moments, for decisions that load adapters.
	cost        time.Duration
	lastingCost time.Duration
	work        speed.Work
	full        bool
	hasAdapter  bool
	sameDomain  bool
	// admission is what the upstream's rate limit says, and admitted whether it admits
	// the request.
	admission permit.Admission
	admitted  bool
}

// Obstacle says why an upstream gets a request neither now nor after a wait for a permit.
type Obstacle string

// The obstacles. NoObstacle means that the upstream may be a candidate.
const (
	NoObstacle   Obstacle = ""
	Draining     Obstacle = "draining"
	Backoff      Obstacle = "backoff"
	InEvacuation Obstacle = "evacuated"
	Tried        Obstacle = "tried"
	OtherVersion Obstacle = "other-software-version"
	Unreachable  Obstacle = "unreachable"
	LoadingModel Obstacle = "loading-model"
	Silent       Obstacle = "silent"
	Ejected      Obstacle = "ejected"
	// NotReported means that the loader has not reported since the engine was listed lately,
	// and that there are others.
	NotReported Obstacle = "not-reported"
)

// obstacle returns why an upstream gets no request.
func (picker *Picker) obstacle(upstream *upstream, request Request, now time.Time) Obstacle {
	until, cordoned := picker.cordoned(upstream)
	switch {
	case upstream.draining() || cordoned && until.IsZero():
		return Draining
	case cordoned:
		return Backoff
	case picker.evacuated(upstream):
		return InEvacuation
	case slices.Contains(request.Exclude, upstream.spec.ID):
		return Tried
	case !request.fits(upstream.spec):
		return OtherVersion
	case request.Engine && !upstream.reportedAt.IsZero() && upstream.report.Unreachable:
		return Unreachable
	case request.Engine && !upstream.reportedAt.IsZero() && !upstream.report.ModelLoaded:
		return LoadingModel
	case request.Engine && request.Resumed && picker.silent(upstream, now) && !picker.answers(upstream, now):
		// It may have started again at another software version.
		return Silent
	case picker.config.Health != nil && !picker.config.Health.Usable(request.Service, upstream.spec.ID):
		return Ejected
	default:
		return NoObstacle
	}
}

// awaitsReport reports whether the loader of an engine has not reported since it was listed
// lately.
func (upstream *upstream) awaitsReport(request Request, now time.Time) bool {
	return request.Engine && upstream.reportedAt.IsZero() && now.Sub(upstream.listedAt) < firstReportTimeout
}

// newCandidate returns an upstream with the values by which it is compared, except the
// costs.
func (picker *Picker) newCandidate(upstream *upstream, request Request, now time.Time) candidate {
	load := picker.load(upstream, now)
	backlog := picker.backlog(upstream, load, request, now)
	wait := max(picker.wait(upstream, backlog), picker.coldWait(upstream, request, now))
	if request.WaitingAt == upstream.spec.ID {
		wait -= picker.config.MoveThreshold
	}
	candidate := candidate{
		upstream:   upstream,
		load:       load,
		backlog:    backlog,
		wait:       wait,
		work:       upstream.work(now),
		full:       picker.isFull(upstream, load, request) || request.MaxWait > 0 && wait > request.MaxWait,
		hasAdapter: upstream.hasAdapter(request.Adapter),
		sameDomain: upstream.spec.FailureDomain == picker.config.FailureDomain,
	}
	candidate.admission, candidate.admitted = picker.admits(upstream, request)
	return candidate
}

// candidates returns the upstreams that may get the request, in random order.
// Engines whose loader has not reported since they were listed are left out for
// firstReportTimeout, unless there are no others. Upstreams for which the request
// needs a permit are returned apart.
func (picker *Picker) candidates(request Request) (candidates, withoutPermit []candidate) {
	now := time.Now()
	var unreported []candidate
	for _, upstream := range picker.services[request.Service] {
		if picker.obstacle(upstream, request, now) != NoObstacle {
			continue
		}
		candidate := picker.newCandidate(upstream, request, now)
		switch {
		case !candidate.admitted:
			withoutPermit = append(withoutPermit, candidate)
		case upstream.awaitsReport(request, now):
			unreported = append(unreported, candidate)
		default:
			candidates = append(candidates, candidate)
		}
	}
	if len(candidates) == 0 {
		candidates = unreported
	}
	picker.setCosts(request, now, candidates, withoutPermit)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates, withoutPermit
}

// admits reports whether an upstream's rate limit admits a request besides those
// of this instance that wait there.
func (picker *Picker) admits(upstream *upstream, request Request) (admission permit.Admission, admitted bool) {
	if picker.config.Limits == nil {
		return permit.Admission{}, true
	}
	admission = picker.config.Limits.Admission(upstream.spec, request.Number, request.Engine && picker.reportIsRecent(upstream, time.Now()))
	waiting := len(upstream.waiting)
	if _, ok := upstream.waiting[request.Number]; ok {
		waiting--
	}
	return admission, admission.Held > waiting
}

// admitsAny reports whether an upstream's rate limit admits any request now.
func (picker *Picker) admitsAny(upstream *upstream, number uint64, byGrant bool) bool {
	return picker.config.Limits == nil || picker.config.Limits.Admission(upstream.spec, number, byGrant).Held > 0
}

// backlog returns how many prompt tokens are ahead of a request at an upstream.
// Requests that wait for an adapter are not ahead of one whose adapter is
// loaded.
func (picker *Picker) backlog(upstream *upstream, load int, request Request, now time.Time) int64 {
	backlog := int64(load * tokensPerRunning)
	if picker.reportIsRecent(upstream, now) {
		backlog += upstream.report.ahead(request)
	}
	covered := upstream.reportedAt.Add(-picker.config.ReportLag)
	for _, waiter := range upstream.waiting {
		if waiter.addedAt.After(covered) && upstream.hasAdapter(waiter.Adapter) && request.comesAfter(waiter, now) {
			backlog += waiter.PromptTokens
		}
	}
	return backlog
}

// wait returns how long an upstream takes to admit a backlog.
func (picker *Picker) wait(upstream *upstream, backlog int64) time.Duration {
	rate := cmp.Or(upstream.report.AdmissionRate, picker.config.AdmissionRate)
	return time.Duration(float64(backlog) / rate * float64(time.Millisecond))
}

// reportIsRecent reports whether an upstream's last report may still be used.
func (picker *Picker) reportIsRecent(upstream *upstream, now time.Time) bool {
	return !upstream.reportedAt.IsZero() && now.Sub(upstream.reportedAt) < picker.config.ReportTTL
}

// load estimates how many requests an upstream holds: those in a recent report
// and those that this instance has sent since, else the load named in an answer
// that has just come, else this instance's own requests there times the number
// of instances.
func (picker *Picker) load(upstream *upstream, now time.Time) int {
	if picker.reportIsRecent(upstream, now) {
		return max(upstream.report.Running+upstream.report.Queued+len(upstream.unreported), upstream.running)
	}
	if now.Sub(upstream.answeredAt) < picker.config.ReportLag {
		return max(upstream.answeredLoad, upstream.running)
	}
	return upstream.running * picker.instances
}

// isFull reports whether an upstream has no slot left for a request, or its
// engine not enough KV-cache memory.
func (picker *Picker) isFull(upstream *upstream, load int, request Request) bool {
	limit := upstream.spec.Slots
	if request.Urgent || !request.Engine {
		limit += picker.config.Overcommit
	}
	if load >= limit {
		return true
	}
	free := upstream.report.TotalTokens - upstream.report.UsedTokens
	return request.Engine && upstream.report.TotalTokens > 0 && free < request.KVTokens*int64(1+len(upstream.unreported))
}

// compareCost orders candidates by cost. Of equal ones, those in this
// instance's failure domain come first.
func compareCost(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), compareBool(b.sameDomain, a.sameDomain))
}

// compareLastingCost orders candidates for decisions that load adapters.
func compareLastingCost(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.lastingCost, b.lastingCost), compareBool(b.sameDomain, a.sameDomain))
}
