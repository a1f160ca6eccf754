// Package chaos runs a small deployment under seeded combinations of failures
// and compares what callers, upstreams and the platform's log saw with the
// invariants and with a naive single-process version.
package chaos

import (
	"context"
	"time"
)

// Report is the outcome of one schedule.
type Report struct {
	Schedule   Schedule
	Violations []Violation
	// Notes tells what was done and when.
	Notes   []string
	Answers []*Answer
	// Complete, NotRun, Unknown, Broken count the answers.
	Complete, NotRun, Unknown, Broken int
	// Dispatches counts what upstreams received.
	Dispatches int
	// Spread holds the times after which accepted versions were in force, where
	// no failure kept a process from the log.
	Spread []time.Duration
}

// endTime is what a run goes on after its last answer, so that late work and
// late configuration show.
const endTime = 5 * time.Second

// Run runs a schedule. It is meant for virtual time.
func Run(ctx context.Context, schedule Schedule) (*Report, error) {
	world, err := newWorld(schedule, serviceCount, nil)
	defer world.close()
	if err != nil {
		return nil, err
	}
	if err := world.start(ctx); err != nil {
		return nil, err
	}
	world.begin = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		world.observe(ctx)
	}()
	failed := make(chan struct{})
	go func() {
		defer close(failed)
		world.runFailures(ctx)
	}()
	world.sendAll(ctx)
	<-failed
	_ = pause(ctx, endTime)
	cancel()
	<-done
	return world.report(), nil
}

func (world *world) report() *Report {
	checked := world.check()
	report := &Report{
		Schedule: world.schedule, Violations: checked.found, Notes: world.notes, Answers: world.answers,
		Dispatches: len(checked.dispatched), Spread: checked.spread,
	}
	for _, answer := range world.answers {
		switch {
		case answer.Complete:
			report.Complete++
		case answer.Err != nil:
			report.Broken++
		case answer.Ran == "not-run":
			report.NotRun++
		default:
			report.Unknown++
		}
	}
	return report
}
