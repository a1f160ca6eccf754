package picker

import (
	"slices"
	"time"
)

// setCosts sets the costs by which candidates are compared. These are the waits, unless
// one of the candidates states its work factor.
func (picker *Picker) setCosts(request Request, now time.Time, lists ...[]candidate) {
	stated := slices.ContainsFunc(lists, func(candidates []candidate) bool {
		return slices.ContainsFunc(candidates, func(candidate candidate) bool { return candidate.work.Present(now) > 0 })
	})
	for _, candidates := range lists {
		for i := range candidates {
			candidate := &candidates[i]
			candidate.cost, candidate.lastingCost = candidate.wait, candidate.wait
			if stated {
				picker.setSpeedCosts(candidate, request, now)
			}
		}
	}
}

// setSpeedCosts sets the costs of a candidate at its speed: the expected time until its
// prompt is prefilled, and the risk that its stream pauses for longer than its goal,
// weighed by the response-time goal since a stream late for a pause is as late as another.
// The lasting cost leaves out what may pass within a second.
func (picker *Picker) setSpeedCosts(candidate *candidate, request Request, now time.Time) {
	ahead := candidate.backlog + tokensPerRunning
	if request.Engine {
		ahead = candidate.backlog + request.PromptTokens
	}
	lasting, present := candidate.work.Lasting, candidate.work.Present(now)
	if candidate.report.AdmissionRate > 0 {
		// The rate is that of the engine with its lasting factor.
		lasting, present = 1, candidate.work.Slowdown(now)
	}
	usual := picker.wait(candidate.upstream, ahead)
	moved := candidate.wait - picker.wait(candidate.upstream, candidate.backlog)
	candidate.lastingCost = scale(usual, lasting) + moved
	candidate.cost = scale(usual, present) + moved
	if !request.Engine || request.EventGapGoal <= 0 || !picker.reportIsRecent(candidate.upstream, now) {
		return
	}
	risk := candidate.report.PauseRisk
	if candidate.load > 0 && picker.pauseNow(candidate, request.PromptTokens, present) > request.EventGapGoal {
		risk = 1
	}
	candidate.cost += time.Duration(risk * float64(request.ResponseGoal))
	candidate.lastingCost += time.Duration(candidate.report.LastingPauseRisk * float64(request.ResponseGoal))
}

// pauseNow returns how long the streams of an engine pause for a prompt at its present
// slowdown.
func (picker *Picker) pauseNow(candidate *candidate, promptTokens int64, slowdown float64) time.Duration {
	return scale(candidate.report.Speed.EventInterval+picker.wait(candidate.upstream, promptTokens), slowdown)
}

// scale returns a duration at a work factor, which is 0 if unknown.
func scale(duration time.Duration, factor float64) time.Duration {
	if factor == 0 {
		return duration
	}
	return time.Duration(float64(duration) * factor)
}
