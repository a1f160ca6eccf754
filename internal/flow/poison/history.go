package poison

import (
	"cmp"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
)

// history is what is known of one subject.
type history struct {
	subject Subject
	// evidence is ordered by time.
	evidence []knownEvidence
	// completed holds the last completion for each organisation.
	completed map[string]knownCompletion
	// probedAt is when an instance last sent a probe, and probeAnnounceUntil the end
	// of the time in which that is passed on.
	probedAt           time.Time
	probeAnnounceUntil time.Time
}

// knownEvidence is evidence with what is needed to pass it on.
type knownEvidence struct {
	Evidence
	// announceUntil is the end of the time in which it is passed on with each report.
	announceUntil time.Time
}

type knownCompletion struct {
	at            time.Time
	announceUntil time.Time
}

// add stores evidence and reports whether it is new.
func (history *history) add(added knownEvidence) bool {
	for i, known := range history.evidence {
		if !known.sameAs(added.Evidence) {
			continue
		}
		history.evidence[i].Fresh = known.Fresh || added.Fresh
		history.evidence[i].Unanswered = known.Unanswered || added.Unanswered
		history.evidence[i].Probe = known.Probe || added.Probe
		return history.evidence[i].Fresh != known.Fresh
	}
	history.evidence = append(history.evidence, added)
	slices.SortStableFunc(history.evidence, func(a, b knownEvidence) int { return a.At.Compare(b.At) })
	history.limitUnanswered(added.Upstream)
	if excess := len(history.evidence) - maxEvidence; excess > 0 {
		history.evidence = slices.Delete(history.evidence, 0, excess)
	}
	return true
}

// limitUnanswered drops the evidence of requests without an answer at one crash beyond
// maxUnanswered of them. It keeps those with the lowest identities, so that all instances
// keep the same ones.
func (history *history) limitUnanswered(upstream cordon.Incarnation) {
	var last *knownEvidence
	count := 0
	for i := range history.evidence {
		known := &history.evidence[i]
		if known.Upstream != upstream || !known.Unanswered {
			continue
		}
		if count++; last == nil || known.Request > last.Request {
			last = known
		}
	}
	if count > maxUnanswered {
		dropped := last.Request
		history.evidence = slices.DeleteFunc(history.evidence, func(known knownEvidence) bool {
			return known.Upstream == upstream && known.Request == dropped
		})
	}
}

// complete stores a completion, drops the evidence that it refutes, and reports
// whether there was any.
func (history *history) complete(organisation string, completion knownCompletion) bool {
	known := history.completed[organisation]
	if !known.at.Before(completion.at) {
		return false
	}
	if known.announceUntil.After(completion.announceUntil) {
		completion.announceUntil = known.announceUntil
	}
	history.completed[organisation] = completion
	before := len(history.evidence)
	history.evidence = slices.DeleteFunc(history.evidence, func(known knownEvidence) bool {
		return known.Organisation == organisation && !known.At.After(completion.at)
	})
	return len(history.evidence) < before
}

// lastCompletion returns when a response was last completed for any organisation.
func (history *history) lastCompletion() time.Time {
	var last time.Time
	for _, completion := range history.completed {
		if completion.at.After(last) {
			last = completion.at
		}
	}
	return last
}

// soundAt reports whether the subject had been sound lately at a time.
func (history *history) soundAt(at time.Time, config Config) bool {
	last := history.lastCompletion()
	return !last.IsZero() && at.Sub(last) <= config.SoundTime
}

// block is the state of a subject for one organisation.
type block struct {
	blocked bool
	// last is when the last crash was, and probeAt when a probe may be sent.
	last    time.Time
	probeAt time.Time
}

// blockFor returns whether the subject is blocked for an organisation: because of the
// crashes under its own requests, or of those under all requests if they concern
// several organisations. So an organisation cannot get a
// subject blocked for others.
func (history *history) blockFor(organisation string, config Config) block {
	if len(history.evidence) < minEvidence {
		return block{}
	}
	own := history.tally(config, func(known knownEvidence) bool { return known.Organisation == organisation })
	if own.blocks() {
		return own.block(history.initialHold(config))
	}
	refutedUntil := history.lastCompletion()
	all := history.tally(config, func(known knownEvidence) bool { return known.At.After(refutedUntil) })
	if all.blocks() && all.organisations > 1 {
		return all.block(history.initialHold(config))
	}
	return block{}
}

// initialHold returns how long the subject is blocked before the first probe.
func (history *history) initialHold(config Config) time.Duration {
	if !history.subject.isRequest() && history.soundAt(history.lastEvidence(), config) {
		return min(ambiguousHold, config.InitialHold)
	}
	return config.InitialHold
}

// tally sums up evidence.
type tally struct {
	weight        int
	organisations int
	failedProbes  int
	last          time.Time
}

func (tally tally) blocks() bool { return tally.weight >= blockWeight }

func (tally tally) block(hold time.Duration) block {
	for range tally.failedProbes {
		hold = min(hold*holdFactor, maxHold)
	}
	return block{blocked: true, last: tally.last, probeAt: tally.last.Add(hold)}
}

// crash is the end of one upstream, with the weight that each request gives it.
type crash struct {
	weights map[uint64]int
	probe   bool
}

// tally sums up the evidence that a function selects.
func (history *history) tally(config Config, selected func(knownEvidence) bool) tally {
	var sum tally
	var crashes []*crash
	byUpstream := make(map[cordon.Incarnation]*crash)
	perRequest, organisations := make(map[uint64]int), make(map[string]bool)
	var countedAt time.Time
	for _, known := range history.evidence {
		if !selected(known) {
			continue
		}
		organisations[known.Organisation] = true
		sum.last = known.At
		counted, ok := byUpstream[known.Upstream]
		switch {
		case !ok && known.At.Sub(countedAt) < coincidence:
			continue
		case !ok:
			countedAt = known.At
			counted = &crash{weights: make(map[uint64]int), probe: known.Probe}
			byUpstream[known.Upstream] = counted
			crashes = append(crashes, counted)
		}
		perRequest[known.Request]++
		counted.weights[known.Request] = max(counted.weights[known.Request], history.weight(known.Evidence, config))
	}
	for _, counted := range crashes {
		if counted.probe {
			sum.failedProbes++
		}
	}
	sum.weight, sum.organisations = history.sumWeights(crashes, perRequest), len(organisations)
	return sum
}

// weight returns the weight of one record of evidence.
func (history *history) weight(evidence Evidence, config Config) int {
	sound := history.soundAt(evidence.At, config)
	switch {
	case evidence.Fresh && !sound:
		return freshWeight
	case evidence.Unanswered && (history.subject.isRequest() || !sound):
		return unansweredWeight
	case history.subject.isRequest() || evidence.Unanswered:
		return otherWeight
	default:
		return lateWeight
	}
}

// sumWeights sums up the weights of crashes. Of the requests under which an upstream
// crashed, the one counts that gives the most weight, and of several the one under which
// most upstreams crashed. Against a part, each request counts with freshWeight at most,
// however often it is repeated.
func (history *history) sumWeights(crashes []*crash, perRequest map[uint64]int) int {
	byRequest := make(map[uint64]int)
	for _, crash := range crashes {
		var request uint64
		for candidate, weight := range crash.weights {
			better := cmp.Or(cmp.Compare(weight, crash.weights[request]), cmp.Compare(perRequest[candidate], perRequest[request]), cmp.Compare(candidate, request))
			if better > 0 {
				request = candidate
			}
		}
		byRequest[request] += crash.weights[request]
	}
	sum := 0
	for _, weight := range byRequest {
		if !history.subject.isRequest() {
			weight = min(weight, freshWeight)
		}
		sum += weight
	}
	return sum
}

// hasCrash reports whether there is evidence of an upstream's crash.
func (history *history) hasCrash(upstream cordon.Incarnation) bool {
	return slices.ContainsFunc(history.evidence, func(known knownEvidence) bool { return known.Upstream == upstream })
}

// crashes returns the number of upstreams whose crashes speak against the subject.
func (history *history) crashes() int {
	upstreams := make(map[cordon.Incarnation]bool)
	for _, known := range history.evidence {
		upstreams[known.Upstream] = true
	}
	return len(upstreams)
}

// blockedUntil returns the end of the longest hold for any organisation, or zero if
// the subject is not blocked.
func (history *history) blockedUntil(config Config) time.Time {
	var until time.Time
	if len(history.evidence) < minEvidence {
		return until
	}
	for _, known := range history.evidence {
		if block := history.blockFor(known.Organisation, config); block.blocked && block.probeAt.After(until) {
			until = block.probeAt
		}
	}
	return until
}

// sharesCrashesWith reports whether there is evidence against another subject at all
// crashes that speak against the subject.
func (history *history) sharesCrashesWith(other *history) bool {
	for _, known := range history.evidence {
		if !other.hasCrash(known.Upstream) {
			return false
		}
	}
	return len(history.evidence) > 0
}

// probeDue reports whether the instance that ranks at a place, counted from 0, may
// send a probe that may be sent from a time on.
func (history *history) probeDue(now, probeAt time.Time, place int) bool {
	awaited := !history.probedAt.IsZero() && now.Sub(history.probedAt) < probeInterval
	return !awaited && !now.Before(probeAt.Add(time.Duration(place)*probeStagger))
}

// lastEvidence returns when the last crash was, or zero.
func (history *history) lastEvidence() time.Time {
	if len(history.evidence) == 0 {
		return time.Time{}
	}
	return history.evidence[len(history.evidence)-1].At
}

// expired reports whether the subject may be forgotten.
func (history *history) expired(now time.Time, config Config) bool {
	last := history.blockedUntil(config)
	if last.IsZero() {
		last = history.lastEvidence()
	}
	if last.IsZero() {
		return now.Sub(history.lastCompletion()) > config.SoundTime
	}
	return now.Sub(last) > retention
}

// compareEvidence orders evidence for passing it on.
func compareEvidence(a, b Evidence) int {
	return cmp.Or(a.Subject.compare(b.Subject), a.At.Compare(b.At), cmp.Compare(a.Request, b.Request), cmp.Compare(a.Upstream.ID, b.Upstream.ID))
}
