package relay

import (
	"math"
	"slices"
	"sync"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/flow/permit"
	"jacinthfront.dev/jacinthfront/internal/flow/rank"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// maxLimitsPerReport bounds the rate limits in a usage report.
	maxLimitsPerReport = 256
	// maxPermitsPerDatagram bounds the asks or grants in a datagram.
	maxPermitsPerDatagram = 256
)

// permits keeps this instance's sends to upstreams with a rate limit within the
// permits that it was issued. It implements picker.Limits.
type permits struct {
	limits *permit.Limits
	// cold limits the upstreams that are cold. mayUseCold reports whether this instance
	// may send anything to them.
	cold       *permit.Cold
	mayUseCold func() bool
	client     *permit.Client
	// allocator issues the permits of the upstreams for which this instance ranks
	// first.
	allocator *permit.Allocator
	queue     *permitQueue
	metrics   *metrics
	// nextLimit is the index of the limit that the next usage report begins with. It
	// is used only by sendReports.
	nextLimit int
}

func newPermits(metrics *metrics, mayUseCold func() bool) *permits {
	return &permits{
		limits: permit.NewLimits(permit.LimitsConfig{}), cold: permit.NewCold(), mayUseCold: mayUseCold,
		client: permit.NewClient(permit.ClientConfig{}), allocator: permit.NewAllocator(permit.AllocatorConfig{}),
		queue: newPermitQueue(), metrics: metrics,
	}
}

// Admission implements picker.Limits.
func (permits *permits) Admission(upstream fleet.Upstream, request uint64, byGrant bool) permit.Admission {
	incarnation := incarnationOf(upstream)
	rate := permits.rateFor(incarnation, byGrant)
	switch {
	case rate == permit.Unlimited:
		return permit.Admission{Held: math.MaxInt}
	case permits.coldHeld(incarnation, byGrant):
		return permit.Admission{Wait: permits.cold.Remaining(incarnation)}
	}
	admission := permits.client.Admission(incarnation, rate, request)
	admission.Held = max(admission.Held-permits.queue.countBefore(upstream.Service, request), 0)
	return admission
}

// Want implements picker.Limits.
func (permits *permits) Want(upstream fleet.Upstream, request uint64) {
	permits.client.Want(incarnationOf(upstream), request)
}

// take uses a permit for an upstream, if its rate is limited, and reports whether
// a request may be sent there. byGrant means that the upstream's loader has admitted
// the request.
func (permits *permits) take(upstream fleet.Upstream, byGrant bool) bool {
	incarnation := incarnationOf(upstream)
	if permits.rateFor(incarnation, byGrant) == permit.Unlimited {
		return true
	}
	if permits.coldHeld(incarnation, byGrant) || !permits.client.Take(incarnation) {
		return false
	}
	permits.metrics.increment("permits-taken")
	if !byGrant && permits.cold.Rate(incarnation) != permit.Unlimited {
		permits.metrics.increment("cold-permits-taken")
	}
	return true
}

// encodeLimits encodes the known rate limits for a usage report: all, or those
// that changed recently. If there are more than a report holds, each call returns
// the next ones.
func (permits *permits) encodeLimits(all bool) []*wirepb.RateLimit {
	known := permits.limits.Known()
	var encoded []*wirepb.RateLimit
	for number := range known {
		limit := known[(permits.nextLimit+number)%len(known)]
		if !all && !limit.Recent {
			continue
		}
		if len(encoded) >= maxLimitsPerReport {
			permits.nextLimit = (permits.nextLimit + number) % len(known)
			break
		}
		if limit.Lowest != limit.Latest {
			encoded = append(encoded, codec.EncodeRateLimit(limit.Incarnation, limit.Lowest))
		}
		encoded = append(encoded, codec.EncodeRateLimit(limit.Incarnation, limit.Latest))
	}
	return encoded
}

// recordPeerLimits records the rate limits that another entry instance passes on.
func (relay *Relay) recordPeerLimits(report *wirepb.Usage) {
	for _, encoded := range report.GetLimits() {
		incarnation, notice := codec.DecodeRateLimit(encoded)
		before, after := relay.permits.limits.Merge(incarnation, notice)
		relay.logRateLimit(incarnation, before, after, report.GetEntry())
	}
}

// permitExchange is a client of permits with the allocator of the same instance.
type permitExchange struct {
	client    *permit.Client
	allocator *permit.Allocator
	// rate returns the limit of an upstream, or of a service's retries.
	rate func(cordon.Incarnation) permit.Rate
	// task begins the name of the task for which the allocator ranks first.
	task string
	// retries means that the permits are for retries at services.
	retries bool
}

// permitExchange returns the exchange of permits for retries, or of those to send
// requests to upstreams.
func (relay *Relay) permitExchange(retries bool) permitExchange {
	if retries {
		budget := relay.retryBudget
		return permitExchange{client: budget.client, allocator: budget.allocator, rate: budget.rate, task: retryTask, retries: true}
	}
	return permitExchange{client: relay.permits.client, allocator: relay.permits.allocator, rate: relay.permits.rate}
}

// exchangePermits asks for permits that are wanted, and issues those that are due.
func (relay *Relay) exchangePermits() {
	relay.permits.renewAfterPause()
	relay.updateRetryPools()
	live := sync.OnceValue(relay.peers.live)
	for _, retries := range []bool{false, true} {
		relay.askPermits(relay.permitExchange(retries), live)
	}
}

// askPermits asks for the permits of an exchange that are wanted, and issues those
// that are due. live returns the entry instances that are heard.
func (relay *Relay) askPermits(exchange permitExchange, live func() []string) {
	asks := exchange.client.Asks(exchange.rate, func(id string) string { return rank.First(exchange.task+id, live()) })
	byAllocator := make(map[string][]*wirepb.PermitAsk)
	for _, addressed := range asks {
		if addressed.Allocator == relay.config.DatagramAddress {
			exchange.allocator.SetAsk(addressed.Allocator, addressed.Ask)
			continue
		}
		byAllocator[addressed.Allocator] = append(byAllocator[addressed.Allocator], codec.EncodePermitAsk(addressed.Ask))
	}
	sendChunks(relay, byAllocator, func(chunk []*wirepb.PermitAsk) *wirepb.Datagram {
		body := &wirepb.PermitAsks{Entry: relay.config.DatagramAddress, Asks: chunk, Retries: exchange.retries}
		return &wirepb.Datagram{Body: &wirepb.Datagram_PermitAsks{PermitAsks: body}}
	})
	relay.issuePermits(exchange)
}

// issuePermits issues the permits of an exchange that are due. The part of the rates
// that belongs to silent entry instances, which may issue permits themselves, is not
// used.
func (relay *Relay) issuePermits(exchange permitExchange) {
	if exchange.allocator.Idle() {
		return
	}
	fraction := float64(len(relay.peers.live())) / float64(relay.peers.count())
	byClient := make(map[string][]*wirepb.PermitGrant)
	for _, addressed := range exchange.allocator.Issue(fraction) {
		if addressed.Client == relay.config.DatagramAddress {
			relay.acceptPermits(exchange, addressed.Grant)
			continue
		}
		byClient[addressed.Client] = append(byClient[addressed.Client], codec.EncodePermitGrant(addressed.Grant))
	}
	sendChunks(relay, byClient, func(chunk []*wirepb.PermitGrant) *wirepb.Datagram {
		return &wirepb.Datagram{Body: &wirepb.Datagram_PermitGrants{PermitGrants: &wirepb.PermitGrants{Grants: chunk, Retries: exchange.retries}}}
	})
}

// sendChunks sends asks or grants to the entry instances that they are for, at most
// maxPermitsPerDatagram in a datagram.
func sendChunks[Item any](relay *Relay, byAddress map[string][]Item, encode func(chunk []Item) *wirepb.Datagram) {
	for address, items := range byAddress {
		for chunk := range slices.Chunk(items, maxPermitsPerDatagram) {
			relay.sendDatagram(encode(chunk), address)
		}
	}
}

// handlePermitAsks processes the asks of another entry instance.
func (relay *Relay) handlePermitAsks(asks *wirepb.PermitAsks) {
	exchange := relay.permitExchange(asks.GetRetries())
	for _, encoded := range asks.GetAsks() {
		exchange.allocator.SetAsk(asks.GetEntry(), codec.DecodePermitAsk(encoded))
	}
	relay.issuePermits(exchange)
}

// handlePermitGrants processes the grants of an allocator.
func (relay *Relay) handlePermitGrants(grants *wirepb.PermitGrants) {
	relay.permits.renewAfterPause()
	exchange := relay.permitExchange(grants.GetRetries())
	for _, encoded := range grants.GetGrants() {
		relay.acceptPermits(exchange, codec.DecodePermitGrant(encoded))
	}
}

// acceptPermits processes an allocator's answer and wakes the requests that wait.
func (relay *Relay) acceptPermits(exchange permitExchange, grant permit.Grant) {
	if exchange.client.Accept(grant) {
		relay.metrics.increment("permits-answered")
		relay.stateChanged.notify()
	}
}
