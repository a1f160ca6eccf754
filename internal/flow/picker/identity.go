package picker

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// Identity tells which incarnation of an upstream is at the other end of a connection.
type Identity uint8

const (
	// Unconfirmed means that it may be a later one than the listed one.
	Unconfirmed Identity = iota
	// Confirmed means that it is the listed one.
	Confirmed
	// Replaced means that a later one is known.
	Replaced
	// Unreported means that its loader does not report, so that only the engine itself can
	// confirm it. The list alone does not tell: the engine may have started again since its
	// entry was read.
	Unreported
)

// RecordIncarnation records the start of the incarnation of an engine that ran at a time or
// later, in Unix milliseconds, as its loader or the engine itself says.
func (picker *Picker) RecordIncarnation(id string, startedAt int64, at time.Time) {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	if upstream, ok := picker.upstreams[id]; ok && at.After(upstream.confirmedAt) {
		upstream.confirmed, upstream.confirmedAt = startedAt, at
	}
}

// Identify returns which incarnation of an engine is at the other end of a connection that
// was opened at a time. It is the listed one if that ran after the connection was opened.
func (picker *Picker) Identify(spec fleet.Upstream, openedAt time.Time) Identity {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	upstream, ok := picker.upstreams[spec.ID]
	if !ok {
		return Unconfirmed
	}
	switch {
	case spec.StartedAt == 0:
		return Confirmed
	case max(upstream.report.StartedAt, upstream.spec.StartedAt, upstream.confirmed) > spec.StartedAt:
		return Replaced
	case upstream.confirmed == spec.StartedAt && upstream.confirmedAt.After(openedAt):
		return Confirmed
	case picker.silent(upstream, time.Now()):
		return Unreported
	default:
		return Unconfirmed
	}
}

// Renewed reports whether an engine of some services runs a later incarnation than the listed
// one, whose software version is not known yet.
func (picker *Picker) Renewed(services []string) bool {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	for _, service := range services {
		for _, upstream := range picker.services[service] {
			if upstream.spec.StartedAt > 0 && max(upstream.report.StartedAt, upstream.confirmed) > upstream.spec.StartedAt {
				return true
			}
		}
	}
	return false
}

// SilentEngines returns engines that may continue a stream, whose loaders are silent, and of
// which no incarnation was confirmed lately: a number of them at most, those that have the
// adapter first, the others in random order.
func (picker *Picker) SilentEngines(request Request, most int) []fleet.Upstream {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	now := time.Now()
	var silent []*upstream
	for _, upstream := range picker.services[request.Service] {
		if picker.mayResume(upstream, request) && picker.silent(upstream, now) && !picker.answers(upstream, now) {
			silent = append(silent, upstream)
		}
	}
	rand.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
	slices.SortStableFunc(silent, func(a, b *upstream) int {
		return compareBool(b.hasAdapter(request.Adapter), a.hasAdapter(request.Adapter))
	})
	var specs []fleet.Upstream
	for _, upstream := range silent[:min(most, len(silent))] {
		specs = append(specs, upstream.spec)
	}
	return specs
}

// answers reports whether the listed incarnation of an engine was confirmed lately.
func (picker *Picker) answers(upstream *upstream, now time.Time) bool {
	return upstream.spec.StartedAt == upstream.confirmed && now.Sub(upstream.confirmedAt) < picker.config.ReportTTL
}

// silent reports whether the loader of a listed engine does not report.
func (picker *Picker) silent(upstream *upstream, now time.Time) bool {
	return !picker.reportIsRecent(upstream, now) && now.Sub(upstream.listedAt) > firstReportTimeout
}
