package picker

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/speed"
)

// RecordFactor records the work factor that an upstream stated in a response. It reports
// whether it differs from what was known, so that the loader should be told at once.
func (picker *Picker) RecordFactor(id string, factor float64) (changed bool) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	upstream, ok := picker.upstreams[id]
	if !ok {
		return false
	}
	now := time.Now()
	known := upstream.work(now)
	if !upstream.factors.Record(speed.Statement{Factor: factor, At: now}) {
		return false
	}
	upstream.factorUntold = true
	if known.Stated.Factor > 0 && !speed.Differs(factor, known.Present(now)) {
		return false
	}
	upstream.factorChanged = true
	upstream.generation++
	return true
}

// WorkFactor returns how long work takes at an upstream now, 1 for the usual time, or 0 if
// unknown.
func (picker *Picker) WorkFactor(id string) float64 {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	upstream, ok := picker.upstreams[id]
	if !ok {
		return 0
	}
	now := time.Now()
	return upstream.work(now).Present(now)
}

// FactorChanged reports whether the loader has not been told yet of a factor that differs
// from what was known.
func (picker *Picker) FactorChanged(id string) bool {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	upstream, ok := picker.upstreams[id]
	return ok && upstream.factorChanged
}

// RecordStream records that a stream from an engine ended, or had a pause longer than its
// goal. Each stream is recorded once.
func (picker *Picker) RecordStream(id string, paused bool) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	upstream, ok := picker.upstreams[id]
	if !ok {
		return
	}
	upstream.streams.Streams++
	if paused {
		upstream.streams.Paused++
	}
}

// TakeStreams returns the streams recorded since the last call.
func (picker *Picker) TakeStreams(id string) speed.StreamCounts {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	upstream, ok := picker.upstreams[id]
	if !ok {
		return speed.StreamCounts{}
	}
	counts := upstream.streams
	upstream.streams = speed.StreamCounts{}
	return counts
}

// takeStatement returns the last work factor that the upstream stated to this instance, as
// a measurement, if it was not taken yet.
func (upstream *upstream) takeStatement(now time.Time) []admit.Measurement {
	if !upstream.factorUntold {
		return nil
	}
	upstream.factorUntold, upstream.factorChanged = false, false
	return []admit.Measurement{{Stated: upstream.factors.Work(now).Stated}}
}

// work returns what is known of the upstream's work factor. Its loader hears what the
// upstream states to all instances.
func (upstream *upstream) work(now time.Time) speed.Work {
	work, told := upstream.factors.Work(now), upstream.report.Work
	work.Stated = speed.Fresher(work.Stated, told.Stated)
	if told.Lasting > 0 {
		work.Lasting = told.Lasting
	}
	return work
}
