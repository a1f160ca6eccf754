package reqgen

import (
	"sync"
	"time"

	"jacinthfront.dev/jacinthfront/internal/base/metric"
)

// Series counts the requests of one organisation and kind by their results.
type Series struct {
	Sent      int64
	Completed int64
	// Refused counts responses with the execution state not-run.
	Refused int64
	// WrongfulRefusals counts refusals of requests within the organisation's
	// rate.
	WrongfulRefusals int64
	// UnknownEffect counts error responses other than not-run, as the request may
	// have been executed.
	UnknownEffect int64
	// Incomplete counts requests without a response and responses that ended
	// without an end marker or an error.
	Incomplete int64
	// WrongText counts complete answers with a text other than expected.
	WrongText      int64
	FirstToken     *metric.Histogram
	TokenIntervals *metric.Histogram
}

// SeriesKey identifies a Series.
type SeriesKey struct {
	Organisation string
	Kind         Kind
}

// ModelRequest records one completed model request.
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
	mu     sync.Mutex
	series map[SeriesKey]*Series
	// errorsByKind counts error responses after the warm-up.
	errorsByKind map[string]int64
	// notRunBookings says for each booking whether all its responses so far were
	// not-run.
	notRunBookings map[string]bool
	// bookings counts the successful responses of each booking.
	bookings map[string]int
	problems []string
	// warmup counts the requests of the warm-up.
	warmup *Series
	// modelFirstTokens holds the times to first token of each organisation; see
	// ModelFirstTokens.
	modelFirstTokens map[string]*metric.Histogram
	// refusedWaits holds how long wrongfully refused model requests waited.
	refusedWaits  []time.Duration
	modelRequests []ModelRequest
}

// maxProblems is the largest number of problems that a report holds.
const maxProblems = 20

func newReport() *Report {
	return &Report{
		series:           map[SeriesKey]*Series{},
		errorsByKind:     map[string]int64{},
		notRunBookings:   map[string]bool{},
		bookings:         map[string]int{},
		warmup:           newSeries(),
		modelFirstTokens: map[string]*metric.Histogram{},
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

// Total returns the sum of the counts of all series; its histograms are nil.
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

// Warmup returns the counts of the warm-up.
func (report *Report) Warmup() Series {
	report.mu.Lock()
	defer report.mu.Unlock()
	return *report.warmup
}

// ModelFirstTokens returns, for each organisation, the times to first token of
// its model requests. A wrongfully refused model request counts with the time
// that it waited for the refusal.
func (report *Report) ModelFirstTokens() map[string]*metric.Histogram {
	report.mu.Lock()
	defer report.mu.Unlock()
	result := make(map[string]*metric.Histogram, len(report.modelFirstTokens))
	for organisation, times := range report.modelFirstTokens {
		result[organisation] = times
	}
	return result
}

// RefusedWaits returns how long wrongfully refused model requests waited for the
// refusal.
func (report *Report) RefusedWaits() []time.Duration {
	report.mu.Lock()
	defer report.mu.Unlock()
	return append([]time.Duration(nil), report.refusedWaits...)
}

func newSeries() *Series {
	return &Series{FirstToken: metric.NewHistogram(), TokenIntervals: metric.NewHistogram()}
}

// ErrorsByKind returns the number of error responses of each kind after the
// warm-up.
func (report *Report) ErrorsByKind() map[string]int64 {
	report.mu.Lock()
	defer report.mu.Unlock()
	result := make(map[string]int64, len(report.errorsByKind))
	for kind, count := range report.errorsByKind {
		result[kind] = count
	}
	return result
}

// Bookings returns, for each booking, the number of successful responses.
func (report *Report) Bookings() map[string]int {
	report.mu.Lock()
	defer report.mu.Unlock()
	result := make(map[string]int, len(report.bookings))
	for booking, count := range report.bookings {
		result[booking] = count
	}
	return result
}

// NotRunBookings returns the bookings for which every response said not-run.
func (report *Report) NotRunBookings() []string {
	report.mu.Lock()
	defer report.mu.Unlock()
	var result []string
	for booking, only := range report.notRunBookings {
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
	return append([]ModelRequest(nil), report.modelRequests...)
}

// Problems returns descriptions of the first unexpected responses.
func (report *Report) Problems() []string {
	report.mu.Lock()
	defer report.mu.Unlock()
	return append([]string(nil), report.problems...)
}

// seriesFor returns the series of a request. The caller holds the lock.
func (report *Report) seriesFor(request request) *Series {
	if request.inWarmup {
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

// recordBooking records a response to a booking. The caller holds the lock.
func (report *Report) recordBooking(name string, outcome *outcome) {
	if outcome.complete {
		report.bookings[name]++
	}
	if only, seen := report.notRunBookings[name]; !seen || only {
		report.notRunBookings[name] = outcome.notRun()
	}
}

// addProblem notes an unexpected response. The caller holds the lock.
func (report *Report) addProblem(text string) {
	if len(report.problems) < maxProblems {
		report.problems = append(report.problems, text)
	}
}

// countError counts an error response by its kind.
func (report *Report) countError(request request, outcome *outcome) {
	if !request.inWarmup {
		report.errorsByKind[outcome.errorKind]++
	}
}

// recordModelRefusal records how long a wrongfully refused model request waited.
func (report *Report) recordModelRefusal(request request, outcome *outcome) {
	if request.inWarmup || request.overRate || !request.kind.UsesAdapter() || !outcome.notRun() {
		return
	}
	report.refusedWaits = append(report.refusedWaits, outcome.firstToken)
	report.recordModelFirstToken(request, outcome)
}

// recordModelFirstToken adds the time to first token of a model request to the
// times of its organisation.
func (report *Report) recordModelFirstToken(request request, outcome *outcome) {
	times, ok := report.modelFirstTokens[request.organisation.Name]
	if !ok {
		times = metric.NewHistogram()
		report.modelFirstTokens[request.organisation.Name] = times
	}
	times.Observe(max(outcome.firstToken, time.Microsecond))
}

// recordCompleted records the times of a completed request.
func (report *Report) recordCompleted(series *Series, request request, outcome *outcome) {
	if request.kind.UsesAdapter() && !request.inWarmup {
		report.recordModelFirstToken(request, outcome)
		report.modelRequests = append(report.modelRequests, ModelRequest{
			RequestID: outcome.requestID, Organisation: request.organisation.Name, Kind: request.kind,
			Adapter: request.adapter, Sent: outcome.sent, FirstToken: outcome.firstToken,
		})
	}
	series.FirstToken.Observe(max(outcome.firstToken, time.Microsecond))
	for _, interval := range outcome.tokenIntervals {
		series.TokenIntervals.Observe(interval)
	}
}
