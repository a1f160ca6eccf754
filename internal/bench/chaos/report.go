package chaos

import (
	"fmt"
	"slices"
	"time"
)

// Lines describes the run; details adds every answer.
func (report *Report) Lines(details bool) []string {
	lines := []string{fmt.Sprintf("seed %d: %v", report.Schedule.Seed, report.Schedule.Failures)}
	for _, violation := range report.Violations {
		lines = append(lines, "  "+violation.String())
	}
	for _, note := range report.Notes {
		lines = append(lines, "  "+note)
	}
	if !details {
		return lines
	}
	for _, answer := range report.Answers {
		lines = append(lines, fmt.Sprintf("  sent %s: %s", answer.Sent.Format("15:04:05.000"), answer))
	}
	return lines
}

// Totals sums up reports.
type Totals struct {
	Schedules, Failed                 int
	Complete, NotRun, Unknown, Broken int
	Dispatches                        int
	spread                            []time.Duration
}

// Add adds a report.
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
	totals.spread = append(totals.spread, report.Spread...)
}

// String describes the totals.
func (totals *Totals) String() string {
	text := fmt.Sprintf("%d schedules, %d failed; answers: %d complete, %d not-run, %d unknown or ran, %d broken by their entry instance's end; %d dispatches",
		totals.Schedules, totals.Failed, totals.Complete, totals.NotRun, totals.Unknown, totals.Broken, totals.Dispatches)
	if count := len(totals.spread); count > 0 {
		slices.Sort(totals.spread)
		text += fmt.Sprintf("; %d versions in force at a process, p99 %s, slowest %s", count,
			totals.spread[count*99/100], totals.spread[count-1])
	}
	return text
}
