package demo

import (
	"sort"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/metric"
	"jacinthfront.dev/jacinthfront/internal/bench/engsim"
	"jacinthfront.dev/jacinthfront/internal/bench/reqgen"
)

// Latency sums up first-token times or times between tokens in milliseconds.
type Latency struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
}

func latency(histogram *metric.Histogram) Latency {
	return Latency{P50: toMS(histogram.Quantile(50)), P95: toMS(histogram.Quantile(95)), P99: toMS(histogram.Quantile(99))}
}

func toMS(duration time.Duration) float64 { return float64(duration) / float64(time.Millisecond) }

// Group is the service that one organisation got for one kind of request.
type Group struct {
	Organisation  string  `json:"organisation"`
	Kind          string  `json:"kind"`
	Sent          int64   `json:"sent"`
	Completed     int64   `json:"completed"`
	Refused       int64   `json:"refused"`
	Wrongful      int64   `json:"wrongful"`
	FirstToken    Latency `json:"first-token"`
	TokenInterval Latency `json:"between-tokens"`
}

// Measures holds the users' four measures and what they are made of.
type Measures struct {
	// LoadStall is the time that requests waited for adapter loads, in ms for
	// each model request. The wait of a model request that was refused within
	// its organisation's rate counts, since nothing else holds it up for long.
	LoadStall float64 `json:"load-stall-ms-per-request"`
	// StalledFraction is the part of model requests that waited for a load.
	StalledFraction float64 `json:"stalled-part"`
	Loads           int     `json:"loads"`
	TokensPerStep   float64 `json:"tokens-per-step"`
	// WorstP95 is the highest p95 first-token time of an organisation's model
	// requests. An organisation whose load surges is left out.
	WorstP95          float64 `json:"worst-organisation-p95-ms"`
	WorstOrganisation string  `json:"worst-organisation"`
	// InteractiveP95 and Patient are the p95 first-token times by class.
	InteractiveP95   float64 `json:"interactive-p95-ms"`
	PatientP95       float64 `json:"patient-p95-ms"`
	WrongfulRefusals int64   `json:"wrongful-refusals"`
	// ByDesign counts those refusals that the design asks for while the log
	// is out; they are not among the wrongful ones.
	ByDesign  int64            `json:"refusals-by-design"`
	Sent      int64            `json:"sent"`
	Completed int64            `json:"completed"`
	Unknown   int64            `json:"unknown"`
	Errors    map[string]int64 `json:"errors"`
	Groups    []Group          `json:"groups"`
}

// Measure computes the measures from what callers and engines saw.
func (fleet *Fleet) Measure(report *reqgen.Report) Measures {
	total := report.Total()
	measures := Measures{
		WrongfulRefusals: total.WrongfulRefusals, Sent: total.Sent, Completed: total.Completed, Unknown: total.UnknownEffect, Errors: report.ErrorsByKind(),
	}
	measures.ByDesign = measures.Errors["log-unavailable"]
	steps, tokens := 0, 0
	for index, engine := range fleet.engines {
		observed := engine.Observed()
		counts := countsOf(observed)
		if index < len(fleet.baseline) {
			counts = counts.since(fleet.baseline[index])
		}
		steps += counts.steps
		tokens += counts.tokens
		measures.Loads += counts.loads
	}
	if steps > 0 {
		measures.TokensPerStep = float64(tokens) / float64(steps)
	}
	fleet.measureStalls(report, &measures)
	measures.measureGroups(report)
	measures.measureWorst(report, fleet.plan.Surge.Organisation)
	return measures
}

// counts are what an engine has counted.
type counts struct{ steps, tokens, loads int }

func countsOf(observed engsim.Observed) counts {
	return counts{observed.Steps, observed.Tokens, len(observed.Loads)}
}

func (counts counts) since(earlier counts) counts {
	counts.steps -= earlier.steps
	counts.tokens -= earlier.tokens
	counts.loads -= earlier.loads
	return counts
}

// BeginMeasure leaves out of the measures what the engines did before.
func (fleet *Fleet) BeginMeasure() {
	fleet.baseline = nil
	for _, engine := range fleet.engines {
		fleet.baseline = append(fleet.baseline, countsOf(engine.Observed()))
	}
}

// measureWorst finds the organisation that waits longest and the times by class.
func (measures *Measures) measureWorst(report *reqgen.Report, surging string) {
	for organisation, times := range report.ModelFirstTokens() {
		p95 := toMS(times.Quantile(95))
		if organisation != surging && p95 > measures.WorstP95 {
			measures.WorstP95, measures.WorstOrganisation = p95, organisation
		}
	}
	interactive, patient := metric.NewHistogram(), metric.NewHistogram()
	for _, trace := range report.ModelRequests() {
		if trace.Organisation == surging {
			continue
		}
		if trace.Kind == reqgen.Chat {
			interactive.Observe(trace.FirstToken)
		} else {
			patient.Observe(trace.FirstToken)
		}
	}
	measures.InteractiveP95, measures.PatientP95 = toMS(interactive.Quantile(95)), toMS(patient.Quantile(95))
}

// loadEnd is the end of one adapter load.
type loadEnd struct {
	engine  int
	adapter string
}

// measureStalls finds, for each request, a load of its adapter at its engine
// that ended between the sending and the start.
func (fleet *Fleet) measureStalls(report *reqgen.Report, measures *Measures) {
	ends := map[loadEnd][]time.Time{}
	type place struct {
		engine   int
		accepted time.Time
	}
	places := map[string]place{}
	for index, engine := range fleet.engines {
		observed := engine.Observed()
		for _, order := range observed.Loads {
			if order.Error == "" {
				key := loadEnd{index, order.Adapter}
				ends[key] = append(ends[key], order.Ended)
			}
		}
		for _, start := range observed.AcceptedRequests {
			places[start.RequestID] = place{index, start.Accepted}
		}
	}
	var stalled int
	var waited time.Duration
	traces := report.ModelRequests()
	for _, trace := range traces {
		place, ok := places[trace.RequestID]
		if !ok {
			continue
		}
		for _, ended := range ends[loadEnd{place.engine, trace.Adapter}] {
			if ended.After(trace.Sent) && !ended.After(place.accepted) {
				stalled++
				waited += ended.Sub(trace.Sent)
				break
			}
		}
	}
	refused := report.RefusedWaits()
	for _, wait := range refused {
		stalled++
		waited += wait
	}
	if count := len(traces) + len(refused); count > 0 {
		measures.LoadStall = toMS(waited) / float64(count)
		measures.StalledFraction = float64(stalled) / float64(count)
	}
}

func (measures *Measures) measureGroups(report *reqgen.Report) {
	for key, series := range report.Series() {
		measures.Groups = append(measures.Groups, Group{
			Organisation: key.Organisation, Kind: key.Kind.String(), Sent: series.Sent, Completed: series.Completed,
			Refused: series.Refused, Wrongful: series.WrongfulRefusals,
			FirstToken: latency(series.FirstToken), TokenInterval: latency(series.TokenIntervals),
		})
	}
	sort.Slice(measures.Groups, func(left, right int) bool {
		a, b := measures.Groups[left], measures.Groups[right]
		return a.Organisation < b.Organisation || a.Organisation == b.Organisation && a.Kind < b.Kind
	})
}
