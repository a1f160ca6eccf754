package admit

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/speed"
)

const (
	// recheckInterval is how often waiting requests are checked again at an engine that
	// states its work factor, since the factor may change at any time.
	recheckInterval = 20 * time.Millisecond
	// meanPromptWeight is the weight of the latest prompt in the mean prompt length.
	meanPromptWeight = 1.0 / 64
)

// RecordPauses records how many streams of the engine an entry instance observed.
func (controller *Controller) RecordPauses(counts speed.StreamCounts) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	controller.pauses.Record(counts, time.Now())
}

// Work returns what is known of the engine's work factor.
func (controller *Controller) Work() speed.Work {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	return controller.work()
}

func (controller *Controller) work() speed.Work { return controller.factors.Work(time.Now()) }

// PauseRisk returns the expected share of the engine's streams that pause for longer than
// MaxEventGap. lasting follows from the engine's work factors alone: the share of the time
// in which a mean prompt and an event take longer. Both are 0 without work factors.
func (controller *Controller) PauseRisk() (observed, lasting float64) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	work := controller.work()
	if work.Lasting == 0 || controller.engineConfig.MaxEventGap <= 0 {
		return 0, 0
	}
	pause := controller.eventIntervalAt(work.Lasting) + prefillTimeAt(controller.meanPrompt, controller.prefillRateAt(work.Lasting))
	lasting = controller.factors.ShareAbove(work.Lasting * controller.engineConfig.MaxEventGap.Seconds() / pause.Seconds())
	return controller.pauses.Share(lasting, time.Now()), lasting
}

// HeldForPause returns how many requests were not admitted at once because the engine was
// in a slow moment.
func (controller *Controller) HeldForPause() int64 {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	return controller.heldForPause
}

// withinPause reports whether the pause that a request causes to the running streams stays
// within MaxEventGap, given the limit of prompt tokens. A request that exceeds it alone
// passes when nothing is ahead of it.
func (controller *Controller) withinPause(waiter *waiter, limit int64) bool {
	ahead := controller.tokensAhead()
	within := (ahead == 0 || ahead+waiter.PromptTokens <= limit) && !controller.holds(waiter)
	if !within && !waiter.held && controller.work().SlowMoment(time.Now()) {
		waiter.held = true
		controller.heldForPause++
	}
	return within
}

// holds reports whether a request waits for the end of a slow moment, in which its prompt
// alone would make the running streams pause for longer than MaxEventGap. It does so until
// it has waited for MaxEventGap in all: the pause would make all these streams late, the
// wait only itself.
func (controller *Controller) holds(waiter *waiter) bool {
	now := time.Now()
	gap := controller.engineConfig.MaxEventGap
	if waiter.Bound || controller.engineState.Running == 0 || now.Sub(waiter.arrivedAt) >= gap {
		return false
	}
	return controller.work().SlowMoment(now) && controller.eventInterval()+controller.prefillTime(waiter.PromptTokens) > gap
}

// recordPrompt updates the mean prompt length.
func (controller *Controller) recordPrompt(tokens int64) {
	if controller.meanPrompt == 0 {
		controller.meanPrompt = float64(tokens)
	}
	controller.meanPrompt += meanPromptWeight * (float64(tokens) - controller.meanPrompt)
}
