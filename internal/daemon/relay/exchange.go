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
	"jacinthfront.dev/jacinthfront/internal/flow/share"
	"jacinthfront.dev/jacinthfront/internal/flow/steer"
	"jacinthfront.dev/jacinthfront/internal/flow/stock"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

const (
	// exchangePeriod is how often other processes are told what changed.
	exchangePeriod = 50 * time.Millisecond
	// idlePeriod is how often they are told although nothing did.
	idlePeriod = 500 * time.Millisecond
	// restPerUpstream and longestRest stretch idlePeriod for loaders of which
	// nothing is needed. Loaders forget an entry instance after
	// stock.DefaultLinger.
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
	// millisecondsPerSecond converts rates between the wire and the board.
	millisecondsPerSecond = 1000
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
		if time.Since(spent) >= usagePeriod || relay.spending.changed(relay.ledger.Statement().Spent) && time.Since(spent) >= usageSpacing(relay.peers.count()) {
			spent = time.Now()
			relay.tellPeers()
		}
		if time.Since(asked) >= askPeriod {
			asked = time.Now()
			relay.askReader()
		}
	}
}

// usageSpacing returns how far apart the other entry instances are told what was
// spent. Where there are many, each spends little in that time.
func usageSpacing(instances int) time.Duration {
	return min(max(exchangePeriod, time.Duration(instances)*usagePerInstance), usagePeriod)
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
	uses  []stock.Use
	asks  []admit.Ask
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
	upstreams, stamps := relay.belief.list.Upstreams(), relay.board.Stamps()
	for _, upstream := range upstreams {
		known, stamp := last[upstream.ID], stamps[upstream.ID]
		if known.rests(stamp, len(upstreams)) {
			continue
		}
		service, ok := config.Service(upstream.Service)
		if !ok || service.Engine == nil || len(service.Engine.Models) == 0 {
			continue
		}
		uses, asks := relay.board.Uses(upstream.ID), relay.board.Asks(upstream.ID)
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
			typical[upstream.Service] = encodePace(relay.board.Typical(upstream.Service))
		}
		last[upstream.ID] = told{uses: uses, asks: asks, stamp: stamp, at: time.Now()}
		relay.tell(relay.loaderAddress(upstream), &wirepb.Datagram{Body: &wirepb.Datagram_Demand{Demand: &wirepb.Demand{
			Entry:            relay.config.Address,
			Start:            relay.start.UnixNano(),
			Model:            service.Engine.Models[0].Name,
			AdapterSlots:     uint32(service.Engine.AdapterSlots),
			Uses:             encodeUses(uses),
			Upstream:         upstream.ID,
			Slots:            uint32(service.Engine.Slots),
			EventTokens:      uint32(service.Engine.EventTokens),
			GapMs:            uint32(config.TargetGap(service.Name).Milliseconds()),
			Asks:             encodeAsks(asks),
			Born:             upstream.Born,
			FullSerial:       relay.board.FullSerial(upstream.ID),
			PendingElsewhere: uint32(relay.board.Coming(upstream.Service, upstream.ID)),
			Readings:         encodeReadings(relay.board.TakeReadings(upstream.ID)),
			Typical:          typical[upstream.Service],
		}}})
	}
}

// restPeriod returns how often loaders of which nothing is needed are told so.
func restPeriod(upstreams int) time.Duration {
	return min(max(idlePeriod, time.Duration(upstreams)*restPerUpstream), longestRest)
}

func encodeUses(uses []stock.Use) []*wirepb.AdapterUse {
	encoded := make([]*wirepb.AdapterUse, 0, len(uses))
	for _, use := range uses {
		encoded = append(encoded, &wirepb.AdapterUse{
			Adapter: use.Adapter.Name, Version: use.Adapter.Version,
			Running: uint32(use.Running), Waiting: uint32(use.Waiting),
		})
	}
	return encoded
}

func encodeAsks(asks []admit.Ask) []*wirepb.Ask {
	encoded := make([]*wirepb.Ask, 0, len(asks))
	for _, ask := range asks {
		encoded = append(encoded, &wirepb.Ask{
			Id: ask.ID, Adapter: ask.Adapter.Name, Version: ask.Adapter.Version,
			PromptTokens: ask.Prompt, OutputTokens: ask.Output, Priority: uint32(max(ask.Priority, 0)),
		})
	}
	return encoded
}

func encodePace(pace admit.Pace) *wirepb.Pace {
	return &wirepb.Pace{
		ReadRate: uint32(pace.ReadRate * millisecondsPerSecond),
		EventUs:  uint32(pace.Event.Microseconds()),
	}
}

func decodePace(encoded *wirepb.Pace) admit.Pace {
	return admit.Pace{
		ReadRate: float64(encoded.GetReadRate()) / millisecondsPerSecond,
		Event:    time.Duration(encoded.GetEventUs()) * time.Microsecond,
	}
}

func encodeReadings(readings []admit.Reading) []*wirepb.Reading {
	encoded := make([]*wirepb.Reading, 0, len(readings))
	for _, reading := range readings {
		encoded = append(encoded, &wirepb.Reading{
			Ask: reading.Ask, FirstUs: uint32(reading.First.Microseconds()), PauseUs: uint32(reading.Pause.Microseconds()),
		})
	}
	return encoded
}

// loaderAddress returns the datagram address beside an upstream.
func (relay *Relay) loaderAddress(upstream fleet.Upstream) string {
	host, _, err := net.SplitHostPort(upstream.Address)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(int(relay.config.Port)))
}

func (relay *Relay) tell(address string, datagram *wirepb.Datagram) {
	if err := relay.config.Datagrams.Send(address, datagram); err != nil {
		relay.metrics.count("datagrams-unsent")
		relay.config.Logger.Debug("relay: datagram not sent", zap.String("address", address), telem.Error(err))
	}
}

// tellPeers tells the other entry instances what was spent: all that changed
// lately, and from time to time all.
func (relay *Relay) tellPeers() {
	statement := relay.ledger.Statement()
	whole := relay.usage(statement, nil)
	partial := relay.usage(statement, relay.spending.recent())
	heard, engines := relay.board.Heard()
	addresses, gone := relay.peers.addresses(2*heard > engines)
	for _, address := range gone {
		relay.ledger.Gone(address)
		relay.config.Logger.Info("relay: entry instance is gone", zap.String("address", address))
	}
	for _, address := range addresses {
		usage := partial
		if relay.peers.takeWhole(address) {
			usage = whole
		}
		relay.tell(address, &wirepb.Datagram{Body: &wirepb.Datagram_Usage{Usage: usage}})
	}
}

// usage encodes a statement, or the part of it that concerns some organisations.
func (relay *Relay) usage(statement share.Statement, only map[string]bool) *wirepb.Usage {
	usage := &wirepb.Usage{
		Entry: relay.config.Address, Start: relay.start.UnixNano(), FailureDomain: relay.config.FailureDomain,
		UptimeMs: statement.Uptime.Milliseconds(), Settled: statement.Settled, Partial: only != nil,
	}
	for organisation, spent := range statement.Spent {
		if only != nil && !only[organisation] {
			continue
		}
		usage.Organisations = append(usage.Organisations, &wirepb.OrganisationUse{
			Organisation: organisation, Spent: spent, Level: statement.Levels[organisation],
		})
	}
	return usage
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
	relay.board.Reported(state.GetUpstream(), steer.Report{
		Unreachable: state.GetUnreachable(),
		Silent:      state.GetSilent(),
		Backlog:     state.GetBacklogTokens(),
		Intake:      float64(state.GetIntake()) / millisecondsPerSecond,
		Pace:        decodePace(state.GetPace()),
		Reach:       int(state.GetRecallReach()),
		Dropped:     decodeAdapters(state.GetDropped()),
		FreePlaces:  int(state.GetFreePlaces()),
		Loads:       int(state.GetLoadsQueued()),
		Brief:       state.GetBrief(),
		FullSerial:  state.GetFullSerial(),
		Born:        state.GetBorn(),
		Serial:      state.GetSerial(),
		Running:     int(state.GetRunning()),
		Queued:      int(state.GetQueued()),
		UsedTokens:  state.GetUsedTokens(),
		TotalTokens: state.GetTotalTokens(),
		ModelLoaded: state.GetModelLoaded(),
		Draining:    state.GetDraining(),
		Resident:    decodeAdapters(state.GetResident()),
		Pending:     decodeAdapters(state.GetPending()),
	})
	relay.board.Granted(state.GetUpstream(), state.GetGranted())
	if relay.board.Lost(state.GetUpstream()) {
		relay.abandon(state.GetUpstream())
		relay.readList()
	}
	relay.changed.fire()
}

func decodeAdapters(encoded []*wirepb.AdapterVersion) []stock.Adapter {
	adapters := make([]stock.Adapter, 0, len(encoded))
	for _, adapter := range encoded {
		adapters = append(adapters, stock.Adapter{Name: adapter.GetAdapter(), Version: adapter.GetVersion()})
	}
	return adapters
}

func (relay *Relay) heardPeer(usage *wirepb.Usage) {
	statement := share.Statement{
		Partial: usage.GetPartial(),
		Start:   usage.GetStart(), Uptime: time.Duration(usage.GetUptimeMs()) * time.Millisecond, Settled: usage.GetSettled(),
		Spent: make(map[string]float64), Levels: make(map[string]float64),
	}
	for _, organisation := range usage.GetOrganisations() {
		statement.Spent[organisation.GetOrganisation()] = organisation.GetSpent()
		if statement.Settled {
			statement.Levels[organisation.GetOrganisation()] = organisation.GetLevel()
		}
	}
	relay.peers.spoke(usage.GetEntry(), usage.GetFailureDomain(), usage.GetStart())
	relay.ledger.Heard(usage.GetEntry(), statement)
}
