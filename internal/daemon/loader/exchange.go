package loader

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"jacinthfront.dev/jacinthfront/internal/base/logs"
	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/fence"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/flow/speed"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// handleDatagram handles a datagram of an entry instance.
func (loader *Loader) handleDatagram(_ string, datagram *wirepb.Datagram) {
	switch body := datagram.GetBody().(type) {
	case *wirepb.Datagram_Demand:
		loader.handleDemand(body.Demand)
	case *wirepb.Datagram_Memory:
		loader.keepMemory(body.Memory)
	case *wirepb.Datagram_StreamOrigins:
		loader.keepOrigins(body.StreamOrigins)
	case *wirepb.Datagram_OriginAsk:
		loader.answerOrigins(body.OriginAsk)
	case *wirepb.Datagram_IncarnationAsk:
		loader.recordIncarnationAsk(body.IncarnationAsk)
	}
}

// handleDemand handles a demand of an entry instance.
func (loader *Loader) handleDemand(demand *wirepb.Demand) {
	if !loader.acceptDemand(demand) {
		return
	}
	if loader.recordEntry(demand.GetEntry(), demand.GetStart(), demand.GetFullSerial()) {
		loader.sendMemories(demand.GetEntry())
	}
	loader.learnToken(demand)
	loader.planner.SetDemand(decodeDemand(demand))
	before := loader.admission.ColdState()
	loader.admission.SetRequests(demand.GetEntry(), admit.EngineConfig{
		Slots:        int(demand.GetSlots()),
		EventTokens:  int(demand.GetEventTokens()),
		MaxEventGap:  time.Duration(demand.GetGapMs()) * time.Millisecond,
		TypicalSpeed: codec.DecodeSpeed(demand.GetTypical()),
		Cold:         codec.DecodeColdLimit(demand),
	}, codec.DecodeRequests(demand.GetAsks()))
	loader.logCold(before, demand.GetEntry())
	loader.admission.RecordMeasurements(demand.GetEntry(), codec.DecodeMeasurements(demand.GetReadings()))
	loader.admission.RecordPauses(speed.StreamCounts{Streams: int(demand.GetStreams()), Paused: int(demand.GetPausedStreams())})
	wake(loader.wakeGrants)
	for _, use := range demand.GetUses() {
		if use.GetWaiting() > 0 {
			wake(loader.wakeOrders)
			return
		}
	}
}

// recordEntry records the last full state that an entry instance has
// acknowledged. After a start of an entry instance, which it reports, it has a full
// state sent to all soon: the new one learns what the engine holds, and the others
// learn of the new one.
func (loader *Loader) recordEntry(entry string, start int64, acknowledged uint64) (started bool) {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	if loader.entryStarts[entry] == start {
		state := loader.entryStates[entry]
		state.acknowledged = acknowledged
		loader.entryStates[entry] = state
		return false
	}
	loader.entryStarts[entry] = start
	// What it acknowledges may be of an earlier process, of whose states it ignores lower
	// serials.
	loader.serial = max(loader.serial, acknowledged+maxStatesPerFull)
	loader.newEntry = true
	delete(loader.entryStates, entry)
	wake(loader.wakeOrders)
	return true
}

// acceptDemand reports whether a demand is for the engine's present
// incarnation, and if so records the upstream id in the demand. After a restart
// one address may be listed under several ids.
func (loader *Loader) acceptDemand(demand *wirepb.Demand) bool {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	if demand.GetBorn() != 0 && demand.GetBorn() < loader.report.StartedAt {
		return false
	}
	loader.upstream = demand.GetUpstream()
	loader.listedStartedAt = max(loader.listedStartedAt, demand.GetBorn())
	return true
}

func decodeDemand(demand *wirepb.Demand) lora.Demand {
	return lora.Demand{
		Entry: demand.GetEntry(), Model: demand.GetModel(), Uses: codec.DecodeAdapterUses(demand.GetUses()),
		Slots: int(demand.GetAdapterSlots()), PendingElsewhere: int(demand.GetPendingElsewhere()),
	}
}

// sendChanges sends a state to the entry instances if it is due: at once after
// a change of the adapters, of the engine's availability or of its work factor,
// otherwise at intervals.
func (loader *Loader) sendChanges() {
	workChanged := loader.updateWork()
	loader.mutex.Lock()
	sinceFull, sinceLast := time.Since(loader.fullStateAt), time.Since(loader.lastStateAt)
	urgent := !sameAdapters(loader.sentReport, loader.report) || loader.unreachable() != loader.sentUnreachable || loader.newEntry || loader.newOffset
	loadChanged := loader.report.Running != loader.sentReport.Running || loader.report.Queued != loader.sentReport.Queued
	loader.mutex.Unlock()
	if urgent || workChanged || loadChanged && sinceLast >= loadPeriod || sinceLast >= idlePeriod {
		granted, _ := loader.admission.Grant()
		loader.sendState(granted, urgent || sinceFull >= fullStatePeriod)
	}
}

// unreachable reports whether the engine counts as unreachable. Its caller holds the mutex.
func (loader *Loader) unreachable() bool { return loader.missedReports >= unreachableAfter }

// sameAdapters reports whether two reports have the same incarnation, models,
// adapters and draining flag.
func sameAdapters(a, b Report) bool {
	return a.StartedAt == b.StartedAt && a.Draining == b.Draining && slices.Equal(a.Models, b.Models) &&
		slices.Equal(a.Resident, b.Resident) && slices.Equal(a.Pending, b.Pending)
}

// sendState sends the engine's state and the grants to the entry instances that
// are due. Only a full state names the adapters. An entry instance that has not
// received the last full state gets the adapters with its next state, and one
// that has received none also the evicted adapters.
func (loader *Loader) sendState(granted map[string][]uint64, full bool) {
	entries := loader.planner.Entries()
	brief := loader.newState(full, entries)
	if brief == nil {
		return
	}
	var withAdapters *wirepb.EngineState
	for _, address := range entries {
		sent, due := loader.due(address, len(entries), len(granted[address]) > 0, brief.GetFullSerial())
		if !due {
			continue
		}
		if sent != sentLatest && withAdapters == nil {
			withAdapters = loader.fullState(brief, entries)
		}
		state := brief
		switch sent {
		case sentOlder:
			state = withAdapters
		case sentNothing:
			state = proto.CloneOf(withAdapters)
			state.Dropped = codec.EncodeAdapters(loader.planner.Evicted())
		}
		state.Granted, state.AnsweredUs = granted[address], loader.admission.Answered(address)
		datagram := &wirepb.Datagram{Body: &wirepb.Datagram_EngineState{EngineState: state}}
		loader.config.Datagrams.Send(datagram, []string{address}, loader.logUnsent)
	}
}

func (loader *Loader) logUnsent(address string, err error) {
	loader.config.Logger.Debug("loader: datagram not sent", zap.String("address", address), logs.ErrorField(err))
}

// newState returns a brief state with the next serial, or nil if there is
// nothing to report yet. With full set it counts as a full state.
func (loader *Loader) newState(full bool, entries []string) *wirepb.EngineState {
	backlog, late := loader.admission.Backlog()
	waiting := loader.admission.Waiting()
	freeSlots, boundWaiting := loader.planner.FreeSlots(), loader.admission.BoundWaiting()
	pace, admissionRate := loader.admission.Speed(), loader.admission.AdmissionRate()
	waitingRequests := 0
	if cold := loader.admission.ColdState(); cold.Limit.PerSecond > 0 {
		waitingRequests = cold.Waiting
	}
	cacheCapacity := loader.planner.CacheCapacity()
	work := codec.EncodeWork(loader.admission.Work())
	pauseRisk, lastingPauseRisk := loader.admission.PauseRisk()
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	report := loader.report
	if loader.upstream == "" || report.StartedAt == 0 && !loader.unreachable() {
		// Nothing is known of the engine yet.
		return nil
	}
	loader.serial++
	state := &wirepb.EngineState{
		Upstream: loader.upstream, Born: report.StartedAt, Serial: loader.serial,
		Running: uint32(report.Running), Queued: uint32(report.Queued),
		UsedTokens: report.UsedTokens, TotalTokens: report.TotalTokens,
		ModelLoaded: len(report.Models) > 0, Draining: report.Draining,
		Unreachable:   loader.unreachable(),
		Silent:        loader.unreachable() && loader.unresponsive,
		BacklogTokens: backlog, LateTokens: late, FreePlaces: uint32(freeSlots), LoadsQueued: uint32(loader.planner.QueuedLoads()),
		Brief: true, Pace: codec.EncodeSpeed(pace), Intake: codec.EncodeTokenRate(admissionRate),
		RecallReach: uint32(cacheCapacity), BoundWaiting: uint32(boundWaiting), Waiting: uint32(waitingRequests),
		Work: work, PauseRiskPermille: codec.EncodePerMille(pauseRisk), LastingPauseRiskPermille: codec.EncodePerMille(lastingPauseRisk),
	}
	codec.EncodeWaiting(waiting, state)
	loader.lastStateAt, loader.sentUnreachable = time.Now(), state.GetUnreachable()
	if full {
		loader.fullStateAt, loader.sentReport, loader.fullSerial = time.Now(), report, loader.serial
		loader.newEntry, loader.newOffset = false, false
		maps.DeleteFunc(loader.entryStarts, func(entry string, _ int64) bool { return !slices.Contains(entries, entry) })
		maps.DeleteFunc(loader.entryStates, func(entry string, _ entryState) bool { return !slices.Contains(entries, entry) })
	}
	state.FullSerial = loader.fullSerial
	return state
}

// fullState returns the state with the adapters of the last full state.
func (loader *Loader) fullState(brief *wirepb.EngineState, entries []string) *wirepb.EngineState {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	state := proto.CloneOf(brief)
	state.Brief, state.Entries, state.LoaderStart = false, loader.nameEntries(entries), loader.identity
	if offset, ok := loader.tokens.Offset(); ok {
		state.FencingOffset = codec.EncodeFencingOffset(fence.Offset{StartedAt: state.GetBorn(), Value: offset})
	}
	state.Resident, state.Pending = codec.EncodeAdapters(loader.sentReport.Resident), codec.EncodeAdapters(loader.sentReport.Pending)
	return state
}
