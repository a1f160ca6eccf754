package reqgen

import (
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/metric"
)

// Series sums up the requests of one organisation and kind.
type Series struct {
	Sent      int64
	Completed int64
	// Refused counts answers that say not-run.
	Refused int64
	// WrongfulRefusals counts refusals of requests within the organisation's rate.
	WrongfulRefusals int64
	// UnknownEffect counts answers whose effect is unknown.
	UnknownEffect int64
	// Incomplete counts answers that ended without their end or an error.
	Incomplete int64
	// WrongText counts complete answers with another text than expected.
	WrongText      int64
	FirstToken     *metric.Histogram
	TokenIntervals *metric.Histogram
}

// SeriesKey names a Series.
type SeriesKey struct {
	Organisation string
	Kind         Kind
}

// ModelRequest is one completed model request.
type ModelRequest struct {
	RequestID    string
	Organisation string
	Kind         Kind
	Adapter      string
	Sent         time.Time
	FirstToken   time.Duration
}

// Report collects the results of a run. It is safe for concurrent use.
type Report struct {
	mu       sync.Mutex
	series   map[SeriesKey]*Series
	refusals map[string]int64
	// notRun lists bookings that were refused as not-run.
	notRun   map[string]bool
	bookings map[string]int
	problems []string
	// warmup sums up the requests of the warm-up time.
	warmup *Series
	model  map[string]*metric.Histogram
	// refusedWaits holds the time that refused model requests waited.
	refusedWaits []time.Duration
	traces       []ModelRequest
}

const maxProblems = 20

func newReport() *Report {
	return &Report{
		series:   map[SeriesKey]*Series{},
		refusals: map[string]int64{},
		notRun:   map[string]bool{},
		bookings: map[string]int{},
		warmup:   newSeries(),
		model:    map[string]*metric.Histogram{},
	}
}

// Series returns a copy of the counts of each organisation and kind.
func (report *Report) Series() map[SeriesKey]Series {
	report.mu.Lock()
	defer report.mu.Unlock()
	result := make(map[SeriesKey]Series, len(report.series))
	for key, series := range report.series {
		result[key] = *series
	}
	return result
}

// Total sums the counts of all series; its histograms are nil.
func (report *Report) Total() Series {
	var total Series
	for _, series := range report.Series() {
		total.Sent += series.Sent
		total.Completed += series.Completed
		total.Refused += series.Refused
		total.WrongfulRefusals += series.WrongfulRefusals
		total.UnknownEffect += series.UnknownEffect
		total.Incomplete += series.Incomplete
		total.WrongText += series.WrongText
	}
	return total
}

// Warmup returns the counts of the warm-up time.
func (report *Report) Warmup() Series {
	report.mu.Lock()
	defer report.mu.Unlock()
	return *report.warmup
}

// ModelFirstTokens returns, for each organisation, the first-token times of its model
// requests. A model request that was refused although it was within the
// organisation's rate counts with the time that it waited for the refusal.
func (report *Report) ModelFirstTokens() map[string]*metric.Histogram {
	report.mu.Lock()
	defer report.mu.Unlock()
	result := make(map[string]*metric.Histogram, len(report.model))
	for organisation, times := range report.model {
		result[organisation] = times
	}
	return result
}

// RefusedWaits returns how long model requests waited that were refused
// although they were within the organisation's rate.
func (report *Report) RefusedWaits() []time.Duration {
	report.mu.Lock()
	defer report.mu.Unlock()
	return append([]time.Duration(nil), report.refusedWaits...)
}

func newSeries() *Series {
	return &Series{FirstToken: metric.NewHistogram(), TokenIntervals: metric.NewHistogram()}
}

// ErrorsByKind returns the number of errors by kind.
func (report *Report) ErrorsByKind() map[string]int64 {
	report.mu.Lock()
	defer report.mu.Unlock()
	result := make(map[string]int64, len(report.refusals))
	for kind, count := range report.refusals {
		result[kind] = count
	}
	return result
}

// Bookings returns, for each booking, the number of successful answers.
func (report *Report) Bookings() map[string]int {
	report.mu.Lock()
	defer report.mu.Unlock()
	result := make(map[string]int, len(report.bookings))
	for booking, count := range report.bookings {
		result[booking] = count
	}
	return result
}

// NotRunBookings returns the bookings for which every answer said not-run.
func (report *Report) NotRunBookings() []string {
	report.mu.Lock()
	defer report.mu.Unlock()
	var result []string
	for booking, only := range report.notRun {
		if only {
			result = append(result, booking)
		}
	}
	return result
}

// ModelRequests returns the completed model requests.
func (report *Report) ModelRequests() []ModelRequest {
	report.mu.Lock()
	defer report.mu.Unlock()
	return append([]ModelRequest(nil), report.traces...)
}

// Problems returns the first unexpected answers in words.
func (report *Report) Problems() []string {
	report.mu.Lock()
	defer report.mu.Unlock()
	return append([]string(nil), report.problems...)
}

// entry returns the series of a request; the caller holds the lock.
func (report *Report) entry(request request) *Series {
	if request.warming {
		return report.warmup
	}
	key := SeriesKey{Organisation: request.organisation.Name, Kind: request.kind}
	series, ok := report.series[key]
	if !ok {
		series = newSeries()
		report.series[key] = series
	}
	return series
}

func (report *Report) addBooking(name string, answer *answer) {
	if answer.complete {
		report.bookings[name]++
	}
	if only, seen := report.notRun[name]; !seen || only {
		report.notRun[name] = answer.refused()
	}
}

func (report *Report) addProblem(text string) {
	if len(report.problems) < maxProblems {
		report.problems = append(report.problems, text)
	}
}

// refuse counts an error by its kind.
func (report *Report) refuse(request request, answer *answer) {
	if !request.warming {
		report.refusals[answer.kind]++
	}
}

func (report *Report) observeRefusal(request request, answer *answer) {
	if request.warming || request.limited || !request.kind.UsesAdapter() || !answer.refused() {
		return
	}
	report.refusedWaits = append(report.refusedWaits, answer.firstToken)
	report.observeModel(request, answer)
}

func (report *Report) observeModel(request request, answer *answer) {
	times, ok := report.model[request.organisation.Name]
	if !ok {
		times = metric.NewHistogram()
		report.model[request.organisation.Name] = times
	}
	times.Observe(max(answer.firstToken, time.Microsecond))
}

func (report *Report) observe(series *Series, request request, answer *answer) {
	if request.kind.UsesAdapter() && !request.warming {
		report.observeModel(request, answer)
		report.traces = append(report.traces, ModelRequest{
			RequestID: answer.requestID, Organisation: request.organisation.Name, Kind: request.kind,
			Adapter: request.adapter, Sent: answer.sent, FirstToken: answer.firstToken,
		})
	}
	series.FirstToken.Observe(max(answer.firstToken, time.Microsecond))
	for _, gap := range answer.gaps {
		series.TokenIntervals.Observe(gap)
	}
}
