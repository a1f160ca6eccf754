package picker

import (
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
	// Unreported means that its loader does not report, so that none can be confirmed. The
	// list alone does not tell: the engine may have started again since its entry was read.
	Unreported
)

// RecordIncarnation records the start of the incarnation of an engine that ran at a time or
// later, in Unix milliseconds, as its loader says.
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

// silent reports whether the loader of a listed engine does not report.
func (picker *Picker) silent(upstream *upstream, now time.Time) bool {
	return !picker.reportIsRecent(upstream, now) && now.Sub(upstream.listedAt) > firstReportTimeout
}
