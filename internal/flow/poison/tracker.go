package poison

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Tracker tracks which parts of prompts crash upstreams. Its methods may be called
// concurrently.
type Tracker struct {
	config Config

	mutex sync.Mutex
	parts map[string]*history
	// sound and soundBefore hold the last completions of parts without evidence. When
	// sound is full, it replaces soundBefore.
	sound, soundBefore map[string]Completion
	expiredAt          time.Time
	// nextEvidence is where the next part of the evidence begins that AgainstBlocked returns.
	nextEvidence int
}

// New returns an empty Tracker.
func New(config Config) *Tracker {
	return &Tracker{config: config.withDefaults(), parts: make(map[string]*history), sound: make(map[string]Completion)}
}

// Add records evidence that this instance (own) or another one observed. It returns
// the parts that are blocked because of it and were not before.
func (tracker *Tracker) Add(own bool, added []Evidence) (blocked []string) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.expire()
	for _, evidence := range tracker.withoutExplained(tracker.withoutRefuted(added)) {
		known := tracker.parts[evidence.Part]
		before := known.blockFor(evidence.Organisation, tracker.config).blocked
		announced := knownEvidence{Evidence: evidence}
		if own {
			announced.announceUntil = time.Now().Add(tracker.config.AnnouncePeriod)
		}
		known.add(announced)
		if !before && known.blockFor(evidence.Organisation, tracker.config).blocked && !slices.Contains(blocked, evidence.Part) {
			blocked = append(blocked, evidence.Part)
		}
	}
	return blocked
}

// withoutRefuted drops the evidence that a completion refutes. The completion is
// announced again, as the sender of the evidence has not heard of it.
func (tracker *Tracker) withoutRefuted(added []Evidence) []Evidence {
	return slices.DeleteFunc(slices.Clone(added), func(evidence Evidence) bool {
		known := tracker.historyOf(evidence.Part)
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

// withoutExplained drops the evidence against the other parts of a request if one of
// its parts is blocked already, which explains the crash.
func (tracker *Tracker) withoutExplained(added []Evidence) []Evidence {
	explained := make(map[uint64]bool)
	isBlocked := func(evidence Evidence) bool {
		known, ok := tracker.parts[evidence.Part]
		return ok && known.blockFor(evidence.Organisation, tracker.config).blocked
	}
	for _, evidence := range added {
		if isBlocked(evidence) {
			explained[evidence.Request] = true
		}
	}
	return slices.DeleteFunc(added, func(evidence Evidence) bool {
		return explained[evidence.Request] && !isBlocked(evidence)
	})
}

// historyOf returns the history of a part, which it creates if needed, or nil if
// there are too many.
func (tracker *Tracker) historyOf(part string) *history {
	known, ok := tracker.parts[part]
	if ok {
		return known
	}
	if len(tracker.parts) >= maxParts {
		return nil
	}
	known = &history{completed: make(map[string]knownCompletion)}
	if completion, ok := tracker.lastSound(part); ok {
		known.completed[completion.Organisation] = knownCompletion{at: completion.At, announceUntil: time.Now().Add(tracker.config.AnnouncePeriod)}
	}
	tracker.parts[part] = known
	return known
}

// lastSound returns the last completion of a part without evidence.
func (tracker *Tracker) lastSound(part string) (Completion, bool) {
	if completion, ok := tracker.sound[part]; ok {
		return completion, true
	}
	completion, ok := tracker.soundBefore[part]
	return completion, ok
}

// expire forgets parts, once every expireInterval.
func (tracker *Tracker) expire() {
	now := time.Now()
	if now.Sub(tracker.expiredAt) < expireInterval {
		return
	}
	tracker.expiredAt = now
	maps.DeleteFunc(tracker.parts, func(_ string, known *history) bool { return known.expired(now, tracker.config) })
	if len(tracker.parts) < maxParts {
		return
	}
	maps.DeleteFunc(tracker.parts, func(_ string, known *history) bool {
		return known.blockedUntil(tracker.config).IsZero() && now.Sub(known.lastEvidence()) > tracker.config.SoundTime
	})
}

// RecordCompleted records that an upstream completed its response to a request with
// parts. It returns the parts that are no longer blocked for the organisation.
func (tracker *Tracker) RecordCompleted(organisation string, parts []string) (cleared []string) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	for _, part := range parts {
		known, ok := tracker.parts[part]
		if !ok {
			tracker.recordSound(Completion{Part: part, Organisation: organisation, At: now})
			continue
		}
		before := known.blockFor(organisation, tracker.config).blocked
		if known.complete(organisation, knownCompletion{at: now}) {
			known.completed[organisation] = knownCompletion{at: now, announceUntil: now.Add(tracker.config.AnnouncePeriod)}
		}
		if before && !known.blockFor(organisation, tracker.config).blocked {
			cleared = append(cleared, part)
		}
	}
	return cleared
}

func (tracker *Tracker) recordSound(completion Completion) {
	if len(tracker.sound) >= maxSoundParts/2 {
		tracker.soundBefore, tracker.sound = tracker.sound, make(map[string]Completion)
	}
	tracker.sound[completion.Part] = completion
}

// Merge records what another instance observed. It returns the parts that are blocked
// because of it and were not before, and those that no longer are.
func (tracker *Tracker) Merge(news News) (blocked, cleared []string) {
	cleared = tracker.complete(news.Completions)
	tracker.recordProbes(news.Probes)
	return tracker.Add(false, news.Evidence), cleared
}

// complete records completions that another instance observed. It returns the parts
// that are no longer blocked for the organisation of the completion.
func (tracker *Tracker) complete(completions []Completion) (cleared []string) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for _, completion := range completions {
		known := tracker.historyOf(completion.Part)
		if known == nil {
			continue
		}
		before := known.blockFor(completion.Organisation, tracker.config).blocked
		known.complete(completion.Organisation, knownCompletion{at: completion.At})
		if before && !known.blockFor(completion.Organisation, tracker.config).blocked {
			cleared = append(cleared, completion.Part)
		}
	}
	return cleared
}

func (tracker *Tracker) recordProbes(probes []Probe) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for _, probe := range probes {
		if known, ok := tracker.parts[probe.Part]; ok && known.probedAt.Before(probe.At) {
			known.probedAt = probe.At
		}
	}
}

// Check decides whether a request may be sent. place returns this instance's place,
// counted from 0, in the ranking of all instances for a part.
func (tracker *Tracker) Check(organisation string, parts []string, place func(part string) int) Verdict {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	var verdict Verdict
	var probed []*history
	for _, part := range parts {
		known, ok := tracker.parts[part]
		if !ok {
			continue
		}
		block := known.blockFor(organisation, tracker.config)
		if !block.blocked {
			continue
		}
		probeAt := block.probeAt
		if tracker.ambiguous(known, organisation, parts) {
			probeAt = block.last.Add(ambiguousHold)
		}
		if !known.probeDue(now, probeAt, place(part)) {
			retryAfter := max(probeAt.Sub(now), probeRetryAfter)
			verdict = Verdict{Blocked: true, Part: part, RetryAfter: max(retryAfter, verdict.RetryAfter)}
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

// Blocked reports whether a request has a blocked part, also if it could be a probe.
func (tracker *Tracker) Blocked(organisation string, parts []string) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return slices.ContainsFunc(parts, func(part string) bool {
		known, ok := tracker.parts[part]
		return ok && known.blockFor(organisation, tracker.config).blocked
	})
}

// ambiguous reports whether another blocked part, which the request lacks, explains
// all that speaks against a part.
func (tracker *Tracker) ambiguous(known *history, organisation string, parts []string) bool {
	for part, other := range tracker.parts {
		if other == known || slices.Contains(parts, part) || !known.sharesRequestsWith(other) {
			continue
		}
		if other.blockFor(organisation, tracker.config).blocked {
			return true
		}
	}
	return false
}

// Recent returns what this instance observed within the announce period, with at most
// maxRecent records of evidence.
func (tracker *Tracker) Recent() News {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	var news News
	for part, known := range tracker.parts {
		for _, item := range known.evidence {
			if now.Before(item.announceUntil) {
				news.Evidence = append(news.Evidence, item.Evidence)
			}
		}
		for organisation, completion := range known.completed {
			if now.Before(completion.announceUntil) {
				news.Completions = append(news.Completions, Completion{Part: part, Organisation: organisation, At: completion.at})
			}
		}
		if now.Before(known.probeAnnounceUntil) {
			news.Probes = append(news.Probes, Probe{Part: part, At: known.probedAt})
		}
	}
	if len(news.Evidence) > maxRecent {
		slices.SortStableFunc(news.Evidence, compareFresh)
		news.Evidence = news.Evidence[:maxRecent]
	}
	return news
}

// compareFresh orders fresh evidence first.
func compareFresh(a, b Evidence) int {
	switch {
	case a.Fresh == b.Fresh:
		return 0
	case a.Fresh:
		return -1
	default:
		return 1
	}
}

// AgainstBlocked returns up to limit records of the evidence against blocked parts,
// whoever observed it. If there are more, each call returns the next ones.
func (tracker *Tracker) AgainstBlocked(limit int) []Evidence {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var all []Evidence
	for _, known := range tracker.parts {
		if known.blockedUntil(tracker.config).IsZero() {
			continue
		}
		for _, item := range known.evidence {
			all = append(all, item.Evidence)
		}
	}
	slices.SortFunc(all, compareEvidence)
	if len(all) <= limit {
		return all
	}
	start := tracker.nextEvidence % len(all)
	tracker.nextEvidence = start + limit
	return append(slices.Clone(all[start:]), all[:start]...)[:limit]
}

// CountBlocked returns the number of parts that are blocked for some organisation.
func (tracker *Tracker) CountBlocked() int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	count := 0
	for _, known := range tracker.parts {
		if !known.blockedUntil(tracker.config).IsZero() {
			count++
		}
	}
	return count
}

// Evidence returns what speaks against a part.
func (tracker *Tracker) Evidence(part string) []Evidence {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	known, ok := tracker.parts[part]
	if !ok {
		return nil
	}
	var evidence []Evidence
	for _, item := range known.evidence {
		evidence = append(evidence, item.Evidence)
	}
	return evidence
}
