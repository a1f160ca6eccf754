package loader

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/base/telem"
	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// heard takes over what an entry instance asks for.
func (loader *Loader) heard(_ string, datagram *wirepb.Datagram) {
	demand := datagram.GetDemand()
	if demand == nil || !loader.meant(demand) {
		return
	}
	loader.meet(demand.GetEntry(), demand.GetStart(), demand.GetFullSerial())
	loader.planner.SetDemand(decodeDemand(demand))
	loader.gate.SetRequests(demand.GetEntry(), admit.EngineConfig{
		Slots:        int(demand.GetSlots()),
		EventTokens:  int(demand.GetEventTokens()),
		MaxEventGap:  time.Duration(demand.GetGapMs()) * time.Millisecond,
		TypicalSpeed: codec.DecodePace(demand.GetTypical()),
	}, codec.DecodeAsks(demand.GetAsks()))
	loader.gate.RecordMeasurements(demand.GetEntry(), codec.DecodeReadings(demand.GetReadings()))
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
	if demand.GetBorn() != 0 && demand.GetBorn() < loader.report.StartedAt {
		return false
	}
	loader.listed = demand.GetUpstream()
	loader.listedBorn = max(loader.listedBorn, demand.GetBorn())
	return true
}

func decodeDemand(demand *wirepb.Demand) lora.Demand {
	return lora.Demand{
		Entry: demand.GetEntry(), Model: demand.GetModel(), Uses: codec.DecodeUses(demand.GetUses()),
		Slots: int(demand.GetAdapterSlots()), PendingElsewhere: int(demand.GetPendingElsewhere()),
	}
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
	return a.StartedAt == b.StartedAt && a.Draining == b.Draining && slices.Equal(a.Models, b.Models) &&
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
			state.Dropped = codec.EncodeAdapters(loader.planner.Evicted())
		}
		state.Granted = granted[address]
		datagram := &wirepb.Datagram{Body: &wirepb.Datagram_EngineState{EngineState: state}}
		loader.config.Datagrams.Send(datagram, []string{address}, loader.unsent)
	}
}

func (loader *Loader) unsent(address string, err error) {
	loader.config.Logger.Debug("loader: datagram not sent", zap.String("address", address), telem.Error(err))
}

// state returns what the entry instances are told, or nil if there is nothing
// to tell yet.
func (loader *Loader) state(full bool, entries []string) *wirepb.EngineState {
	backlog, late := loader.gate.Backlog()
	free := loader.planner.FreeSlots()
	pace, intake := loader.gate.Speed(), loader.gate.AdmissionRate()
	reach := loader.planner.CacheCapacity()
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	report := loader.report
	if loader.listed == "" || report.StartedAt == 0 && loader.misses == 0 {
		return nil
	}
	loader.serial++
	state := &wirepb.EngineState{
		Upstream: loader.listed, Born: report.StartedAt, Serial: loader.serial,
		Running: uint32(report.Running), Queued: uint32(report.Queued),
		UsedTokens: report.UsedTokens, TotalTokens: report.TotalTokens,
		ModelLoaded: len(report.Models) > 0, Draining: report.Draining,
		Unreachable:   loader.misses >= lostReports,
		Silent:        loader.misses >= lostReports && loader.silent,
		BacklogTokens: backlog, LateTokens: late, FreePlaces: uint32(free), LoadsQueued: uint32(loader.planner.QueuedLoads()),
		Brief: true, Pace: codec.EncodePace(pace), Intake: codec.EncodeRate(intake),
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
	whole.Resident, whole.Pending = codec.EncodeAdapters(loader.sent.Resident), codec.EncodeAdapters(loader.sent.Pending)
	return whole
}
