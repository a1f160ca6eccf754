package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/flow/permit"
	"jacinthfront.dev/jacinthfront/internal/flow/rank"
	"jacinthfront.dev/jacinthfront/internal/flow/retry"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// allocateRetriesAfter is how long after its start an instance allocates permits
	// for retries. By then it has heard of those that do so already.
	allocateRetriesAfter = 300 * time.Millisecond
	// poolsInterval is the time between two checks of which instance allocates the
	// permits for which service.
	poolsInterval = 250 * time.Millisecond
	// maxPastBytes bounds the pasts in a datagram, in bytes. It holds 64 kB.
	maxPastBytes = 32 << 10
	// retryTask begins the name of the task of allocating a service's permits.
	retryTask = "retries "
)

// retryBudget keeps the retries of all entry instances within Bounds: those for this
// instance's own requests by their number, and the others by permits.
type retryBudget struct {
	limits func() retry.Limits
	start  time.Time
	// own is this instance.
	own    retry.Incarnation
	client *permit.Client
	// changes tracks the services to which this instance has retried lately. It is
	// used only by sendReports.
	changes *usageChanges
	// allocator issues the permits of the services for which this instance ranks first.
	// allocates holds their names, and poolsAt when they were last set; both are used
	// only by sendReports.
	allocator *permit.Allocator
	allocates []string
	poolsAt   time.Time
	// firstPast is the number of the service with which encodePasts begins next. It is used
	// only by sendReports.
	firstPast int

	mutex   sync.Mutex
	ledgers map[string]*retry.Ledger
}

func newRetryBudget(limits func() retry.Limits, process process, address string) *retryBudget {
	return &retryBudget{
		limits:    limits,
		start:     process.start,
		own:       retry.Incarnation{Instance: address, Start: process.identity},
		changes:   newUsageChanges(),
		client:    permit.NewClient(permit.ClientConfig{PermitLifetime: retry.PermitLifetime}),
		allocator: permit.NewAllocator(permit.AllocatorConfig{PermitLifetime: retry.PermitLifetime, StandingOnly: true}),
		ledgers:   make(map[string]*retry.Ledger),
	}
}

// ledger returns the ledger of a service.
func (retryBudget *retryBudget) ledger(service string) *retry.Ledger {
	retryBudget.mutex.Lock()
	defer retryBudget.mutex.Unlock()
	ledger, ok := retryBudget.ledgers[service]
	if !ok {
		ledger = retry.NewLedger(retry.LedgerConfig{Limits: retryBudget.limits, Start: retryBudget.start, Incarnation: retryBudget.own})
		retryBudget.ledgers[service] = ledger
	}
	return ledger
}

// services returns the services that have a ledger.
func (retryBudget *retryBudget) services() []string {
	retryBudget.mutex.Lock()
	defer retryBudget.mutex.Unlock()
	return slices.Sorted(maps.Keys(retryBudget.ledgers))
}

// updateChanges reports whether this instance has retried since the last call.
func (retryBudget *retryBudget) updateChanges() bool {
	retries := make(map[string]float64)
	for _, service := range retryBudget.services() {
		if use := retryBudget.ledger(service).Use(false); use.Retries > 0 {
			retries[service] = float64(use.Retries)
		}
	}
	return retryBudget.changes.update(retries)
}

// encodeUse encodes what this instance has sent to the services: to all, or to those
// to which it has retried lately. An entry instance that does not know the past is also
// told that.
func (retryBudget *retryBudget) encodeUse(kind reportKind) []*wirepb.RetryUse {
	if kind == firstReport {
		return retryBudget.encodePasts()
	}
	var encoded []*wirepb.RetryUse
	recent := retryBudget.changes.recent()
	for _, service := range retryBudget.services() {
		if kind == fullReport || recent[service] {
			encoded = append(encoded, codec.EncodeRetryUse(service, retryBudget.ledger(service).Use(false)))
		}
	}
	return encoded
}

// encodePasts encodes what this instance has sent to all services, and what it knows of what
// all have sent, as far as a datagram holds it. Each call begins with another service.
func (retryBudget *retryBudget) encodePasts() []*wirepb.RetryUse {
	services, room := retryBudget.services(), maxPastBytes
	encoded := make([]*wirepb.RetryUse, 0, len(services))
	for number := range services {
		service := services[(retryBudget.firstPast+number)%len(services)]
		use := codec.EncodeRetryUse(service, retryBudget.ledger(service).Use(true))
		if room -= proto.Size(use); room < 0 {
			use.Pasts, use.Settled = nil, false
		}
		encoded = append(encoded, use)
	}
	retryBudget.firstPast++
	return encoded
}

// settled reports whether this instance knows what all have sent to all services.
func (retryBudget *retryBudget) settled() bool {
	for _, service := range retryBudget.services() {
		if !retryBudget.ledger(service).Settled() {
			return false
		}
	}
	return true
}

// tick tells the ledgers that this instance runs.
func (retryBudget *retryBudget) tick() {
	for _, service := range retryBudget.services() {
		retryBudget.ledger(service).Tick()
	}
}

// recordPeerRetries records what another entry instance has sent to services, and what it
// knows of others.
func (relay *Relay) recordPeerRetries(report *wirepb.Usage) {
	incarnation := retry.Incarnation{Instance: report.GetEntry(), Start: report.GetStart()}
	for _, encoded := range report.GetRetries() {
		service, use := codec.DecodeRetryUse(encoded)
		relay.logLearned(service, "usage", report.GetEntry(), use, relay.retryBudget.ledger(service).Merge(incarnation, use))
	}
}

// recallRetries records what a loader has kept of what entry instances have sent.
func (relay *Relay) recallRetries(memory *wirepb.Memory) {
	for _, encoded := range memory.GetRetries() {
		service, use := codec.DecodeRetryUse(encoded)
		relay.logLearned(service, "memory", memory.GetEntry(), use, relay.retryBudget.ledger(service).Recall(use))
	}
}

// logLearned logs what this instance has learned of the past, from which process and by
// which kind of message, and what it knows now.
func (relay *Relay) logLearned(service, message, source string, use retry.Use, learned retry.Learned) {
	if learned == (retry.Learned{}) {
		return
	}
	requests, retries := relay.retryBudget.ledger(service).Total()
	relay.config.Logger.Info("retry: past learned", zap.String("service", service), zap.String("message", message), zap.String("source", source),
		zap.Duration("uptime", time.Since(relay.start)), zap.Int("pasts", len(use.Pasts)), zap.Bool("source-settled", use.Settled),
		zap.Uint64("learned-retries", learned.Retries), zap.Bool("settles", learned.Settled),
		zap.Uint64("all-requests", requests), zap.Uint64("all-retries", retries))
}

// rate returns the rate of the permits for a service's retries.
func (retryBudget *retryBudget) rate(cordon.Incarnation) permit.Rate {
	rate, _, ok := retryBudget.limits().Pool()
	if !ok {
		return permit.Unlimited
	}
	return rate
}

// retryGrant is the leave to send a retry.
type retryGrant struct {
	*retry.Reservation
	allowedAt time.Time
}

// takeRetry reserves one retry, and reports whether there was one left. It waits for a
// permit if the allocator may have one.
func (proxyRequest *proxyRequest) takeRetry(ctx context.Context) bool {
	proxyRequest.releaseRetry()
	reservation := proxyRequest.relay.retryBudget.ledger(proxyRequest.service.Name).Reserve()
	if reservation == nil {
		reservation = proxyRequest.awaitRetryPermit(ctx)
	}
	if reservation == nil {
		proxyRequest.relay.metrics.increment("retry-budget-empty")
		return false
	}
	proxyRequest.retryGrant = &retryGrant{Reservation: reservation, allowedAt: time.Now()}
	return true
}

// releaseRetry gives back a retry that was not sent.
func (proxyRequest *proxyRequest) releaseRetry() {
	if proxyRequest.retryGrant != nil {
		proxyRequest.retryGrant.Release()
		proxyRequest.retryGrant = nil
	}
}

// awaitRetryPermit reserves a retry with a permit, or returns nil if there is none.
func (proxyRequest *proxyRequest) awaitRetryPermit(ctx context.Context) *retry.Reservation {
	relay := proxyRequest.relay
	budget, number := relay.retryBudget, relay.requestNumbers.Add(1)
	pool := cordon.Incarnation{ID: proxyRequest.service.Name}
	ledger, rate := budget.ledger(pool.ID), budget.rate(pool)
	if rate == permit.Unlimited || !ledger.Allows() {
		return nil
	}
	defer budget.client.Forget(number)
	for ctx.Err() == nil {
		changed := relay.stateChanged.next()
		if budget.client.Take(pool) {
			return ledger.ReserveExtra()
		}
		if !budget.client.Admission(pool, rate, number).Pending {
			return nil
		}
		budget.client.Want(pool, number)
		relay.reportSoon()
		awaitChange(ctx, changed, pendingRecheckInterval)
	}
	return nil
}

// countRetry counts the next send if it is a retry, and reports whether it may be sent.
// A retry that has waited too long needs a new place in the budget.
func (proxyRequest *proxyRequest) countRetry(ctx context.Context) bool {
	if proxyRequest.sends == 0 {
		return true
	}
	if !proxyRequest.retryGrant.Send() && (!proxyRequest.takeRetry(ctx) || !proxyRequest.retryGrant.Send()) {
		return false
	}
	paid := "requests"
	if proxyRequest.retryGrant.Extra() {
		paid = "extra"
	}
	proxyRequest.relay.metrics.increment("retries-" + paid)
	requests, retries := proxyRequest.relay.retryBudget.ledger(proxyRequest.service.Name).Total()
	proxyRequest.log("relay: request retried", zap.String("service", proxyRequest.service.Name), zap.String("paid-by", paid),
		zap.Uint64("all-requests", requests), zap.Uint64("all-retries", retries),
		zap.Duration("allowed-for", time.Since(proxyRequest.retryGrant.allowedAt)))
	return true
}

// recordSent counts a send that may have reached its upstream.
func (proxyRequest *proxyRequest) recordSent() {
	if proxyRequest.sends == 0 {
		proxyRequest.relay.retryBudget.ledger(proxyRequest.service.Name).RecordRequest()
		proxyRequest.relay.metrics.increment("sends-first")
	}
	proxyRequest.sends++
}

// recordUnsent records that the last send has reached no upstream.
func (proxyRequest *proxyRequest) recordUnsent() {
	if proxyRequest.sends == 0 {
		return
	}
	proxyRequest.retryGrant.Unsent()
	proxyRequest.relay.metrics.increment("retries-unsent")
}

// retryLimits returns the bounds of the retry budget.
func (relay *Relay) retryLimits() retry.Limits {
	bounds := relay.bounds.Load()
	return retry.Limits{Ratio: float64(bounds.RetryRatio), Extra: float64(bounds.RetryExtra), Window: bounds.RetryWindow.Duration}
}

// updateRetryPools makes this instance allocate the permits of the services for which
// it ranks first, and of no others.
func (relay *Relay) updateRetryPools() {
	budget := relay.retryBudget
	if time.Since(budget.poolsAt) < poolsInterval {
		return
	}
	budget.poolsAt = time.Now()
	rate, burst, ok := budget.limits().Pool()
	config := relay.store.config()
	var pools []permit.Standing
	var services []string
	if config != nil {
		// A ledger of each service, used or not, tells starting instances its past.
		for _, service := range config.Services() {
			budget.ledger(service.Name)
		}
	}
	if ok && config != nil && relay.peersKnown.Load() && time.Since(relay.start) >= allocateRetriesAfter && !relay.isolated() {
		live := relay.peers.live()
		for _, service := range config.Services() {
			if rank.First(retryTask+service.Name, live) == relay.config.DatagramAddress {
				services = append(services, service.Name)
				pools = append(pools, permit.Standing{ID: service.Name, Rate: rate, Burst: burst})
			}
		}
	}
	if !slices.Equal(services, budget.allocates) {
		relay.config.Logger.Info("retry: allocates permits", zap.Strings("services", services), zap.Strings("before", budget.allocates))
	}
	budget.allocates = services
	budget.allocator.SetStanding(pools)
}

// isolated reports whether this instance hears neither most loaders nor most of the
// other entry instances, which then may have removed it.
func (relay *Relay) isolated() bool {
	heard, engines := relay.picker.CountReporting()
	return 2*heard <= engines && 2*len(relay.peers.live()) <= relay.peers.count()
}
