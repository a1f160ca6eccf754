package loader

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

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
	loader.meet(demand.GetEntry(), demand.GetStart())
	loader.planner.Demand(decodeDemand(demand))
	loader.gate.Replace(demand.GetEntry(), admit.Shape{
		Slots:       int(demand.GetSlots()),
		EventTokens: int(demand.GetEventTokens()),
		Gap:         time.Duration(demand.GetGapMs()) * time.Millisecond,
	}, decodeAsks(demand.GetAsks()))
	wake(loader.turns)
	for _, use := range demand.GetUses() {
		if use.GetWaiting() > 0 {
			wake(loader.orders)
			return
		}
	}
}

// meet has all told soon when an entry instance has started, so that it learns
// what the engine holds, and the others that it is there.
func (loader *Loader) meet(entry string, start int64) {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	if loader.starts[entry] == start {
		return
	}
	loader.starts[entry] = start
	loader.greet = true
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

// tellChanges tells all entry instances what changed, at once if it concerns
// adapters or the engine's life, else from time to time.
func (loader *Loader) tellChanges() {
	loader.mutex.Lock()
	since := time.Since(loader.told)
	held := !sameHeld(loader.sent, loader.report) || loader.misses == lostReports || loader.greet
	loaded := loader.report.Running != loader.sent.Running || loader.report.Queued != loader.sent.Queued
	loader.mutex.Unlock()
	if held || loaded && since >= tellPeriod || since >= idlePeriod {
		granted, _ := loader.gate.Grant()
		loader.tell(granted, held || since >= idlePeriod)
	}
}

// sameHeld reports whether two reports name the same adapters and state.
func sameHeld(a, b Report) bool {
	return a.Born == b.Born && a.Draining == b.Draining && slices.Equal(a.Models, b.Models) &&
		slices.Equal(a.Resident, b.Resident) && slices.Equal(a.Pending, b.Pending)
}

// tell sends the engine's state, and what was granted, to the entry instances.
// Only a full state names the adapters.
func (loader *Loader) tell(granted map[string][]uint64, full bool) {
	entries := loader.planner.Entries()
	state := loader.state(full, entries)
	if state == nil {
		return
	}
	for _, address := range entries {
		state.Granted = granted[address]
		datagram := &wirepb.Datagram{Body: &wirepb.Datagram_EngineState{EngineState: state}}
		if err := loader.config.Datagrams.Send(address, datagram); err != nil {
			loader.config.Logger.Debug("loader: datagram not sent", zap.String("address", address), telem.Error(err))
		}
	}
}

// state returns what the entry instances are told, or nil if there is nothing
// to tell yet.
func (loader *Loader) state(full bool, entries []string) *wirepb.EngineState {
	backlog, free := loader.gate.Backlog(), loader.planner.Free()
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
	}
	if full {
		loader.told, loader.sent, loader.full = time.Now(), report, loader.serial
		loader.greet = false
		maps.DeleteFunc(loader.starts, func(entry string, _ int64) bool { return !slices.Contains(entries, entry) })
		state.Resident, state.Pending, state.Entries = encodeAdapters(report.Resident), encodeAdapters(report.Pending), entries
	}
	state.Brief, state.FullSerial = !full, loader.full
	return state
}

func encodeAdapters(adapters []stock.Adapter) []*wirepb.AdapterVersion {
	encoded := make([]*wirepb.AdapterVersion, 0, len(adapters))
	for _, adapter := range adapters {
		encoded = append(encoded, &wirepb.AdapterVersion{Adapter: adapter.Name, Version: adapter.Version})
	}
	return encoded
}
