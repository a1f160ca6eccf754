package clock

import "time"

// MinStep is the least step of the time of day that is reported. Smaller differences are
// corrections of the clock's rate.
const MinStep = 100 * time.Millisecond

// StepDetector notices steps of the time of day: that it advanced by more or less than the
// steady clock did. It must not be used concurrently.
type StepDetector struct {
	start time.Time
	// lead is how much further the time of day has advanced since the start than the steady
	// clock, when the last step was reported.
	lead time.Duration
}

// NewStepDetector returns a StepDetector that knows no steps.
func NewStepDetector() *StepDetector { return &StepDetector{start: time.Now()} }

// Check returns by how much the time of day has stepped since the last call that returned a
// step: positive if it stepped ahead. It returns 0 for less than MinStep. A suspension of
// the instance counts as a step ahead, since the steady clock does not advance in it.
func (detector *StepDetector) Check() time.Duration {
	now := time.Now()
	return detector.check(now.Round(0).Sub(detector.start.Round(0)), now.Sub(detector.start))
}

// check is Check for how far the time of day and the steady clock have advanced.
func (detector *StepDetector) check(timeOfDay, steady time.Duration) time.Duration {
	step := timeOfDay - steady - detector.lead
	if step.Abs() < MinStep {
		return 0
	}
	detector.lead += step
	return step
}
