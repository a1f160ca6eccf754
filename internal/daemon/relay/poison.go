package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/xxh3"
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/flow/poison"
	"jacinthfront.dev/jacinthfront/internal/flow/rank"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// onsetTime is how long after the head of its response an upstream has just begun
	// to answer a request.
	onsetTime = 500 * time.Millisecond
	// crashConfirmTime is how long after responses broke off it may be learned that
	// their upstream crashed.
	crashConfirmTime = time.Second
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

// add adds evidence and drops what was not confirmed in time.
func (brokenResponses *brokenResponses) add(upstream string, evidence []poison.Evidence) {
	brokenResponses.mutex.Lock()
	defer brokenResponses.mutex.Unlock()
	for id, pending := range brokenResponses.byUpstream {
		if time.Since(pending[len(pending)-1].At) > crashConfirmTime {
			delete(brokenResponses.byUpstream, id)
		}
	}
	brokenResponses.byUpstream[upstream] = append(brokenResponses.byUpstream[upstream], evidence...)
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

// poisonRefusal returns the refusal of a request with a part that crashes upstreams,
// or nil. Each send must be preceded by a call without a wait between them.
func (proxyRequest *proxyRequest) poisonRefusal() *refusal {
	if proxyRequest.probe || len(proxyRequest.info.SharedParts) == 0 {
		return nil
	}
	relay := proxyRequest.relay
	verdict := relay.poison.Check(proxyRequest.organisationName(), proxyRequest.info.SharedParts, relay.probePlace)
	switch {
	case verdict.Blocked:
		relay.metrics.increment("poison-refused")
		proxyRequest.log("poison: request has a blocked part", zap.String("part", verdict.Part))
		return &refusal{http.StatusServiceUnavailable, "a part of the prompt crashes upstreams", verdict.RetryAfter}
	case verdict.Probe:
		proxyRequest.probe = true
		relay.metrics.increment("poison-probes")
		proxyRequest.log("poison: request is sent as a probe", zap.Strings("parts", proxyRequest.info.SharedParts))
		relay.reportPoisonSoon()
	}
	return nil
}

// probePlace returns this instance's place in the ranking of all for a part.
func (relay *Relay) probePlace(part string) int {
	return rank.Place(part, relay.config.DatagramAddress, relay.peers.live())
}

// organisationName returns the name of the organisation, empty on an open route.
func (proxyRequest *proxyRequest) organisationName() string {
	if proxyRequest.organisation == nil {
		return ""
	}
	return proxyRequest.organisation.Name
}

// recordBreak records that the upstream's response broke off. A request that had not
// begun, or whose send this instance ended itself, did nothing to the upstream.
func (proxyRequest *proxyRequest) recordBreak(ctx context.Context, upstream fleet.Upstream) {
	if ctx.Err() != nil || len(proxyRequest.info.SharedParts) == 0 || upstream.Draining {
		return
	}
	now := time.Now()
	evidence := poison.Evidence{
		Organisation: proxyRequest.organisationName(), Request: xxh3.HashString(proxyRequest.info.ID), Upstream: incarnationOf(upstream), At: now,
		Fresh: now.Sub(proxyRequest.respondedAt) < onsetTime, Probe: proxyRequest.probe,
	}
	var all []poison.Evidence
	for _, part := range proxyRequest.info.SharedParts {
		evidence.Part = part
		all = append(all, evidence)
	}
	proxyRequest.probe = false
	proxyRequest.relay.brokenResponses.add(upstream.ID, all)
	proxyRequest.relay.confirmCrash(upstream.ID)
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
	if errors.Is(err, syscall.ECONNREFUSED) && relay.picker.Usable(upstream.ID) {
		relay.recordCrash(upstream.ID)
	}
}

// recordCrash records that an upstream crashed.
func (relay *Relay) recordCrash(upstream string) {
	evidence := relay.brokenResponses.take(upstream)
	if len(evidence) == 0 {
		return
	}
	var fresh []string
	for _, item := range evidence {
		if item.Fresh {
			fresh = append(fresh, item.Part)
		}
	}
	relay.metrics.increment("poison-crashes")
	relay.config.Logger.Info("poison: upstream crashed while it answered requests", zap.String("upstream", upstream),
		zap.Int64("born", evidence[0].Upstream.StartedAt), zap.Int("evidence", len(evidence)), zap.Strings("fresh-parts", fresh))
	relay.logPoison(relay.poison.Add(true, evidence), nil, "")
	relay.reportPoisonSoon()
}

// recordCompleted records that an upstream completed its response.
func (proxyRequest *proxyRequest) recordCompleted() {
	relay := proxyRequest.relay
	cleared := relay.poison.RecordCompleted(proxyRequest.organisationName(), proxyRequest.info.SharedParts)
	if len(cleared) > 0 {
		proxyRequest.log("poison: response completed with blocked parts", zap.Strings("parts", cleared))
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

// logPoison logs parts that were blocked and cleared, and wakes the requests that
// wait. What another entry instance told led to it if peer is not empty.
func (relay *Relay) logPoison(blocked, cleared []string, peer string) {
	for _, part := range blocked {
		var upstreams []string
		for _, item := range relay.poison.Evidence(part) {
			upstreams = append(upstreams, item.Upstream.ID)
		}
		relay.metrics.increment("poison-blocked")
		relay.config.Logger.Warn("poison: part blocked", zap.String("part", part), zap.Strings("crashed", upstreams), zap.String("told", peer))
	}
	for _, part := range cleared {
		relay.metrics.increment("poison-cleared")
		relay.config.Logger.Info("poison: part cleared", zap.String("part", part), zap.String("told", peer))
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
	relay.poisonChanged.Store(true)
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
