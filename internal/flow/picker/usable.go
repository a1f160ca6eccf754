package picker

import (
	"slices"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// cordoned reports whether an upstream is draining or in backoff, and until
// when.
func (picker *Picker) cordoned(upstream *upstream) (until time.Time, cordoned bool) {
	if picker.config.Cordon == nil {
		return time.Time{}, false
	}
	return picker.config.Cordon.Cordoned(cordon.Incarnation{ID: upstream.spec.ID, StartedAt: upstream.spec.StartedAt})
}

// usable reports whether requests may be sent to an upstream.
func (picker *Picker) usable(upstream *upstream) bool {
	return picker.takesRequests(upstream) && !picker.evacuated(upstream)
}

// takesRequests reports whether an upstream takes requests, by what it said of itself.
func (picker *Picker) takesRequests(upstream *upstream) bool {
	_, cordoned := picker.cordoned(upstream)
	return !cordoned && !upstream.draining()
}

// evacuated reports whether the failure domain of an upstream is evacuated.
func (picker *Picker) evacuated(upstream *upstream) bool {
	return picker.config.Evacuation != nil && picker.config.Evacuation.Evacuated(upstream.spec.FailureDomain)
}

// allEvacuated reports whether the upstreams that fit a request are all in evacuated failure
// domains, and there are any.
func (picker *Picker) allEvacuated(request Request) bool {
	found := false
	for _, upstream := range picker.services[request.Service] {
		if !request.fits(upstream.spec) {
			continue
		}
		if !picker.evacuated(upstream) {
			return false
		}
		found = true
	}
	return found
}

// AllEvacuated reports whether only upstreams in evacuated failure domains fit a request.
func (picker *Picker) AllEvacuated(request Request) bool {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	return picker.allEvacuated(request)
}

// CountEvacuatedRunning returns how many of this instance's requests still run at upstreams in
// evacuated failure domains.
func (picker *Picker) CountEvacuatedRunning() int {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	running := 0
	for _, upstream := range picker.upstreams {
		if picker.evacuated(upstream) {
			running += upstream.running
		}
	}
	return running
}

// fits reports whether an upstream has the software version that the request needs.
func (request Request) fits(spec fleet.Upstream) bool {
	return !request.Resumed || spec.SoftwareVersion == request.SoftwareVersion
}

// othersServe reports whether an engine of the upstream's service with another software
// version takes requests.
func (picker *Picker) othersServe(upstream *upstream) bool {
	for _, other := range picker.services[upstream.spec.Service] {
		differs := other.spec.SoftwareVersion != upstream.spec.SoftwareVersion
		if differs && picker.usable(other) && other.report.ModelLoaded && !other.report.Unreachable {
			return true
		}
	}
	return false
}

// CanResume reports whether an upstream may continue a stream, now or after a wait: one
// that fits, was not tried, goes on serving, is not known to have ended, and, if it is an
// engine, whose loader was heard lately or that was confirmed lately.
func (picker *Picker) CanResume(request Request) bool {
	now := time.Now()
	return picker.resumable(request, func(upstream *upstream) bool { return !request.Engine || !upstream.unheard(now) })
}

// Unheard reports whether a stream cannot go on only because neither the upstreams that may
// continue it nor their loaders are heard.
func (picker *Picker) Unheard(request Request) bool {
	now := time.Now()
	return !picker.CanResume(request) && picker.resumable(request, func(upstream *upstream) bool { return upstream.unheard(now) })
}

// resumable reports whether one of the upstreams that a function selects may continue a stream.
func (picker *Picker) resumable(request Request, selected func(upstream *upstream) bool) bool {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	return slices.ContainsFunc(picker.services[request.Service], func(upstream *upstream) bool {
		return picker.mayResume(upstream, request) && selected(upstream)
	})
}

// mayResume reports whether an upstream may continue a stream, now or after a wait, if it is
// heard.
func (picker *Picker) mayResume(upstream *upstream, request Request) bool {
	until, cordoned := picker.cordoned(upstream)
	leaving := cordoned && until.IsZero() || upstream.draining() || picker.evacuated(upstream)
	return request.fits(upstream.spec) && !leaving && !upstream.report.Unreachable && !slices.Contains(request.Exclude, upstream.spec.ID)
}

// unheard reports whether for firstReportTimeout the loader of an engine has not been heard
// and the engine has not been confirmed.
func (upstream *upstream) unheard(now time.Time) bool {
	confirmed := upstream.confirmed == upstream.spec.StartedAt && now.Sub(upstream.confirmedAt) <= firstReportTimeout
	return now.Sub(upstream.listedAt) > firstReportTimeout && now.Sub(upstream.reportedAt) > firstReportTimeout && !confirmed
}

// TakesRequests reports whether an upstream is known and takes requests, by what it said of
// itself. Its failure domain may be evacuated.
func (picker *Picker) TakesRequests(id string) bool {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	upstream, ok := picker.upstreams[id]
	return ok && picker.takesRequests(upstream)
}

// Crashed reports whether an upstream has ended without having announced that it is
// draining. One that is unresponsive may go on.
func (picker *Picker) Crashed(id string) bool {
	picker.mutex.Lock()
	defer picker.mutex.Unlock()
	upstream, ok := picker.upstreams[id]
	if !ok || upstream.spec.Draining || upstream.report.Draining {
		return false
	}
	if _, cordoned := picker.cordoned(upstream); cordoned {
		return false
	}
	return upstream.report.Unreachable && !upstream.report.Unresponsive || upstream.restarted()
}

// retryAfter returns the time until the first backoff asked for by an upstream
// of the service ends, or 0 if there is none.
func (picker *Picker) retryAfter(request Request) time.Duration {
	var shortest time.Duration
	for _, upstream := range picker.services[request.Service] {
		until, _ := picker.cordoned(upstream)
		if until.IsZero() || upstream.draining() || picker.evacuated(upstream) || !request.fits(upstream.spec) {
			continue
		}
		if left := time.Until(until); shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// unavailableResult returns Evacuated if all upstreams of the service are in evacuated
// failure domains, Starting if an engine of the service is loading its model, else
// NoUpstream.
func (picker *Picker) unavailableResult(request Request) Result {
	if picker.allEvacuated(request) {
		return Evacuated
	}
	for _, upstream := range picker.services[request.Service] {
		if request.Engine && request.fits(upstream.spec) && picker.usable(upstream) && !upstream.report.Unreachable && !upstream.reportedAt.IsZero() && !upstream.report.ModelLoaded {
			return Starting
		}
	}
	return NoUpstream
}

// draining reports whether the upstream takes no new requests, or has been
// replaced by a later incarnation.
func (upstream *upstream) draining() bool {
	return upstream.spec.Draining || upstream.report.Draining || upstream.restarted()
}

// restarted reports whether the engine at the address has restarted since the
// upstream was listed.
func (upstream *upstream) restarted() bool {
	return upstream.spec.StartedAt > 0 && upstream.report.StartedAt > upstream.spec.StartedAt
}
