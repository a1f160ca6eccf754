package poison

import (
	"slices"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
)

// explain drops what the crashes of a blocked suspect speak against, but for a subject that
// explains them as well. It returns the subjects that are no longer blocked.
func (tracker *Tracker) explain(suspect *history) (cleared []Subject) {
	if len(tracker.explained) >= maxExplained {
		clear(tracker.explained)
	}
	last := suspect.evidence[len(suspect.evidence)-1].Upstream
	for _, known := range suspect.evidence {
		tracker.explained[known.Upstream] = suspect.subject
	}
	for subject, other := range tracker.subjects {
		if other == suspect || other.explainsAsWell(suspect, last, tracker.config) {
			continue
		}
		before := !other.blockedUntil(tracker.config).IsZero()
		other.removeExplained(tracker.explained)
		if before && other.blockedUntil(tracker.config).IsZero() {
			cleared = append(cleared, subject)
		}
	}
	return cleared
}

// withoutExplained drops the evidence against the other subjects of a request if one of
// them is blocked already and explains the crash, and the evidence at a crash that another
// blocked subject explains.
func (tracker *Tracker) withoutExplained(added []Evidence) []Evidence {
	explained := make(map[uint64]bool)
	explains := func(evidence Evidence) bool {
		known, ok := tracker.subjects[evidence.Subject]
		return ok && known.blockFor(evidence.Organisation, tracker.config).blocked && known.mayExplain(tracker.config)
	}
	for _, evidence := range added {
		if explains(evidence) {
			explained[evidence.Request] = true
		}
	}
	return slices.DeleteFunc(added, func(evidence Evidence) bool {
		return tracker.isExplained(evidence) || explained[evidence.Request] && !explains(evidence)
	})
}

// isExplained reports whether a blocked subject explains the crash of evidence against
// another one, which was not at all crashes under the blocked subject.
func (tracker *Tracker) isExplained(evidence Evidence) bool {
	suspect, ok := tracker.explained[evidence.Upstream]
	if !ok || suspect.concerns(evidence) {
		return false
	}
	accused := evidence.Subject
	if suspect.isRequest() {
		accused = Request(evidence.Request)
	}
	known, other := tracker.subjects[suspect], tracker.subjects[accused]
	return known == nil || other == nil || !other.explainsAsWell(known, evidence.Upstream, tracker.config)
}

// removeExplained removes the evidence at crashes that other blocked subjects explain.
func (history *history) removeExplained(explained map[cordon.Incarnation]Subject) {
	history.evidence = slices.DeleteFunc(history.evidence, func(known knownEvidence) bool {
		suspect, ok := explained[known.Upstream]
		return ok && !suspect.concerns(known.Evidence)
	})
}

// mayExplain reports whether the subject, if it is blocked, explains crashes: a part that
// was sound lately does not, as another one may be the cause.
func (history *history) mayExplain(config Config) bool {
	return history.subject.isRequest() || !history.soundAt(history.lastEvidence(), config)
}

// explainsAsWell reports whether the subject was at all upstreams which crashed under a
// suspect, so that either may be the cause. The evidence of one crash may still be on its
// way. A part does not explain the crashes of a request, and a subject that was sound
// lately not those of a part that was not.
func (history *history) explainsAsWell(suspect *history, awaited cordon.Incarnation, config Config) bool {
	switch {
	case suspect.subject.isRequest():
		if !history.subject.isRequest() {
			return false
		}
	case history.soundAt(suspect.lastEvidence(), config):
		return false
	}
	return !slices.ContainsFunc(suspect.evidence, func(known knownEvidence) bool {
		return known.Upstream != awaited && !history.hasCrash(known.Upstream)
	})
}
