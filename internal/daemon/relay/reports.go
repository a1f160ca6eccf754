package relay

import (
	"context"
	"net"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/clock"
	"jacinthfront.dev/jacinthfront/internal/base/logs"
	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/flow/retry"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// reportInterval is the time between two reports of changes to other processes.
	reportInterval = 50 * time.Millisecond
	// idleReportInterval is the time between two demand reports to a loader if nothing
	// changed.
	idleReportInterval = 500 * time.Millisecond
	// idleIntervalPerUpstream and maxIdleInterval lengthen idleReportInterval, by the
	// number of upstreams, for loaders whose upstreams are not in demand. Loaders
	// forget an entry instance after lora.DefaultDemandTimeout.
	idleIntervalPerUpstream = 10 * time.Millisecond
	maxIdleInterval         = time.Second
	// maxUsageInterval is the longest time between two usage reports to the other entry
	// instances, which treat an instance as silent after bucket.DefaultPeerTimeout.
	maxUsageInterval = 150 * time.Millisecond
	// usageIntervalPerInstance lengthens reportInterval, up to maxUsageInterval, by the
	// number of entry instances.
	usageIntervalPerInstance = 3 * time.Millisecond
	// peerDiscoveryTime is how long after a start it takes until the loaders have heard
	// from all entry instances that started at the same time.
	peerDiscoveryTime = 120 * time.Millisecond
	// peerTimeout is how long an entry instance is remembered after it last sent a usage
	// report or was listed by a loader.
	peerTimeout = 6 * time.Second
)

// reportSoon makes sendReports send its next reports at once.
func (relay *Relay) reportSoon() {
	select {
	case relay.wake <- struct{}{}:
	default:
	}
}

// sendReports reports demand to the loaders and usage to the other entry instances,
// exchanges permits and queries the store reader, until ctx ends.
func (relay *Relay) sendReports(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	lastSent := make(map[string]sentDemand)
	var usageSentAt, queriedAt, memorySentAt time.Time
	steps := clock.NewStepDetector()
	for tickedAt := time.Now(); ; tickedAt = time.Now() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-relay.wake:
		}
		if stalled := time.Since(tickedAt); stalled >= retry.StallTime {
			relay.config.Logger.Warn("relay: process was stopped", zap.Duration("for", stalled))
			relay.limiter.Stall()
		}
		if step := steps.Check(); step != 0 {
			relay.metrics.increment("clock-steps")
			relay.config.Logger.Warn("clock: time of day stepped", zap.Duration("by", step))
		}
		relay.retryBudget.tick()
		relay.reportDemand(lastSent)
		relay.exchangePermits()
		relay.initialiseBuckets()
		relay.tellReturned()
		usage := relay.limiter.LocalUsage()
		changed := relay.usageChanges.update(usage.Spent)
		changed = relay.retryBudget.updateChanges() || relay.origins.hasUntold() || changed
		if relay.usageUrgent.Swap(false) || time.Since(usageSentAt) >= maxUsageInterval || changed && time.Since(usageSentAt) >= usageInterval(relay.peers.count()) {
			usageSentAt = time.Now()
			relay.reportUsage(usage)
		}
		memorySentAt = relay.reportMemory(memorySentAt)
		if time.Since(queriedAt) >= queryInterval {
			queriedAt = time.Now()
			relay.queryReader()
		}
	}
}

// initialiseBuckets tells the limiter the number of entry instances, from which it
// decides the initial level of token buckets. It waits until loaders have listed
// the entry instances that started at the same time.
func (relay *Relay) initialiseBuckets() {
	if relay.peersKnown.Load() && time.Since(relay.start) > peerDiscoveryTime {
		relay.limiter.SetInstances(relay.peers.count())
	}
}

// sentDemand is the demand that was last reported to a loader.
type sentDemand struct {
	adapters   []lora.AdapterUse
	requests   []admit.Request
	generation uint64
	at         time.Time
}

// upToDate reports whether nothing has changed since the demand was reported, and
// it need not be repeated yet.
func (sentDemand sentDemand) upToDate(generation uint64, upstreams int) bool {
	if generation != sentDemand.generation || len(sentDemand.requests) > 0 {
		return false
	}
	period := idleReportInterval
	if len(sentDemand.adapters) == 0 {
		period = idleInterval(upstreams)
	}
	return time.Since(sentDemand.at) < period
}

// reportDemand reports to each loader the adapters in demand and the waiting
// requests at its upstream, if they changed or must be reported again.
func (relay *Relay) reportDemand(lastSent map[string]sentDemand) {
	config := relay.store.config()
	if config == nil {
		return
	}
	typicalSpeeds := make(map[string]*wirepb.Pace)
	upstreams := relay.store.instances.Upstreams()
	for _, upstream := range upstreams {
		sent, generation := lastSent[upstream.ID], relay.picker.DemandGeneration(upstream.ID)
		if sent.upToDate(generation, len(upstreams)) {
			continue
		}
		service, ok := config.Service(upstream.Service)
		if !ok || service.Engine == nil || len(service.Engine.Models) == 0 {
			continue
		}
		adapters, requests := relay.picker.AdapterDemand(upstream.ID), relay.picker.WaitingRequests(upstream.ID)
		period := idleReportInterval
		switch {
		case !slices.Equal(requests, sent.requests):
			period = 0
		case len(requests) > 0 || !slices.Equal(adapters, sent.adapters) || relay.picker.FactorChanged(upstream.ID):
			period = reportInterval
		case len(adapters) == 0:
			period = idleInterval(len(upstreams))
		}
		if time.Since(sent.at) < period {
			continue
		}
		if typicalSpeeds[upstream.Service] == nil {
			typicalSpeeds[upstream.Service] = codec.EncodeSpeed(relay.picker.TypicalSpeed(upstream.Service))
		}
		coldLimit, sentMicroseconds := relay.encodeColdLimit(upstream)
		streams := relay.picker.TakeStreams(upstream.ID)
		lastSent[upstream.ID] = sentDemand{adapters: adapters, requests: requests, generation: generation, at: time.Now()}
		relay.sendDatagram(&wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{
			Entry:            relay.config.DatagramAddress,
			Start:            relay.identity,
			Model:            service.Engine.Models[0].Name,
			AdapterSlots:     uint32(service.Engine.AdapterSlots),
			Uses:             codec.EncodeAdapterUses(adapters),
			Upstream:         upstream.ID,
			Slots:            uint32(service.Engine.Slots),
			EventTokens:      uint32(service.Engine.EventTokens),
			GapMs:            uint32(config.ShortestEventGapGoal(service.Name).Milliseconds()),
			Asks:             codec.EncodeRequests(requests),
			Born:             upstream.StartedAt,
			FullSerial:       relay.picker.FullSerial(upstream.ID),
			PendingElsewhere: uint32(relay.picker.PendingElsewhere(upstream.Service, upstream.ID)),
			Readings:         codec.EncodeMeasurements(relay.picker.TakeMeasurements(upstream.ID)),
			Typical:          typicalSpeeds[upstream.Service],
			Cold:             coldLimit,
			SentUs:           sentMicroseconds,
			Streams:          uint32(streams.Streams),
			PausedStreams:    uint32(streams.Paused),
			FencingOffset:    relay.fencingOffsets.encode(upstream),
		}}}, relay.loaderAddress(upstream))
	}
}

// idleInterval returns the time between two demand reports to a loader whose
// upstream is not in demand.
func idleInterval(upstreams int) time.Duration {
	return min(max(idleReportInterval, time.Duration(upstreams)*idleIntervalPerUpstream), maxIdleInterval)
}

// loaderAddress returns the datagram address of the loader beside an upstream.
func (relay *Relay) loaderAddress(upstream fleet.Upstream) string {
	host, _, err := net.SplitHostPort(upstream.Address)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(int(relay.config.DatagramPort)))
}

// sendDatagram sends a datagram to each of the addresses.
func (relay *Relay) sendDatagram(datagram *wirepb.Datagram, addresses ...string) {
	relay.config.Datagrams.Send(datagram, addresses, func(address string, err error) {
		relay.metrics.increment("datagrams-unsent")
		relay.config.Logger.Debug("relay: datagram not sent", zap.String("address", address), logs.ErrorField(err))
	})
}

// handleDatagram processes a datagram of a loader or another entry instance.
func (relay *Relay) handleDatagram(source string, datagram *wirepb.Datagram) {
	switch body := datagram.GetBody().(type) {
	case *wirepb.Datagram_EngineState:
		relay.handleEngineState(source, body.EngineState)
	case *wirepb.Datagram_Usage:
		relay.handleUsage(body.Usage)
	case *wirepb.Datagram_StoreAsk:
		relay.handleStoreAsk(body.StoreAsk)
	case *wirepb.Datagram_StoreWord:
		relay.handleStoreWord(body.StoreWord)
	case *wirepb.Datagram_PermitAsks:
		relay.handlePermitAsks(body.PermitAsks)
	case *wirepb.Datagram_PermitGrants:
		relay.handlePermitGrants(body.PermitGrants)
	case *wirepb.Datagram_Memory:
		relay.handleMemory(body.Memory)
	case *wirepb.Datagram_StreamOrigins:
		relay.keepCopies(body.StreamOrigins.GetStreams())
	case *wirepb.Datagram_OriginAsk:
		relay.handleOriginAsk(body.OriginAsk)
	case *wirepb.Datagram_OriginAnswer:
		relay.handleOriginAnswer(source, body.OriginAnswer)
	case *wirepb.Datagram_IncarnationAnswer:
		relay.handleIncarnationAnswer(body.IncarnationAnswer)
	}
}

// handleEngineState processes a loader's report on its engine.
func (relay *Relay) handleEngineState(source string, state *wirepb.EngineState) {
	relay.recordLoaderStart(source, state.GetLoaderStart())
	relay.fencingOffsets.record(state)
	relay.peers.recordListed(state.GetEntries())
	relay.picker.SetInstances(relay.peers.count())
	relay.peersKnown.Store(true)
	relay.picker.RecordReport(state.GetUpstream(), picker.Report{
		Unreachable:      state.GetUnreachable(),
		Unresponsive:     state.GetSilent(),
		Backlog:          state.GetBacklogTokens(),
		Late:             state.GetLateTokens(),
		Waiting:          codec.DecodeWaiting(state),
		AdmissionRate:    codec.DecodeTokenRate(state.GetIntake()),
		Speed:            codec.DecodeSpeed(state.GetPace()),
		Work:             codec.DecodeWork(state.GetWork()),
		PauseRisk:        codec.DecodePerMille(state.GetPauseRiskPermille()),
		LastingPauseRisk: codec.DecodePerMille(state.GetLastingPauseRiskPermille()),
		CacheCapacity:    int(state.GetRecallReach()),
		Evicted:          codec.DecodeAdapters(state.GetDropped()),
		FreeAdapterSlots: int(state.GetFreePlaces()),
		QueuedLoads:      int(state.GetLoadsQueued()),
		BoundWaiting:     int(state.GetBoundWaiting()),
		WaitingRequests:  int(state.GetWaiting()),
		OmitsAdapters:    state.GetBrief(),
		FullSerial:       state.GetFullSerial(),
		StartedAt:        state.GetBorn(),
		Serial:           state.GetSerial(),
		Running:          int(state.GetRunning()),
		Queued:           int(state.GetQueued()),
		UsedTokens:       state.GetUsedTokens(),
		TotalTokens:      state.GetTotalTokens(),
		ModelLoaded:      state.GetModelLoaded(),
		Draining:         state.GetDraining(),
		Resident:         codec.DecodeAdapters(state.GetResident()),
		Pending:          codec.DecodeAdapters(state.GetPending()),
	})
	relay.confirmCrash(state.GetUpstream())
	relay.recordGrants(state)
	if relay.picker.Gone(state.GetUpstream()) {
		relay.cancelSends(state.GetUpstream())
		relay.readInstancesSoon()
	}
	relay.stateChanged.notify()
}
