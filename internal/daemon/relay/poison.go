package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/poison"
	"jacinthfront.dev/jacinthfront/internal/flow/rank"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// onsetTime is how long after the first byte of its response an upstream has just
	// begun to answer a request.
	onsetTime = 500 * time.Millisecond
	// crashConfirmTime is how long after responses broke off it may be learned that
	// their upstream crashed.
	crashConfirmTime = time.Second
	// probeDelay is how long after a response broke off at an upstream without a loader a
	// connection to it is opened.
	probeDelay = 20 * time.Millisecond
	// maxLoggedSubjects bounds the subjects in a log line.
	maxLoggedSubjects = 32
	// maxEvidencePerReport bounds the evidence in a full usage report.
	maxEvidencePerReport = 32
)

// brokenResponses holds, by upstream, the evidence that follows from responses that
// broke off if it turns out that the upstream crashed.
type brokenResponses struct {
	mutex      sync.Mutex
	byUpstream map[string][]poison.Evidence
}

func newBrokenResponses() *brokenResponses {
	return &brokenResponses{byUpstream: make(map[string][]poison.Evidence)}
}

// add adds evidence and drops what was not confirmed in time. It reports whether it is
// the first of an upstream.
func (brokenResponses *brokenResponses) add(upstream string, evidence []poison.Evidence) (first bool) {
	brokenResponses.mutex.Lock()
	defer brokenResponses.mutex.Unlock()
	for id, pending := range brokenResponses.byUpstream {
		if time.Since(pending[len(pending)-1].At) > crashConfirmTime {
			delete(brokenResponses.byUpstream, id)
		}
	}
	first = len(brokenResponses.byUpstream[upstream]) == 0
	brokenResponses.byUpstream[upstream] = append(brokenResponses.byUpstream[upstream], evidence...)
	return first
}

// take removes and returns the evidence of an upstream that was added in time.
func (brokenResponses *brokenResponses) take(upstream string) []poison.Evidence {
	brokenResponses.mutex.Lock()
	defer brokenResponses.mutex.Unlock()
	pending := brokenResponses.byUpstream[upstream]
	delete(brokenResponses.byUpstream, upstream)
	for len(pending) > 0 && time.Since(pending[0].At) > crashConfirmTime {
		pending = pending[1:]
	}
	return pending
}

// poisonSubjects returns what the request may crash upstreams with: the parts of its
// prompt that others share, and itself.
func (proxyRequest *proxyRequest) poisonSubjects() []poison.Subject {
	subjects := make([]poison.Subject, 0, len(proxyRequest.info.SharedParts)+1)
	for _, part := range proxyRequest.info.SharedParts {
		subjects = append(subjects, poison.Part(part))
	}
	return append(subjects, poison.Request(proxyRequest.identity))
}

// poisonRefusal returns the refusal of a request that crashes upstreams, or that has a
// part that does, or nil. Each send must be preceded by a call without a wait between
// them.
func (proxyRequest *proxyRequest) poisonRefusal() *refusal {
	if proxyRequest.probe {
		return nil
	}
	relay := proxyRequest.relay
	verdict := relay.poison.Check(proxyRequest.organisationName(), proxyRequest.subjects, relay.probePlace)
	switch {
	case verdict.Blocked:
		relay.metrics.increment("poison-refused")
		proxyRequest.log("poison: request is blocked", zap.Stringer("subject", verdict.Subject))
		reason := "a part of the prompt crashes upstreams"
		if verdict.Subject.Identity() != 0 {
			reason = "the request crashes upstreams"
		}
		return &refusal{http.StatusServiceUnavailable, reason, verdict.RetryAfter}
	case verdict.Probe:
		proxyRequest.probe = true
		relay.metrics.increment("poison-probes")
		proxyRequest.log("poison: request is sent as a probe", zap.Stringers("subjects", proxyRequest.subjects))
		relay.reportPoisonSoon()
	}
	return nil
}

// probePlace returns this instance's place in the ranking of all for a subject.
func (relay *Relay) probePlace(subject poison.Subject) int {
	return rank.Place(subject.String(), relay.config.DatagramAddress, relay.peers.live())
}

// organisationName returns the name of the organisation, empty on an open route.
func (proxyRequest *proxyRequest) organisationName() string {
	if proxyRequest.organisation == nil {
		return ""
	}
	return proxyRequest.organisation.Name
}

// recordBreak records that the last send broke off. A request whose send this instance
// ended itself did nothing to the upstream.
func (proxyRequest *proxyRequest) recordBreak(ctx context.Context, upstream fleet.Upstream) {
	lost := errors.Is(context.Cause(ctx), errUpstreamLost)
	if ctx.Err() != nil && !lost || proxyRequest.request.Context().Err() != nil || upstream.Draining {
		return
	}
	relay, now := proxyRequest.relay, time.Now()
	begun := proxyRequest.stage.begun()
	evidence := poison.Evidence{
		Subject:      poison.Request(proxyRequest.identity),
		Organisation: proxyRequest.organisationName(), Request: proxyRequest.identity, Upstream: incarnationOf(upstream), At: now,
		Fresh: begun && proxyRequest.stage < stageEvent, Unanswered: !begun, Probe: proxyRequest.probe,
	}
	all := []poison.Evidence{evidence}
	evidence.Fresh = begun && now.Sub(proxyRequest.begunAt) < onsetTime
	for _, part := range proxyRequest.info.SharedParts {
		evidence.Subject = poison.Part(part)
		all = append(all, evidence)
	}
	proxyRequest.probe = false
	first := relay.brokenResponses.add(upstream.ID, all)
	relay.confirmCrash(upstream.ID)
	if first && proxyRequest.service.Engine == nil {
		time.AfterFunc(probeDelay, func() { relay.probeConnection(upstream) })
	}
}

// probeConnection opens a connection to an upstream without a loader at which a
// response broke off, to learn whether it crashed. The connection is kept for later.
func (relay *Relay) probeConnection(upstream fleet.Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), crashConfirmTime)
	defer cancel()
	if err := relay.config.Pool.Open(ctx, upstream.Address); err != nil {
		relay.recordRefusedConnection(upstream, err)
	}
}

// confirmCrash makes evidence of the responses that broke off if their upstream is
// known to have crashed.
func (relay *Relay) confirmCrash(upstream string) {
	if relay.picker.Crashed(upstream) {
		relay.recordCrash(upstream)
	}
}

// recordRefusedConnection makes evidence of the responses that broke off at an
// upstream that refuses connections. An upstream without a loader shows its crash
// only in this way.
func (relay *Relay) recordRefusedConnection(upstream fleet.Upstream, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) && relay.picker.TakesRequests(upstream.ID) {
		relay.recordCrash(upstream.ID)
	}
}

// recordCrash records that an upstream crashed.
func (relay *Relay) recordCrash(upstream string) {
	evidence := relay.brokenResponses.take(upstream)
	if len(evidence) == 0 {
		return
	}
	var fresh, unanswered []poison.Subject
	for _, item := range evidence {
		switch {
		case item.Fresh:
			fresh = append(fresh, item.Subject)
		case item.Unanswered:
			unanswered = append(unanswered, item.Subject)
		}
	}
	relay.metrics.increment("poison-crashes")
	relay.config.Logger.Info("poison: upstream crashed with requests", zap.String("upstream", upstream),
		zap.Int64("born", evidence[0].Upstream.StartedAt), zap.Int("evidence", len(evidence)),
		zap.Stringers("fresh", fresh), zap.Stringers("unanswered", unanswered[:min(len(unanswered), maxLoggedSubjects)]))
	blocked, cleared := relay.poison.Add(true, evidence)
	relay.logPoison(blocked, cleared, "")
	relay.reportPoisonSoon()
}

// recordCompleted records that an upstream completed its response.
func (proxyRequest *proxyRequest) recordCompleted() {
	relay := proxyRequest.relay
	cleared := relay.poison.RecordCompleted(proxyRequest.organisationName(), proxyRequest.subjects)
	if len(cleared) > 0 {
		proxyRequest.log("poison: response completed although blocked", zap.Stringers("subjects", cleared))
	}
	relay.logPoison(nil, cleared, "")
}

// recordPeerPoison records what another entry instance observed.
func (relay *Relay) recordPeerPoison(report *wirepb.Usage) {
	if report.GetPoison() == nil {
		return
	}
	blocked, cleared := relay.poison.Merge(codec.DecodePoisonNews(report.GetPoison()))
	relay.logPoison(blocked, cleared, report.GetEntry())
}

// logPoison logs subjects that were blocked and cleared, and wakes the requests that
// wait. What another entry instance told led to it if peer is not empty.
func (relay *Relay) logPoison(blocked, cleared []poison.Subject, peer string) {
	for _, subject := range blocked {
		var upstreams []string
		for _, item := range relay.poison.Evidence(subject) {
			upstreams = append(upstreams, item.Upstream.ID)
		}
		relay.metrics.increment("poison-blocked")
		relay.config.Logger.Warn("poison: blocked", zap.Stringer("subject", subject), zap.Strings("crashed", upstreams), zap.String("told", peer))
	}
	for _, subject := range cleared {
		relay.metrics.increment("poison-cleared")
		relay.config.Logger.Info("poison: cleared", zap.Stringer("subject", subject), zap.String("told", peer))
	}
	if len(blocked) > 0 {
		relay.cancelBlocked()
	}
	if len(blocked)+len(cleared) > 0 {
		relay.stateChanged.notify()
	}
}

// reportPoisonSoon makes sendReports send what this instance observed at once.
func (relay *Relay) reportPoisonSoon() {
	relay.usageUrgent.Store(true)
	relay.reportSoon()
}

// encodePoison encodes what other entry instances must learn: in a full report also
// what they may have missed.
func (relay *Relay) encodePoison(full bool) *wirepb.PoisonNews {
	news := relay.poison.Recent()
	if full {
		news.Evidence = append(news.Evidence, relay.poison.AgainstBlocked(maxEvidencePerReport)...)
	}
	return codec.EncodePoisonNews(news)
}
