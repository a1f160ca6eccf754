// Package chaos injects seeded combinations of failures into a small deployment
// of entry instances and side processes. It compares what callers, upstreams and
// the platform's log observed with the invariants and with a sequential
// reference model. The platform and the upstreams are simulators.
package chaos

import (
	"context"
	"time"
)

// Report is the outcome of one schedule.
type Report struct {
	Schedule   Schedule
	Violations []Violation
	// Events lists the injected failures and the operators' actions, each with
	// the time since the start of the load.
	Events  []string
	Results []*Result
	// Complete counts complete responses, NotRun and Unknown count refusals of
	// requests that did not run and of requests that ran or may have run, and
	// Broken counts responses that were cut off or unreadable.
	Complete, NotRun, Unknown, Broken int
	// Dispatches counts the requests that upstreams received.
	Dispatches int
	// PropagationDelays holds, for each process and accepted version, the time
	// from acceptance until the version was in force. It leaves out runs with
	// an outage of the log and processes that a failure kept from reading it.
	PropagationDelays []time.Duration
}

// cooldown is the time that a run continues after its last response and failure,
// so that late dispatches and late configuration changes are observed.
const cooldown = 5 * time.Second

// Run runs a schedule and checks the invariants. It returns an error if the
// deployment cannot start. It is meant for virtual time (testing/synctest).
func Run(ctx context.Context, schedule Schedule) (*Report, error) {
	deployment, err := newDeployment(schedule, serviceCount, nil)
	defer deployment.close()
	if err != nil {
		return nil, err
	}
	if err := deployment.start(ctx); err != nil {
		return nil, err
	}
	deployment.startedAt = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		deployment.sampleConfigs(ctx)
	}()
	injected := make(chan struct{})
	go func() {
		defer close(injected)
		deployment.runFailures(ctx)
	}()
	deployment.sendAll(ctx)
	<-injected
	_ = sleep(ctx, cooldown)
	cancel()
	<-sampled
	return deployment.report(), nil
}

func (deployment *deployment) report() *Report {
	checker := deployment.check()
	report := &Report{
		Schedule: deployment.schedule, Violations: checker.violations, Events: deployment.events, Results: deployment.results,
		Dispatches: len(checker.dispatched), PropagationDelays: checker.propagationDelays,
	}
	for _, result := range deployment.results {
		switch {
		case result.Complete:
			report.Complete++
		case result.Err != nil:
			report.Broken++
		case result.Ran == "not-run":
			report.NotRun++
		default:
			report.Unknown++
		}
	}
	return report
}
