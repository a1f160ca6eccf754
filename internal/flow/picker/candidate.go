package picker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// candidate is an upstream with what decides about it.
type candidate struct {
	*upstream
	load  int
	work  int64
	wait  time.Duration
	full  bool
	holds bool
	near  bool
}

func (board *Picker) candidates(need Request) []candidate {
	now := time.Now()
	var candidates, unheard []candidate
	for _, entry := range board.services[need.Service] {
		if !board.usable(entry) || slices.Contains(need.Exclude, entry.spec.ID) {
			continue
		}
		if need.Engine && !entry.reported.IsZero() && (!entry.report.ModelLoaded || entry.report.Unreachable) {
			continue
		}
		if board.config.Health != nil && !board.config.Health.Usable(need.Service, entry.spec.ID) {
			continue
		}
		load := board.load(entry, now)
		work := board.work(entry, load, need, now)
		wait := board.wait(entry, work)
		if need.WaitingAt == entry.spec.ID {
			wait -= board.config.MoveThreshold
		}
		found := candidate{
			upstream: entry,
			load:     load,
			work:     work,
			wait:     wait,
			full:     board.full(entry, load, need) || need.MaxWait > 0 && wait > need.MaxWait,
			holds:    entry.holds(need.Adapter),
			near:     entry.spec.FailureDomain == board.config.FailureDomain,
		}
		if need.Engine && entry.reported.IsZero() && now.Sub(entry.listed) < silentStart {
			unheard = append(unheard, found)
			continue
		}
		candidates = append(candidates, found)
	}
	if len(candidates) == 0 {
		candidates = unheard
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates
}

// work returns how many prompt tokens a request would have before it. Requests
// that wait for an adapter are not before one whose adapter is there.
func (board *Picker) work(entry *upstream, load int, need Request, now time.Time) int64 {
	work := int64(load * runningWeight)
	if board.fresh(entry, now) {
		work += entry.report.Backlog
		if need.Late {
			work += entry.report.Late
		}
	}
	unseen := entry.reported.Add(-board.config.ReportLag)
	for _, waiting := range entry.asks {
		if waiting.placed.After(unseen) && entry.holds(waiting.Adapter) && (need.Late || !waiting.late(now)) {
			work += waiting.PromptTokens
		}
	}
	return work
}

// wait returns how long an upstream takes to let work in.
func (board *Picker) wait(entry *upstream, work int64) time.Duration {
	intake := cmp.Or(entry.report.AdmissionRate, board.config.AdmissionRate)
	return time.Duration(float64(work) / intake * float64(time.Millisecond))
}

func (board *Picker) fresh(entry *upstream, now time.Time) bool {
	return !entry.reported.IsZero() && now.Sub(entry.reported) < board.config.ReportTTL
}

// load returns how many requests an upstream is thought to hold: what it
// reported and what this instance sent since, or what this instance has there
// times the number of instances.
func (board *Picker) load(entry *upstream, now time.Time) int {
	if board.fresh(entry, now) {
		return max(entry.report.Running+entry.report.Queued+len(entry.sent), entry.running)
	}
	if now.Sub(entry.answeredAt) < board.config.ReportLag {
		return max(entry.answered, entry.running)
	}
	return entry.running * board.instances
}

func (board *Picker) full(entry *upstream, load int, need Request) bool {
	limit := entry.spec.Slots
	if need.Urgent || !need.Engine {
		limit += board.config.Overcommit
	}
	if load >= limit {
		return true
	}
	free := entry.report.TotalTokens - entry.report.UsedTokens
	return need.Engine && entry.report.TotalTokens > 0 && free < need.KVTokens*int64(1+len(entry.sent))
}

func byLoad(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.wait, b.wait), compareBool(b.near, a.near))
}
