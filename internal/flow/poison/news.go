package poison

import (
	"cmp"
	"slices"
	"time"
)

// News is what one instance tells others.
type News struct {
	Evidence    []Evidence
	Completions []Completion
	Probes      []Probe
}

// Aged returns the news as they were told by an instance a time ago.
func (news News) Aged(age time.Duration) News {
	aged := News{Evidence: slices.Clone(news.Evidence), Completions: slices.Clone(news.Completions), Probes: slices.Clone(news.Probes)}
	for i := range aged.Evidence {
		aged.Evidence[i].At = aged.Evidence[i].At.Add(-age)
	}
	for i := range aged.Completions {
		aged.Completions[i].At = aged.Completions[i].At.Add(-age)
	}
	for i := range aged.Probes {
		aged.Probes[i].At = aged.Probes[i].At.Add(-age)
	}
	return aged
}

// Merge records what another instance observed. It returns the subjects that are
// blocked because of it and were not before, and those that no longer are.
func (tracker *Tracker) Merge(news News) (blocked, cleared []Subject) {
	refuted := tracker.complete(news.Completions)
	tracker.recordProbes(news.Probes)
	blocked, cleared = tracker.Add(false, news.Evidence)
	return blocked, append(refuted, cleared...)
}

// complete records completions that another instance observed. It returns the
// subjects that are no longer blocked for the organisation of the completion.
func (tracker *Tracker) complete(completions []Completion) (cleared []Subject) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for _, completion := range completions {
		known := tracker.historyOf(completion.Subject)
		if known == nil {
			continue
		}
		before := known.blockFor(completion.Organisation, tracker.config).blocked
		known.complete(completion.Organisation, knownCompletion{at: completion.At})
		if before && !known.blockFor(completion.Organisation, tracker.config).blocked {
			cleared = append(cleared, completion.Subject)
		}
	}
	return cleared
}

func (tracker *Tracker) recordProbes(probes []Probe) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for _, probe := range probes {
		if known, ok := tracker.subjects[probe.Subject]; ok && known.probedAt.Before(probe.At) {
			known.probedAt = probe.At
		}
	}
}

// Recent returns what this instance observed within the announce period, with at most
// maxRecent records of evidence.
func (tracker *Tracker) Recent() News {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := time.Now()
	var news News
	for subject, known := range tracker.subjects {
		for _, item := range known.evidence {
			if now.Before(item.announceUntil) {
				news.Evidence = append(news.Evidence, item.Evidence)
			}
		}
		for organisation, completion := range known.completed {
			if now.Before(completion.announceUntil) {
				news.Completions = append(news.Completions, Completion{Subject: subject, Organisation: organisation, At: completion.at})
			}
		}
		if now.Before(known.probeAnnounceUntil) {
			news.Probes = append(news.Probes, Probe{Subject: subject, At: known.probedAt})
		}
	}
	if len(news.Evidence) > maxRecent {
		slices.SortStableFunc(news.Evidence, func(a, b Evidence) int { return cmp.Compare(tracker.weight(b), tracker.weight(a)) })
		news.Evidence = news.Evidence[:maxRecent]
	}
	return news
}

// weight returns the weight of evidence against a subject that is tracked.
func (tracker *Tracker) weight(evidence Evidence) int {
	return tracker.subjects[evidence.Subject].weight(evidence, tracker.config)
}

// AgainstBlocked returns up to limit records of the evidence against blocked subjects,
// whoever observed it. If there are more, each call returns the next ones.
func (tracker *Tracker) AgainstBlocked(limit int) []Evidence {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var all []Evidence
	for _, known := range tracker.subjects {
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
