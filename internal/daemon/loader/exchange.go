package loader

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/base/telem"
	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/stock"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// heard takes over what an entry instance asks for.
func (loader *Loader) heard(_ string, datagram *wirepb.Datagram) {
	demand := datagram.GetDemand()
	if demand == nil || !loader.meant(demand) {
		return
	}
	loader.meet(demand.GetEntry(), demand.GetStart(), demand.GetFullSerial())
	loader.planner.Demand(decodeDemand(demand))
	loader.gate.Replace(demand.GetEntry(), admit.Shape{
		Slots:       int(demand.GetSlots()),
		EventTokens: int(demand.GetEventTokens()),
		Gap:         time.Duration(demand.GetGapMs()) * time.Millisecond,
		Typical:     decodePace(demand.GetTypical()),
	}, decodeAsks(demand.GetAsks()))
	loader.gate.Measured(demand.GetEntry(), decodeReadings(demand.GetReadings()))
	wake(loader.turns)
	for _, use := range demand.GetUses() {
		if use.GetWaiting() > 0 {
			wake(loader.orders)
			return
		}
	}
}

// meet notes the last full state that an entry instance has. It has all told
// soon when an entry instance has started, so that it learns what the engine
// holds, and the others that it is there.
func (loader *Loader) meet(entry string, start int64, full uint64) {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	if loader.starts[entry] == start {
		last := loader.tellings[entry]
		last.has = full
		loader.tellings[entry] = last
		return
	}
	loader.starts[entry] = start
	loader.greet = true
	delete(loader.tellings, entry)
	wake(loader.orders)
}

// meant reports whether a demand is for the present start of the engine. One
// address may be listed under several ids after a restart.
func (loader *Loader) meant(demand *wirepb.Demand) bool {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	if demand.GetBorn() != 0 && demand.GetBorn() < loader.report.Born {
		return false
	}
	loader.listed = demand.GetUpstream()
	return true
}

func decodeDemand(demand *wirepb.Demand) stock.Demand {
	decoded := stock.Demand{
		Entry: demand.GetEntry(), Model: demand.GetModel(),
		Slots: int(demand.GetAdapterSlots()), Elsewhere: int(demand.GetPendingElsewhere()),
	}
	for _, use := range demand.GetUses() {
		decoded.Uses = append(decoded.Uses, stock.Use{
			Adapter: stock.Adapter{Name: use.GetAdapter(), Version: use.GetVersion()},
			Running: int(use.GetRunning()), Waiting: int(use.GetWaiting()),
		})
	}
	return decoded
}

func decodeAsks(encoded []*wirepb.Ask) []admit.Ask {
	asks := make([]admit.Ask, 0, len(encoded))
	for _, ask := range encoded {
		asks = append(asks, admit.Ask{
			ID: ask.GetId(), Adapter: stock.Adapter{Name: ask.GetAdapter(), Version: ask.GetVersion()},
			Prompt: ask.GetPromptTokens(), Output: ask.GetOutputTokens(), Priority: int(ask.GetPriority()),
		})
	}
	return asks
}

func decodePace(encoded *wirepb.Pace) admit.Pace {
	return admit.Pace{
		ReadRate: float64(encoded.GetReadRate()) / millisecondsPerSecond,
		Event:    time.Duration(encoded.GetEventUs()) * time.Microsecond,
	}
}

func encodePace(pace admit.Pace) *wirepb.Pace {
	return &wirepb.Pace{
		ReadRate: uint32(pace.ReadRate * millisecondsPerSecond),
		EventUs:  uint32(pace.Event.Microseconds()),
	}
}

func decodeReadings(encoded []*wirepb.Reading) []admit.Reading {
	readings := make([]admit.Reading, 0, len(encoded))
	for _, reading := range encoded {
		readings = append(readings, admit.Reading{
			Ask:   reading.GetAsk(),
			First: time.Duration(reading.GetFirstUs()) * time.Microsecond,
			Pause: time.Duration(reading.GetPauseUs()) * time.Microsecond,
		})
	}
	return readings
}

// tellChanges tells all entry instances what changed, at once if it concerns
// adapters or the engine's life, else from time to time.
func (loader *Loader) tellChanges() {
	loader.mutex.Lock()
	since, idle := time.Since(loader.told), time.Since(loader.toldAny)
	held := !sameHeld(loader.sent, loader.report) || loader.misses == lostReports || loader.greet
	loaded := loader.report.Running != loader.sent.Running || loader.report.Queued != loader.sent.Queued
	loader.mutex.Unlock()
	if held || loaded && idle >= tellPeriod || idle >= idlePeriod {
		granted, _ := loader.gate.Grant()
		loader.tell(granted, held || since >= fullPeriod)
	}
}

// sameHeld reports whether two reports name the same adapters and state.
func sameHeld(a, b Report) bool {
	return a.Born == b.Born && a.Draining == b.Draining && slices.Equal(a.Models, b.Models) &&
		slices.Equal(a.Resident, b.Resident) && slices.Equal(a.Pending, b.Pending)
}

// tell sends the engine's state, and what was granted, to the entry instances.
// Those that ask nothing of the engine at present are told less often where
// there are many. Only a full state names the adapters; an entry instance that
// was not told the last one gets it with the next state.
func (loader *Loader) tell(granted map[string][]uint64, full bool) {
	entries := loader.planner.Entries()
	brief := loader.state(full, entries)
	if brief == nil {
		return
	}
	var whole *wirepb.EngineState
	for _, address := range entries {
		informed, due := loader.due(address, len(entries), len(granted[address]) > 0, brief.GetFullSerial())
		if !due {
			continue
		}
		if informed != toldLast && whole == nil {
			whole = loader.whole(brief, entries)
		}
		state := brief
		switch informed {
		case toldBefore:
			state = whole
		case toldNothing:
			state = proto.CloneOf(whole)
			dropped, _ := loader.planner.Dropped()
			state.Dropped = encodeAdapters(dropped)
		}
		state.Granted = granted[address]
		datagram := &wirepb.Datagram{Body: &wirepb.Datagram_EngineState{EngineState: state}}
		if err := loader.config.Datagrams.Send(address, datagram); err != nil {
			loader.config.Logger.Debug("loader: datagram not sent", zap.String("address", address), telem.Error(err))
		}
	}
}

// informed is how much an entry instance was told.
type informed uint8

const (
	toldNothing informed = iota
	// toldBefore means a full state that is not the last one.
	toldBefore
	toldLast
)

// telling is what an entry instance was told last.
type telling struct {
	at time.Time
	// full is the serial of the full state, which was sent at fullAt, and has
	// the one that it said it had.
	full   uint64
	fullAt time.Time
	has    uint64
}

// due reports whether an entry instance is to be told now, and what it was told
// before. If it is due it counts as told.
func (loader *Loader) due(entry string, entries int, granted bool, full uint64) (told informed, due bool) {
	pause := min(time.Duration(max(entries-promptEntries, 0))*pausePerEntry, longestPause)
	waits := granted || loader.gate.Waits(entry)
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	last := loader.tellings[entry]
	now := time.Now()
	if !waits && now.Sub(last.at) < pause {
		return toldNothing, false
	}
	isLast := last.full == full && (last.has == full || now.Sub(last.fullAt) < acknowledgeTime)
	told = toldBefore
	switch {
	case last.full == 0:
		told = toldNothing
	case isLast:
		told = toldLast
	}
	if told != toldLast {
		last.full, last.fullAt = full, now
	}
	last.at = now
	loader.tellings[entry] = last
	return told, true
}

// state returns what the entry instances are told, or nil if there is nothing
// to tell yet.
func (loader *Loader) state(full bool, entries []string) *wirepb.EngineState {
	backlog, free := loader.gate.Backlog(), loader.planner.Free()
	pace, intake := loader.gate.Pace(), loader.gate.Intake()
	_, reach := loader.planner.Dropped()
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	report := loader.report
	if loader.listed == "" || report.Born == 0 && loader.misses == 0 {
		return nil
	}
	loader.serial++
	state := &wirepb.EngineState{
		Upstream: loader.listed, Born: report.Born, Serial: loader.serial,
		Running: uint32(report.Running), Queued: uint32(report.Queued),
		UsedTokens: report.UsedTokens, TotalTokens: report.TotalTokens,
		ModelLoaded: len(report.Models) > 0, Draining: report.Draining,
		Unreachable:   loader.misses >= lostReports,
		Silent:        loader.misses >= lostReports && loader.silent,
		BacklogTokens: backlog, FreePlaces: uint32(free), LoadsQueued: uint32(loader.planner.Queue()),
		Brief: true, Pace: encodePace(pace), Intake: uint32(intake * millisecondsPerSecond),
		RecallReach: uint32(reach),
	}
	loader.toldAny = time.Now()
	if full {
		loader.told, loader.sent, loader.full = time.Now(), report, loader.serial
		loader.greet = false
		maps.DeleteFunc(loader.starts, func(entry string, _ int64) bool { return !slices.Contains(entries, entry) })
		maps.DeleteFunc(loader.tellings, func(entry string, _ telling) bool { return !slices.Contains(entries, entry) })
	}
	state.FullSerial = loader.full
	return state
}

// whole returns the state with the adapters that the last full one named.
func (loader *Loader) whole(brief *wirepb.EngineState, entries []string) *wirepb.EngineState {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	whole := proto.CloneOf(brief)
	whole.Brief, whole.Entries = false, loader.some(entries)
	whole.Resident, whole.Pending = encodeAdapters(loader.sent.Resident), encodeAdapters(loader.sent.Pending)
	return whole
}

// some returns up to mostNamed of the entry instances, others with each call,
// since all loaders together name each one often.
func (loader *Loader) some(entries []string) []string {
	if len(entries) <= mostNamed {
		return entries
	}
	named := make([]string, 0, mostNamed)
	for range mostNamed {
		named = append(named, entries[loader.name%len(entries)])
		loader.name++
	}
	return named
}

func encodeAdapters(adapters []stock.Adapter) []*wirepb.AdapterVersion {
	encoded := make([]*wirepb.AdapterVersion, 0, len(adapters))
	for _, adapter := range adapters {
		encoded = append(encoded, &wirepb.AdapterVersion{Adapter: adapter.Name, Version: adapter.Version})
	}
	return encoded
}
