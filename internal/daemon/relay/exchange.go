package relay

import (
	"context"
	"net"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/telem"
	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/flow/picker"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// exchangePeriod is how often other processes are told what changed.
	exchangePeriod = 50 * time.Millisecond
	// idlePeriod is how often they are told although nothing did.
	idlePeriod = 500 * time.Millisecond
	// restPerUpstream and longestRest stretch idlePeriod for loaders of which
	// nothing is needed. Loaders forget an entry instance after
	// lora.DefaultLinger.
	restPerUpstream = 10 * time.Millisecond
	longestRest     = time.Second
	// usagePeriod is the same for the other entry instances, which take an
	// instance for silent after share.DefaultSilence.
	usagePeriod = 150 * time.Millisecond
	// usagePerInstance stretches exchangePeriod, up to usagePeriod, where there
	// are many entry instances to tell.
	usagePerInstance = 3 * time.Millisecond
	// settleTime is how long after a start the loaders have heard of all entry
	// instances that started at the same time.
	settleTime = 120 * time.Millisecond
	// peerTime is how long an entry instance is remembered that no loader names.
	peerTime = 6 * time.Second
)

// kick makes the next exchange happen at once.
func (relay *Relay) kick() {
	select {
	case relay.wake <- struct{}{}:
	default:
	}
}

// exchange tells loaders what is needed and the other entry instances what was
// spent.
func (relay *Relay) exchange(ctx context.Context) {
	ticker := time.NewTicker(exchangePeriod)
	defer ticker.Stop()
	told := make(map[string]told)
	var spent, asked time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-relay.wake:
		}
		relay.tellLoaders(told)
		relay.settle()
		statement := relay.ledger.LocalUsage()
		changed := relay.spending.changed(statement.Spent)
		if time.Since(spent) >= usagePeriod || changed && time.Since(spent) >= usageSpacing(relay.peers.count()) {
			spent = time.Now()
			relay.tellPeers(statement)
		}
		if time.Since(asked) >= askPeriod {
			asked = time.Now()
			relay.askReader()
		}
	}
}

// settle decides what new buckets hold, once loaders have told of the entry
// instances that started at the same time.
func (relay *Relay) settle() {
	if relay.named.Load() && time.Since(relay.start) > settleTime {
		relay.ledger.SetInstances(relay.peers.count())
	}
}

// told is what a loader was told last.
type told struct {
	uses  []lora.AdapterUse
	asks  []admit.Request
	stamp uint64
	at    time.Time
}

// rests reports whether nothing has changed since a loader was told, and it
// need not hear that yet.
func (told told) rests(stamp uint64, upstreams int) bool {
	if stamp != told.stamp || len(told.asks) > 0 {
		return false
	}
	period := idlePeriod
	if len(told.uses) == 0 {
		period = restPeriod(upstreams)
	}
	return time.Since(told.at) < period
}

func (relay *Relay) tellLoaders(last map[string]told) {
	config := relay.belief.current()
	if config == nil {
		return
	}
	typical := make(map[string]*wirepb.Pace)
	upstreams := relay.belief.list.Upstreams()
	for _, upstream := range upstreams {
		known, stamp := last[upstream.ID], relay.board.DemandGeneration(upstream.ID)
		if known.rests(stamp, len(upstreams)) {
			continue
		}
		service, ok := config.Service(upstream.Service)
		if !ok || service.Engine == nil || len(service.Engine.Models) == 0 {
			continue
		}
		uses, asks := relay.board.AdapterDemand(upstream.ID), relay.board.WaitingRequests(upstream.ID)
		period := idlePeriod
		switch {
		case !slices.Equal(asks, known.asks):
			period = 0
		case len(asks) > 0 || !slices.Equal(uses, known.uses):
			period = exchangePeriod
		case len(uses) == 0:
			period = restPeriod(len(upstreams))
		}
		if time.Since(known.at) < period {
			continue
		}
		if typical[upstream.Service] == nil {
			typical[upstream.Service] = codec.EncodePace(relay.board.TypicalSpeed(upstream.Service))
		}
		last[upstream.ID] = told{uses: uses, asks: asks, stamp: stamp, at: time.Now()}
		relay.tell(&wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{
			Entry:            relay.config.DatagramAddress,
			Start:            relay.start.UnixNano(),
			Model:            service.Engine.Models[0].Name,
			AdapterSlots:     uint32(service.Engine.AdapterSlots),
			Uses:             codec.EncodeUses(uses),
			Upstream:         upstream.ID,
			Slots:            uint32(service.Engine.Slots),
			EventTokens:      uint32(service.Engine.EventTokens),
			GapMs:            uint32(config.TargetGap(service.Name).Milliseconds()),
			Asks:             codec.EncodeAsks(asks),
			Born:             upstream.StartedAt,
			FullSerial:       relay.board.FullSerial(upstream.ID),
			PendingElsewhere: uint32(relay.board.PendingElsewhere(upstream.Service, upstream.ID)),
			Readings:         codec.EncodeReadings(relay.board.TakeMeasurements(upstream.ID)),
			Typical:          typical[upstream.Service],
		}}}, relay.loaderAddress(upstream))
	}
}

// restPeriod returns how often loaders of which nothing is needed are told so.
func restPeriod(upstreams int) time.Duration {
	return min(max(idlePeriod, time.Duration(upstreams)*restPerUpstream), longestRest)
}

// loaderAddress returns the datagram address beside an upstream.
func (relay *Relay) loaderAddress(upstream fleet.Upstream) string {
	host, _, err := net.SplitHostPort(upstream.Address)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(int(relay.config.DatagramPort)))
}

// tell sends a datagram to other processes.
func (relay *Relay) tell(datagram *wirepb.Datagram, addresses ...string) {
	relay.config.Datagrams.Send(datagram, addresses, func(address string, err error) {
		relay.metrics.count("datagrams-unsent")
		relay.config.Logger.Debug("relay: datagram not sent", zap.String("address", address), telem.Error(err))
	})
}

// heard takes over a datagram of a loader or another entry instance.
func (relay *Relay) heard(_ string, datagram *wirepb.Datagram) {
	switch body := datagram.GetBody().(type) {
	case *wirepb.Datagram_EngineState:
		relay.heardLoader(body.EngineState)
	case *wirepb.Datagram_Usage:
		relay.heardPeer(body.Usage)
	case *wirepb.Datagram_StoreAsk:
		relay.answerAsk(body.StoreAsk)
	case *wirepb.Datagram_StoreWord:
		relay.heardWord(body.StoreWord)
	}
}

func (relay *Relay) heardLoader(state *wirepb.EngineState) {
	relay.peers.named(state.GetEntries())
	relay.board.SetInstances(relay.peers.count())
	relay.named.Store(true)
	relay.board.RecordReport(state.GetUpstream(), picker.Report{
		Unreachable:      state.GetUnreachable(),
		Unresponsive:     state.GetSilent(),
		Backlog:          state.GetBacklogTokens(),
		Late:             state.GetLateTokens(),
		AdmissionRate:    codec.DecodeRate(state.GetIntake()),
		Speed:            codec.DecodePace(state.GetPace()),
		CacheCapacity:    int(state.GetRecallReach()),
		Dropped:          codec.DecodeAdapters(state.GetDropped()),
		FreeAdapterSlots: int(state.GetFreePlaces()),
		QueuedLoads:      int(state.GetLoadsQueued()),
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
	relay.board.RecordGrants(state.GetUpstream(), state.GetGranted())
	if relay.board.Gone(state.GetUpstream()) {
		relay.abandon(state.GetUpstream())
		relay.readList()
	}
	relay.changed.fire()
}
