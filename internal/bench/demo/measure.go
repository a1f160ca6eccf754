package demo

import (
	"fmt"
	"sort"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/telem"
	"jacinthfront.dev/jacinthfront/internal/bench/load"
)

// Latency sums up first-token times or times between tokens in milliseconds.
type Latency struct {
	P50 float64 `json:"p50-ms"`
	P95 float64 `json:"p95-ms"`
	P99 float64 `json:"p99-ms"`
}

func latency(histogram *telem.Histogram) Latency {
	return Latency{P50: toMS(histogram.Quantile(50)), P95: toMS(histogram.Quantile(95)), P99: toMS(histogram.Quantile(99))}
}

func toMS(duration time.Duration) float64 { return float64(duration) / float64(time.Millisecond) }

// Group is the service that one organisation got for one kind of request.
type Group struct {
	Organisation string  `json:"organisation"`
	Kind         string  `json:"kind"`
	Sent         int64   `json:"sent"`
	Completed    int64   `json:"completed"`
	Refused      int64   `json:"refused"`
	Wrongful     int64   `json:"wrongful"`
	FirstToken   Latency `json:"first-token"`
	Gap          Latency `json:"between-tokens"`
}

// Measures holds the users' four measures and what they are made of.
type Measures struct {
	// LoadStall is the time that requests waited for adapter loads, in ms for
	// each model request.
	LoadStall float64 `json:"load-stall-ms-per-request"`
	// Stalled is the part of model requests that waited for a load.
	Stalled       float64 `json:"stalled-part"`
	Loads         int     `json:"loads"`
	TokensPerStep float64 `json:"tokens-per-step"`
	// Worst is the highest p95 first-token time of an organisation.
	Worst             float64          `json:"worst-organisation-p95-ms"`
	WorstOrganisation string           `json:"worst-organisation"`
	Wrongful          int64            `json:"wrongful-refusals"`
	Sent              int64            `json:"sent"`
	Completed         int64            `json:"completed"`
	Unknown           int64            `json:"unknown"`
	Errors            map[string]int64 `json:"errors"`
	Groups            []Group          `json:"groups"`
}

// Measure computes the measures from what callers and engines saw.
func (fleet *Fleet) Measure(report *load.Report) Measures {
	total := report.Total()
	measures := Measures{
		Wrongful: total.Wrongful, Sent: total.Sent, Completed: total.Completed, Unknown: total.Unknown, Errors: report.Refusals(),
	}
	steps, tokens := 0, 0
	for _, engine := range fleet.engines {
		observed := engine.Observed()
		steps += observed.Steps
		tokens += observed.Tokens
		measures.Loads += len(observed.Loads)
	}
	if steps > 0 {
		measures.TokensPerStep = float64(tokens) / float64(steps)
	}
	fleet.measureStalls(report, &measures)
	measures.measureGroups(report)
	return measures
}

// loadEnd is the end of one adapter load.
type loadEnd struct {
	engine  int
	adapter string
}

// measureStalls finds, for each request, a load of its adapter at its engine
// that ended between the sending and the start.
func (fleet *Fleet) measureStalls(report *load.Report, measures *Measures) {
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
		for _, start := range observed.Starts {
			places[start.RequestID] = place{index, start.Accepted}
		}
	}
	var stalled int
	var waited time.Duration
	traces := report.Traces()
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
	if len(traces) > 0 {
		measures.LoadStall = toMS(waited) / float64(len(traces))
		measures.Stalled = float64(stalled) / float64(len(traces))
	}
}

func (measures *Measures) measureGroups(report *load.Report) {
	for key, series := range report.Series() {
		measures.Groups = append(measures.Groups, Group{
			Organisation: key.Organisation, Kind: key.Kind.String(), Sent: series.Sent, Completed: series.Completed,
			Refused: series.Refused, Wrongful: series.Wrongful,
			FirstToken: latency(series.FirstToken), Gap: latency(series.Gaps),
		})
	}
	sort.Slice(measures.Groups, func(left, right int) bool {
		a, b := measures.Groups[left], measures.Groups[right]
		return a.Organisation < b.Organisation || a.Organisation == b.Organisation && a.Kind < b.Kind
	})
	for _, group := range measures.Groups {
		if group.FirstToken.P95 > measures.Worst {
			measures.Worst = group.FirstToken.P95
			measures.WorstOrganisation = fmt.Sprintf("%s, %s", group.Organisation, group.Kind)
		}
	}
}
