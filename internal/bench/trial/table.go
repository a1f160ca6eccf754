package trial

import (
	"fmt"

	"jacinthfront.dev/jacinthfront/internal/bench/demo"
)

// FormatTables returns the results as lines with tab-separated columns.
func FormatTables(results []Result) []string {
	lines := []string{"SCENARIO\tPOLICY\tLOAD STALL\tSTALLED\tTOKENS/STEP\tWORST ORGANISATION p95\tINTERACTIVE/PATIENT p95\tWRONGFUL REFUSALS\tLOADS\tPROMISES"}
	for index := range results {
		result := &results[index]
		measures := &result.Measures
		lines = append(lines, fmt.Sprintf("%s\t%s\t%.1f ms\t%.1f%%\t%.2f\t%.0f ms (%s)\t%.0f/%.0f ms\t%d of %d\t%d\t%s",
			result.Scenario, result.Policy, measures.LoadStall, 100*measures.StalledFraction, measures.TokensPerStep,
			measures.WorstP95, measures.WorstOrganisation, measures.InteractiveP95, measures.PatientP95,
			measures.WrongfulRefusals, measures.Sent, measures.Loads, invariantSummary(result)))
	}
	if comparisons := Compare(results); len(comparisons) > 0 {
		lines = append(lines, "", "DEFAULT/NAIVE\tLOAD STALL\tTOKENS/STEP\tWORST ORGANISATION\tWRONGFUL REFUSALS")
		for _, comparison := range comparisons {
			lines = append(lines, fmt.Sprintf("%s\t%.2f\t%.2f\t%.2f\t%+d",
				comparison.Scenario, comparison.Stall, comparison.Tokens, comparison.Worst, comparison.Wrongful))
		}
	}
	for index := range results {
		lines = append(lines, groupLines(&results[index])...)
	}
	return lines
}

// invariantSummary returns the first broken invariant of a result, or the number
// of invariants that held.
func invariantSummary(result *Result) string {
	for _, invariant := range result.Invariants {
		if !invariant.Held {
			return "BROKEN: " + invariant.Name + ": " + invariant.Observed
		}
	}
	return fmt.Sprintf("%d held", len(result.Invariants))
}

// groupLines returns the table of a result by organisation and kind of request.
func groupLines(result *Result) []string {
	lines := []string{
		"", result.Scenario + ", " + result.Policy + ", errors " + fmt.Sprint(result.Measures.Errors),
		"ORGANISATION\tKIND\tSENT\tDONE\tREFUSED\tWRONGFUL\tFIRST TOKEN p50/p95/p99\tBETWEEN TOKENS p50/p95/p99",
	}
	for _, group := range result.Measures.Groups {
		lines = append(lines, fmt.Sprintf("%s\t%s, %s\t%d\t%d\t%d\t%d\t%s\t%s", group.Organisation, group.Kind, requestClass(group.Kind),
			group.Sent, group.Completed, group.Refused, group.WrongfulRefusals, formatLatency(group.FirstToken), formatLatency(group.TokenInterval)))
	}
	return lines
}

// requestClass returns the class of a kind of request.
func requestClass(kind string) string {
	if kind == "letter" {
		return "patient"
	}
	return "interactive"
}

// formatLatency returns the percentiles of a latency.
func formatLatency(latency demo.Latency) string {
	return fmt.Sprintf("%.0f/%.0f/%.0f ms", latency.P50, latency.P95, latency.P99)
}
