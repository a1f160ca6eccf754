package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
	"jacinthfront.dev/jacinthfront/internal/flow/origin"
)

// A stream goes on in two ways: this instance resumes it within one answer, or its caller
// takes it up by another request. In both, the request may be sent only to upstreams of the
// service and the software version that began the stream.

// takeUpMargin is added to the longest time of a request for when a stream that is taken up can
// have begun. Callers take streams up within the time of the first request.
const takeUpMargin = 500 * time.Millisecond

// Reasons of refusals of streams that cannot go on. A retry does not help their callers,
// so that these refusals name no time for one.
const (
	reasonOriginUnknown = "it is not known which software version began the stream"
	reasonOriginGone    = "no upstream of the software version that began the stream serves"
)

// takesUp reports whether the caller takes up a stream of which it has a part.
func (proxyRequest *proxyRequest) takesUp() bool {
	return proxyRequest.route.Streaming && proxyRequest.info.LastEventID != ""
}

// resumes reports whether the next send continues a stream of which the caller has a part.
func (proxyRequest *proxyRequest) resumes() bool {
	return proxyRequest.headersSent || proxyRequest.takesUp()
}

// streamKey returns the key of the stream that the request begins or takes up.
func (proxyRequest *proxyRequest) streamKey() origin.Key {
	if proxyRequest.takesUp() {
		return origin.KeyOf(proxyRequest.organisationName(), proxyRequest.info.Resumes)
	}
	return origin.KeyOf(proxyRequest.organisationName(), proxyRequest.info.ID)
}

// takeUp finds out which software began the stream that the caller takes up. It returns
// the refusal if the stream cannot go on.
func (proxyRequest *proxyRequest) takeUp(ctx context.Context) *refusal {
	if !proxyRequest.takesUp() {
		return nil
	}
	relay := proxyRequest.relay
	listed := func() bool { return !relay.instanceWatcher.Position().ConfirmedAt.IsZero() }
	proxyRequest.awaitStartup(listed)
	if !listed() {
		return &refusal{http.StatusServiceUnavailable, "the instance list is not known yet", retryAfterUnready}
	}
	ctx, cancel := context.WithTimeout(ctx, takeUpTimeout)
	defer cancel()
	found, knownFrom, list := proxyRequest.findOrigin(ctx)
	relay.metrics.increment("take-ups-" + knownFrom)
	proxyRequest.log("relay: stream taken up", zap.String("resumes", proxyRequest.info.Resumes), zap.String("last-event", proxyRequest.info.LastEventID),
		zap.String("software-version", found.Version), zap.String("known-from", knownFrom))
	proxyRequest.origin, proxyRequest.lastEventID = found, proxyRequest.info.LastEventID
	switch {
	case knownFrom == knownOutOfStep:
		return outOfStepRefusal()
	case !found.Known():
		return &refusal{http.StatusServiceUnavailable, reasonOriginUnknown, 0}
	}
	if service, ok := relay.store.config().Service(found.Service); ok && proxyRequest.route.Names(found.Service) {
		proxyRequest.service = service
	}
	return proxyRequest.confirmGone(ctx, list)
}

// confirmGone returns the refusal of a request that takes up a stream if no upstream can
// continue it, or nil. Before it returns one, it makes sure that the list has the upstreams
// that were listed when the request came, and those that others had read up to a place.
func (proxyRequest *proxyRequest) confirmGone(ctx context.Context, others watch.Cursor) *refusal {
	if refused := proxyRequest.resumeRefusal(); refused == nil || !proxyRequest.origin.Known() {
		return refused
	}
	proxyRequest.relay.awaitEngines(ctx, proxyRequest.requirements())
	if proxyRequest.relay.picker.Unheard(proxyRequest.requirements()) {
		proxyRequest.recordOutOfStep(causeUpstreamsUnheard)
		return outOfStepRefusal()
	}
	if proxyRequest.relay.confirmList(ctx, proxyRequest.started, others) != nil {
		proxyRequest.recordOutOfStep(causeListUnconfirmed)
		return outOfStepRefusal()
	}
	return proxyRequest.resumeRefusal()
}

// How the origin of a stream is known, or why not.
const (
	knownOwn       = "own"
	knownCopy      = "copy"
	knownLoader    = "loader"
	knownSole      = "sole-version"
	knownNowhere   = "nowhere"
	knownOutOfStep = "out-of-step"
)

// findOrigin returns which software began the stream that the caller takes up, and how that
// is known: from this instance, which forwards it or keeps a copy, from a loader or another
// instance, or because no other version was listed while the stream can have begun. list is
// how far others had read the instance list.
func (proxyRequest *proxyRequest) findOrigin(ctx context.Context) (found origin.Origin, knownFrom string, list watch.Cursor) {
	relay, key := proxyRequest.relay, proxyRequest.streamKey()
	if record, ok := relay.origins.ledger.Find(key); ok {
		if relay.origins.ledger.IsCopy(key) {
			return record.Origin, knownCopy, list
		}
		return record.Origin, knownOwn, list
	}
	return proxyRequest.lookUpOrigin(ctx, proxyRequest.started)
}

// lookUpOrigin is findOrigin for a stream that had begun by a time and of which this instance
// has no record.
func (proxyRequest *proxyRequest) lookUpOrigin(ctx context.Context, begunBy time.Time) (found origin.Origin, knownFrom string, list watch.Cursor) {
	relay := proxyRequest.relay
	lookup := relay.askOrigin(ctx, proxyRequest.streamKey(), proxyRequest.route.ServiceNames())
	proxyRequest.log("relay: loaders asked for the origin of a stream", zap.Bool("found", lookup.found), zap.Int("asked", lookup.asked), zap.Int("silent", lookup.silent),
		zap.Int("instances-asked", lookup.instancesAsked), zap.Int("instances-silent", lookup.instancesSilent),
		zap.Duration("list-age", elapsed(relay.instanceWatcher.Position().ConfirmedAt)))
	switch {
	case lookup.found:
		return lookup.record.Origin, knownLoader, lookup.list
	case lookup.unheard():
		proxyRequest.recordOutOfStep(causeLoadersSilent)
		return origin.Origin{}, knownOutOfStep, lookup.list
	}
	found, knownFrom = proxyRequest.soleOrigin(ctx, begunBy, lookup.list)
	return found, knownFrom, lookup.list
}

// prepareResume finds out, after a break of a stream of which the caller has a part, what its
// resumption needs and this instance does not know: which software began it, and upstreams of
// that software that were listed since.
func (proxyRequest *proxyRequest) prepareResume(ctx context.Context) {
	if !proxyRequest.resumes() || proxyRequest.resumeRefusal() == nil {
		return
	}
	brokeAt := time.Now()
	if !proxyRequest.origin.Known() {
		proxyRequest.origin, _, _ = proxyRequest.lookUpOrigin(ctx, brokeAt)
	}
	if proxyRequest.origin.Known() && proxyRequest.resumeRefusal() != nil {
		proxyRequest.relay.awaitEngines(ctx, proxyRequest.requirements())
	}
	if proxyRequest.origin.Known() && proxyRequest.resumeRefusal() != nil {
		// Without a confirmed list the stream ends.
		_ = proxyRequest.relay.confirmList(ctx, brokeAt, watch.Cursor{})
	}
}

// soleOrigin returns the only origin that a stream of the route can have that had begun by a
// time, if there is only one. The store is read once more, as other instances may have begun
// the stream at an upstream that this one does not know yet. others is how far they had read
// the instance list.
func (proxyRequest *proxyRequest) soleOrigin(ctx context.Context, begunBy time.Time, others watch.Cursor) (sole origin.Origin, knownFrom string) {
	relay := proxyRequest.relay
	if relay.confirmStore(ctx, begunBy, others) != nil {
		proxyRequest.recordOutOfStep(causeStoreUnconfirmed)
		return origin.Origin{}, knownOutOfStep
	}
	services := proxyRequest.route.ServiceNames()
	since := begunBy.Add(-relay.longestStream(services))
	if !relay.store.steadyFrom(proxyRequest.route, since) {
		// The stream may have begun at another service.
		services = relay.engineServices()
		since = begunBy.Add(-relay.longestStream(services))
	}
	if !relay.origins.history.Reaches(since) {
		relay.recallSoftware(context.WithoutCancel(ctx))
	}
	if relay.picker.Renewed(services) {
		proxyRequest.recordOutOfStep(causeUpstreamRenewed)
		return origin.Origin{}, knownOutOfStep
	}
	if sole, ok := relay.origins.history.Sole(services, since); ok {
		return sole, knownSole
	}
	return origin.Origin{}, knownNowhere
}

// engineServices returns the services that were listed lately, without those that have no
// engines.
func (relay *Relay) engineServices() []string {
	config := relay.store.config()
	return slices.DeleteFunc(relay.origins.history.Services(), func(name string) bool {
		service, ok := config.Service(name)
		return ok && service.Engine == nil
	})
}

// longestStream returns how long before it is taken up a stream of some services can have
// begun.
func (relay *Relay) longestStream(services []string) time.Duration {
	longest := time.Duration(0)
	for _, service := range services {
		longest = max(longest, relay.store.config().LongestTimeout(service, defaultTimeout))
	}
	return longest + takeUpMargin
}

// resumeRefusal returns the refusal of a request that continues a stream if no upstream can
// do so, or nil.
func (proxyRequest *proxyRequest) resumeRefusal() *refusal {
	if !proxyRequest.resumes() {
		return nil
	}
	if !proxyRequest.continues && !proxyRequest.identified && proxyRequest.headersSent {
		// The loader may have answered after the last event.
		proxyRequest.recordBegin(proxyRequest.identify())
	}
	if !proxyRequest.origin.Known() {
		return &refusal{http.StatusServiceUnavailable, reasonOriginUnknown, 0}
	}
	requirements := proxyRequest.requirements()
	if proxyRequest.service.Name != proxyRequest.origin.Service || !proxyRequest.relay.picker.CanResume(requirements) {
		if proxyRequest.service.Name == proxyRequest.origin.Service && proxyRequest.relay.picker.AllEvacuated(requirements) {
			return proxyRequest.relay.countRefused(evacuatedRefusal(0))
		}
		return &refusal{http.StatusServiceUnavailable, reasonOriginGone, 0}
	}
	return nil
}
