package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
)

// Tracker tracks which parts of prompts and which requests crash upstreams. Its methods
// may be called concurrently.
type Tracker struct {
	config Config

	mutex    sync.Mutex
	subjects map[Subject]*history
	// soundParts and soundRequests hold the last completions of subjects without
	// evidence.
	soundParts, soundRequests *soundSubjects
	// explained holds the blocked subject that explains a crash. The crash speaks against
	// nothing else then.
	explained map[cordon.Incarnation]Subject
	expiredAt time.Time
	// nextEvidence is where the next part of the evidence begins that AgainstBlocked returns.
	nextEvidence int
}

// New returns an empty Tracker.
func New(config Config) *Tracker {
	return &Tracker{
		config: config.withDefaults(), subjects: make(map[Subject]*history), explained: make(map[cordon.Incarnation]Subject),
		soundParts: newSoundSubjects(maxSoundParts), soundRequests: newSoundSubjects(maxSoundRequests),
	}
}

// Add records evidence that this instance (own) or another one observed. It returns
// the subjects that are blocked because of it and were not before, and those that no
// longer are.
func (tracker *Tracker) Add(own bool, added []Evidence) (blocked, cleared []Subject) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.expire()
	var suspects []*history
	for _, evidence := range tracker.withoutExplained(tracker.withoutRefuted(added)) {
		known := tracker.subjects[evidence.Subject]
		before := known.blockFor(evidence.Organisation, tracker.config).blocked
		announced := knownEvidence{Evidence: evidence}
		if own {
			announced.announceUntil = time.Now().Add(tracker.config.AnnouncePeriod)
		}
		known.add(announced)
		after := known.blockFor(evidence.Organisation, tracker.config).blocked
		if !before && after && !slices.Contains(blocked, evidence.Subject) {
			blocked = append(blocked, evidence.Subject)
		}
		if after && known.mayExplain(tracker.config) && !slices.Contains(suspects, known) {
			suspects = append(suspects, known)
		}
	}
	// The subject under which most upstreams crashed explains the others' crashes.
	slices.SortStableFunc(suspects, func(a, b *history) int { return cmp.Compare(b.crashes(), a.crashes()) })
	for _, suspect := range suspects {
		if !suspect.blockedUntil(tracker.config).IsZero() {
			cleared = append(cleared, tracker.explain(suspect)...)
		}
	}
	blocked = slices.DeleteFunc(blocked, func(subject Subject) bool { return slices.Contains(cleared, subject) })
	return blocked, cleared
}

// withoutRefuted drops the evidence that a completion refutes. The completion is
// announced again, as the sender of the evidence has not heard of it.
func (tracker *Tracker) withoutRefuted(added []Evidence) []Evidence {
	return slices.DeleteFunc(slices.Clone(added), func(evidence Evidence) bool {
		known := tracker.historyOf(evidence.Subject)
		if known == nil {
			return true
		}
		completion, ok := known.completed[evidence.Organisation]
		if !ok || evidence.At.After(completion.at) {
			return false
		}
		completion.announceUntil = time.Now().Add(tracker.config.AnnouncePeriod)
		known.completed[evidence.Organisation] = completion
		return true
	})
}

// historyOf returns the history of a subject, which it creates if needed, or nil if
// there are too many.
func (tracker *Tracker) historyOf(subject Subject) *history {
	known, ok := tracker.subjects[subject]
	if ok {
		return known
	}
	if len(tracker.subjects) >= maxSubjects {
		return nil
	}
	known = &history{subject: subject, completed: make(map[string]knownCompletion)}
	if completion, ok := tracker.sound(subject).last(subject); ok {
		known.completed[completion.Organisation] = knownCompletion{at: completion.At, announceUntil: time.Now().Add(tracker.config.AnnouncePeriod)}
	}
	tracker.subjects[subject] = known
	return known
}

// sound returns the sound subjects of a subject's kind.
func (tracker *Tracker) sound(subject Subject) *soundSubjects {
	if subject.isRequest() {
		return tracker.soundRequests
	}
	return tracker.soundParts
}

// expire forgets subjects, once every expireInterval.
func (tracker *Tracker) expire() {
	now := time.Now()
	if now.Sub(tracker.expiredAt) < expireInterval {
		return
	}
	tracker.expiredAt = now
	maps.DeleteFunc(tracker.subjects, func(_ Subject, known *history) bool { return known.expired(now, tracker.config) })
	if len(tracker.subjects) < maxSubjects {
		return
	}
	maps.DeleteFunc(tracker.subjects, func(_ Subject, known *history) bool {
		return known.blockedUntil(tracker.config).IsZero() && now.Sub(known.lastEvidence()) > tracker.config.SoundTime
	})
}

// RecordCompleted records that an upstream completed its response to a request with
// subjects. It returns those that are no longer blocked for the organisation.
func (tracker *Tracker) RecordCompleted(organisation string, subjects []Subject) (cleared []Subject) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	for _, subject := range subjects {
		known, ok := tracker.subjects[subject]
		if !ok {
			tracker.sound(subject).record(Completion{Subject: subject, Organisation: organisation, At: now})
			continue
		}
		before := known.blockFor(organisation, tracker.config).blocked
		if known.complete(organisation, knownCompletion{at: now}) {
			known.completed[organisation] = knownCompletion{at: now, announceUntil: now.Add(tracker.config.AnnouncePeriod)}
		}
		if before && !known.blockFor(organisation, tracker.config).blocked {
			cleared = append(cleared, subject)
		}
	}
	return cleared
}

// Check decides whether a request may be sent. place returns this instance's place,
// counted from 0, in the ranking of all instances for a subject.
func (tracker *Tracker) Check(organisation string, subjects []Subject, place func(Subject) int) Verdict {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	var verdict Verdict
	var probed []*history
	for _, subject := range subjects {
		known, ok := tracker.subjects[subject]
		if !ok {
			continue
		}
		block := known.blockFor(organisation, tracker.config)
		if !block.blocked {
			continue
		}
		probeAt := block.probeAt
		if tracker.ambiguous(known, organisation, subjects) {
			probeAt = block.last.Add(ambiguousHold)
		}
		if !known.probeDue(now, probeAt, place(subject)) {
			retryAfter := max(probeAt.Sub(now), probeRetryAfter)
			verdict = Verdict{Blocked: true, Subject: subject, RetryAfter: max(retryAfter, verdict.RetryAfter)}
			continue
		}
		probed = append(probed, known)
	}
	if verdict.Blocked || len(probed) == 0 {
		return verdict
	}
	for _, known := range probed {
		known.probedAt, known.probeAnnounceUntil = now, now.Add(tracker.config.AnnouncePeriod)
	}
	return Verdict{Probe: true}
}

// Blocked reports whether a request has a blocked subject, also if it could be a probe.
func (tracker *Tracker) Blocked(organisation string, subjects []Subject) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return slices.ContainsFunc(subjects, func(subject Subject) bool {
		known, ok := tracker.subjects[subject]
		return ok && known.blockFor(organisation, tracker.config).blocked
	})
}

// ambiguous reports whether another blocked subject, which the request lacks, explains
// all that speaks against a subject.
func (tracker *Tracker) ambiguous(known *history, organisation string, subjects []Subject) bool {
	for subject, other := range tracker.subjects {
		if other == known || slices.Contains(subjects, subject) || !known.sharesCrashesWith(other) {
			continue
		}
		if other.blockFor(organisation, tracker.config).blocked {
			return true
		}
	}
	return false
}

// CountBlocked returns the number of subjects that are blocked for some organisation.
func (tracker *Tracker) CountBlocked() int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	count := 0
	for _, known := range tracker.subjects {
		if !known.blockedUntil(tracker.config).IsZero() {
			count++
		}
	}
	return count
}

// Evidence returns what speaks against a subject.
func (tracker *Tracker) Evidence(subject Subject) []Evidence {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	known, ok := tracker.subjects[subject]
	if !ok {
		return nil
	}
	var evidence []Evidence
	for _, item := range known.evidence {
		evidence = append(evidence, item.Evidence)
	}
	return evidence
}
