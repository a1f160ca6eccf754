package chaos

import (
	"fmt"
	"slices"
	"time"
)

// Lines describes the run, one line per violation and event. With details, it
// adds one line per response.
func (report *Report) Lines(details bool) []string {
	lines := []string{fmt.Sprintf("seed %d: %v", report.Schedule.Seed, report.Schedule.Failures)}
	for _, violation := range report.Violations {
		lines = append(lines, "  "+violation.String())
	}
	for _, event := range report.Events {
		lines = append(lines, "  "+event)
	}
	if !details {
		return lines
	}
	for _, result := range report.Results {
		lines = append(lines, fmt.Sprintf("  sent %s: %s", result.Sent.Format("15:04:05.000"), result))
	}
	return lines
}

// Totals holds the sums over reports.
type Totals struct {
	Schedules, Failed                 int
	Complete, NotRun, Unknown, Broken int
	Dispatches                        int
	propagationDelays                 []time.Duration
}

// Add adds the counts of a report.
func (totals *Totals) Add(report *Report) {
	totals.Schedules++
	if len(report.Violations) > 0 {
		totals.Failed++
	}
	totals.Complete += report.Complete
	totals.NotRun += report.NotRun
	totals.Unknown += report.Unknown
	totals.Broken += report.Broken
	totals.Dispatches += report.Dispatches
	totals.propagationDelays = append(totals.propagationDelays, report.PropagationDelays...)
}

// String describes the totals.
func (totals *Totals) String() string {
	text := fmt.Sprintf("%d schedules, %d failed; answers: %d complete, %d not-run, %d unknown or ran, %d broken by their entry instance's end; %d dispatches",
		totals.Schedules, totals.Failed, totals.Complete, totals.NotRun, totals.Unknown, totals.Broken, totals.Dispatches)
	if count := len(totals.propagationDelays); count > 0 {
		slices.Sort(totals.propagationDelays)
		text += fmt.Sprintf("; %d versions in force at a process, p99 %s, slowest %s", count,
			totals.propagationDelays[count*99/100], totals.propagationDelays[count-1])
	}
	return text
}
