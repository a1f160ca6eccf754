package demo

import (
	"sort"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/metric"
	"jacinthfront.dev/jacinthfront/internal/bench/engsim"
	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
)

// Latency holds quantiles of first-token times, token intervals or call durations,
// in milliseconds.
type Latency struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
}

func newLatency(histogram *metric.Histogram) Latency {
	return Latency{P50: milliseconds(histogram.Quantile(50)), P95: milliseconds(histogram.Quantile(95)), P99: milliseconds(histogram.Quantile(99))}
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// Group holds the counts and latencies of one organisation's requests of one kind.
type Group struct {
	Organisation     string  `json:"organisation"`
	Kind             string  `json:"kind"`
	Sent             int64   `json:"sent"`
	Completed        int64   `json:"completed"`
	Refused          int64   `json:"refused"`
	WrongfulRefusals int64   `json:"wrongful"`
	FirstToken       Latency `json:"first-token"`
	TokenInterval    Latency `json:"between-tokens"`
}

// Measures holds the users' four measures (load stall, tokens per engine step,
// first-token time of the worst-served organisation, wrongful refusals) and the
// counts behind them.
type Measures struct {
	// LoadStall is the mean time in milliseconds that a model request waited for
	// an adapter load. The wait of a request that was refused although it was
	// within its organisation's rate counts too: only loads delay such a request
	// for long.
	LoadStall float64 `json:"load-stall-ms-per-request"`
	// StalledFraction is the fraction of model requests that waited for a load.
	StalledFraction float64 `json:"stalled-part"`
	Loads           int     `json:"loads"`
	TokensPerStep   float64 `json:"tokens-per-step"`
	// WorstP95 is the highest p95 first-token time in milliseconds of any
	// organisation's model requests. An organisation whose load surges is left
	// out.
	WorstP95          float64 `json:"worst-organisation-p95-ms"`
	WorstOrganisation string  `json:"worst-organisation"`
	// InteractiveP95 and PatientP95 are the p95 first-token times in milliseconds
	// by class. An organisation whose load surges is left out.
	InteractiveP95   float64 `json:"interactive-p95-ms"`
	PatientP95       float64 `json:"patient-p95-ms"`
	WrongfulRefusals int64   `json:"wrongful-refusals"`
	// LogOutageRefusals counts the refusals that the design requires while the
	// log is unavailable. WrongfulRefusals leaves them out.
	LogOutageRefusals int64            `json:"refusals-by-design"`
	Sent              int64            `json:"sent"`
	Completed         int64            `json:"completed"`
	UnknownEffect     int64            `json:"unknown"`
	Errors            map[string]int64 `json:"errors"`
	Groups            []Group          `json:"groups"`
}

// Measure computes the measures from what callers and engines observed.
func (fleet *Fleet) Measure(report *reqgen.Report) Measures {
	total := report.Total()
	measures := Measures{
		WrongfulRefusals: total.WrongfulRefusals, Sent: total.Sent, Completed: total.Completed, UnknownEffect: total.UnknownEffect, Errors: report.ErrorsByKind(),
	}
	measures.LogOutageRefusals = measures.Errors["log-unavailable"]
	steps, tokens := 0, 0
	for index, engine := range fleet.engines {
		observed := engine.Observed()
		counts := countsOf(observed)
		if index < len(fleet.baselineCounts) {
			counts = counts.minus(fleet.baselineCounts[index])
		}
		steps += counts.steps
		tokens += counts.tokens
		measures.Loads += counts.loads
	}
	if steps > 0 {
		measures.TokensPerStep = float64(tokens) / float64(steps)
	}
	fleet.measureLoadStalls(report, &measures)
	measures.measureGroups(report)
	measures.measureWorst(report, fleet.plan.Surge.Organisation)
	return measures
}

// engineCounts holds an engine's counts of steps, tokens and adapter loads.
type engineCounts struct{ steps, tokens, loads int }

func countsOf(observed engsim.Observed) engineCounts {
	return engineCounts{observed.Steps, observed.Tokens, len(observed.Loads)}
}

func (counts engineCounts) minus(earlier engineCounts) engineCounts {
	counts.steps -= earlier.steps
	counts.tokens -= earlier.tokens
	counts.loads -= earlier.loads
	return counts
}

// StartMeasuring starts the measured time: the measures leave out the steps, tokens
// and loads of the engines before it.
func (fleet *Fleet) StartMeasuring() {
	fleet.baselineCounts = nil
	for _, engine := range fleet.engines {
		fleet.baselineCounts = append(fleet.baselineCounts, countsOf(engine.Observed()))
	}
}

// measureWorst computes the worst-served organisation and the first-token times by
// class.
func (measures *Measures) measureWorst(report *reqgen.Report, surging string) {
	for organisation, times := range report.ModelFirstTokens() {
		p95 := milliseconds(times.Quantile(95))
		if organisation != surging && p95 > measures.WorstP95 {
			measures.WorstP95, measures.WorstOrganisation = p95, organisation
		}
	}
	interactive, patient := metric.NewHistogram(), metric.NewHistogram()
	for _, request := range report.ModelRequests() {
		if request.Organisation == surging {
			continue
		}
		if request.Kind == reqgen.Chat {
			interactive.Observe(request.FirstToken)
		} else {
			patient.Observe(request.FirstToken)
		}
	}
	measures.InteractiveP95, measures.PatientP95 = milliseconds(interactive.Quantile(95)), milliseconds(patient.Quantile(95))
}

// loadKey identifies an adapter at an engine.
type loadKey struct {
	engine  int
	adapter string
}

// measureLoadStalls counts a request as stalled if a load of its adapter at its
// engine ended after the request was sent and before the engine accepted it. The
// stall lasts from the sending to the end of that load. Requests that were refused
// after a wait within their organisation's rate count as stalled as well.
func (fleet *Fleet) measureLoadStalls(report *reqgen.Report, measures *Measures) {
	ends := map[loadKey][]time.Time{}
	type engineStart struct {
		engine   int
		accepted time.Time
	}
	starts := map[string]engineStart{}
	for index, engine := range fleet.engines {
		observed := engine.Observed()
		for _, order := range observed.Loads {
			if order.Error == "" {
				key := loadKey{index, order.Adapter}
				ends[key] = append(ends[key], order.Ended)
			}
		}
		for _, accepted := range observed.AcceptedRequests {
			starts[accepted.RequestID] = engineStart{index, accepted.Accepted}
		}
	}
	var stalled int
	var waited time.Duration
	requests := report.ModelRequests()
	for _, request := range requests {
		start, ok := starts[request.RequestID]
		if !ok {
			continue
		}
		for _, ended := range ends[loadKey{start.engine, request.Adapter}] {
			if ended.After(request.Sent) && !ended.After(start.accepted) {
				stalled++
				waited += ended.Sub(request.Sent)
				break
			}
		}
	}
	refused := report.RefusedWaits()
	for _, wait := range refused {
		stalled++
		waited += wait
	}
	if count := len(requests) + len(refused); count > 0 {
		measures.LoadStall = milliseconds(waited) / float64(count)
		measures.StalledFraction = float64(stalled) / float64(count)
	}
}

func (measures *Measures) measureGroups(report *reqgen.Report) {
	for key, series := range report.Series() {
		measures.Groups = append(measures.Groups, Group{
			Organisation: key.Organisation, Kind: key.Kind.String(), Sent: series.Sent, Completed: series.Completed,
			Refused: series.Refused, WrongfulRefusals: series.WrongfulRefusals,
			FirstToken: newLatency(series.FirstToken), TokenInterval: newLatency(series.TokenIntervals),
		})
	}
	sort.Slice(measures.Groups, func(left, right int) bool {
		a, b := measures.Groups[left], measures.Groups[right]
		return a.Organisation < b.Organisation || a.Organisation == b.Organisation && a.Kind < b.Kind
	})
}
