package admit

import (
	"cmp"
	"math"
	"time"
)

// queuedWindows is how many windows of prefill may be queued at an engine that
// is not gap limited.
const queuedWindows = 2

// minWindow is the shortest window in which tokens are admitted, as admissibleTokens
// counts whole milliseconds.
const minWindow = time.Millisecond

// advance updates pendingPrefill to the present.
func (controller *Controller) advance(now time.Time) {
	elapsed := now.Sub(controller.updatedAt)
	controller.updatedAt = now
	controller.pendingPrefill = max(controller.pendingPrefill-elapsed.Seconds()*1000*controller.prefillRate()*controller.config.Utilisation, 0)
}

// gapLimited reports whether steps with full prefill chunks make the time
// between events exceed MaxEventGap.
func (controller *Controller) gapLimited() bool {
	return controller.eventInterval()+controller.prefillTime(int64(controller.engineConfig.EventTokens)*controller.config.PrefillChunk) > controller.engineConfig.MaxEventGap
}

// eventInterval returns how long an engine takes now for one event without prefill.
func (controller *Controller) eventInterval() time.Duration {
	return controller.eventIntervalAt(controller.work().Present(time.Now()))
}

// eventIntervalAt returns the event interval at a work factor, 0 for an unknown one.
func (controller *Controller) eventIntervalAt(factor float64) time.Duration {
	if measured := controller.estimator.EventInterval(); measured > 0 {
		return scale(measured, controller.relative(factor))
	}
	usual := cmp.Or(controller.engineConfig.TypicalSpeed.EventInterval, time.Duration(controller.engineConfig.EventTokens)*controller.config.DecodeStep)
	return scale(usual, cmp.Or(factor, 1))
}

// prefillRate returns how many prompt tokens the engine prefills per
// millisecond now.
func (controller *Controller) prefillRate() float64 {
	return controller.prefillRateAt(controller.work().Present(time.Now()))
}

// prefillRateAt returns the prefill rate at a work factor, 0 for an unknown one.
func (controller *Controller) prefillRateAt(factor float64) float64 {
	if measured := controller.estimator.PrefillRate(); measured > 0 {
		return measured / controller.relative(factor)
	}
	usual := cmp.Or(controller.engineConfig.TypicalSpeed.PrefillRate, controller.config.PrefillRate) / cmp.Or(factor, 1)
	return max(controller.fasterPrefillRate()/controller.relative(factor), usual)
}

// relative returns a work factor relative to the lasting one, at which the engine's speed
// was measured, 1 if either is unknown.
func (controller *Controller) relative(factor float64) float64 {
	lasting := controller.work().Lasting
	if factor == 0 || lasting == 0 {
		return 1
	}
	return factor / lasting
}

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}

// tokenLimit returns how many prompt tokens may be ahead of the next request,
// its own included. 0 means no limit: MaxEventGap is not set, or is too short
// even without prefill.
func (controller *Controller) tokenLimit() int64 {
	switch {
	case controller.engineConfig.MaxEventGap < controller.eventIntervalAt(controller.work().Lasting)+minWindow:
		return 0
	case controller.engineConfig.MaxEventGap < controller.eventInterval()+minWindow:
		// A slow moment alone exceeds it.
		return 1
	case controller.gapLimited():
		return controller.admissibleTokens(controller.engineConfig.MaxEventGap - controller.eventInterval())
	default:
		return min(queuedWindows*controller.admissibleTokens(controller.engineConfig.MaxEventGap), controller.slowMomentTokens())
	}
}

// slowMomentTokens returns how many pending prompt tokens the engine prefills within
// MaxEventGap if one of its slow moments begins, and no limit if it has none. The running
// streams would pause for all that is pending, and nothing is gained by sending it earlier.
func (controller *Controller) slowMomentTokens() int64 {
	factor := controller.factors.SlowMoment()
	if factor == 0 {
		return math.MaxInt64
	}
	window := controller.engineConfig.MaxEventGap - controller.eventIntervalAt(factor)
	tokens := float64(window.Milliseconds()) * controller.prefillRateAt(factor) * controller.config.Utilisation
	return max(int64(tokens), controller.config.PrefillChunk)
}

// tokensAhead returns how many prompt tokens are ahead of the next request:
// those admitted within the last window if the engine is gap limited, else
// those not prefilled yet. The larger number counts if it is gap limited and
// states its work factor.
func (controller *Controller) tokensAhead() int64 {
	switch {
	case !controller.gapLimited():
		return int64(controller.pendingPrefill)
	case controller.work().Lasting > 0:
		// After a slow moment began, tokens may be pending that were admitted earlier.
		return max(controller.recentTokens(), int64(controller.pendingPrefill))
	default:
		return controller.recentTokens()
	}
}

// admissibleTokens returns how many prompt tokens are admitted in a window.
func (controller *Controller) admissibleTokens(window time.Duration) int64 {
	return int64(float64(window.Milliseconds()) * controller.prefillRate() * controller.config.Utilisation)
}

// prefillTime returns how long an engine takes to prefill tokens.
func (controller *Controller) prefillTime(tokens int64) time.Duration {
	return prefillTimeAt(float64(tokens), controller.prefillRate())
}

// prefillTimeAt returns how long it takes to prefill tokens at a rate.
func prefillTimeAt(tokens, rate float64) time.Duration {
	return time.Duration(tokens / rate * float64(time.Millisecond))
}

// recentTokens returns the prompt tokens admitted within the last window.
func (controller *Controller) recentTokens() int64 {
	var sum int64
	for _, grant := range controller.recent {
		sum += grant.promptTokens
	}
	return sum
}

// NextGrant returns the time after which Grant may admit a request without any
// other event, or 0 if no request is eligible or no grant is recent.
func (controller *Controller) NextGrant() time.Duration {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	if len(controller.eligible()) == 0 {
		return 0
	}
	if wait := controller.cold.wait(time.Now()); wait > 0 {
		return wait
	}
	if controller.work().Present(time.Now()) > 0 {
		return recheckInterval
	}
	if len(controller.recent) == 0 {
		return 0
	}
	controller.advance(time.Now())
	next := controller.engineConfig.MaxEventGap - time.Since(controller.recent[0].at)
	if !controller.gapLimited() {
		next = controller.prefillTime(controller.tokensAhead() + controller.queue()[0].PromptTokens - controller.tokenLimit())
	}
	return max(next, time.Millisecond)
}

// Backlog returns the prompt tokens ahead of a new request. onTime counts those
// already admitted and those of waiting requests on time, late those of late
// ones. Requests whose adapter is not loaded do not count, as they delay no
// other.
func (controller *Controller) Backlog() (onTime, late int64) {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	now := time.Now()
	controller.expire(now)
	controller.advance(now)
	onTime = controller.tokensAhead()
	for _, waiter := range controller.eligible() {
		if waiter.Late {
			late += waiter.PromptTokens
		} else {
			onTime += waiter.PromptTokens
		}
	}
	return onTime, late
}
