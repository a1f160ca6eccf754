package codec

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// millisecondsPerSecond converts rates: tokens per millisecond in memory, whole
// tokens per second on the wire.
const millisecondsPerSecond = 1000

// EncodeAdapters encodes adapters with their versions.
func EncodeAdapters(adapters []lora.Adapter) []*wirepb.AdapterVersion {
	encoded := make([]*wirepb.AdapterVersion, 0, len(adapters))
	for _, adapter := range adapters {
		encoded = append(encoded, &wirepb.AdapterVersion{Adapter: adapter.Name, Version: adapter.Version})
	}
	return encoded
}

// DecodeAdapters decodes what EncodeAdapters encoded.
func DecodeAdapters(encoded []*wirepb.AdapterVersion) []lora.Adapter {
	adapters := make([]lora.Adapter, 0, len(encoded))
	for _, adapter := range encoded {
		adapters = append(adapters, lora.Adapter{Name: adapter.GetAdapter(), Version: adapter.GetVersion()})
	}
	return adapters
}

// EncodeAdapterUses encodes how many requests use each adapter.
func EncodeAdapterUses(uses []lora.AdapterUse) []*wirepb.AdapterUse {
	encoded := make([]*wirepb.AdapterUse, 0, len(uses))
	for _, use := range uses {
		encoded = append(encoded, &wirepb.AdapterUse{
			Adapter: use.Adapter.Name, Version: use.Adapter.Version,
			Running: uint32(use.Running), Waiting: uint32(use.Waiting), Late: uint32(use.Late), Bound: uint32(use.Bound),
			Weight: uint32(use.Weight), LateWeight: uint32(use.LateWeight),
		})
	}
	return encoded
}

// DecodeAdapterUses decodes what EncodeAdapterUses encoded.
func DecodeAdapterUses(encoded []*wirepb.AdapterUse) []lora.AdapterUse {
	uses := make([]lora.AdapterUse, 0, len(encoded))
	for _, use := range encoded {
		uses = append(uses, lora.AdapterUse{
			Adapter: lora.Adapter{Name: use.GetAdapter(), Version: use.GetVersion()},
			Running: int(use.GetRunning()), Waiting: int(use.GetWaiting()), Late: int(use.GetLate()), Bound: int(use.GetBound()),
			Weight: int(use.GetWeight()), LateWeight: int(use.GetLateWeight()),
		})
	}
	return uses
}

// EncodeRequests encodes the waiting requests of an entry instance.
func EncodeRequests(requests []admit.Request) []*wirepb.Ask {
	encoded := make([]*wirepb.Ask, 0, len(requests))
	for _, request := range requests {
		encoded = append(encoded, &wirepb.Ask{
			Id: request.ID, Adapter: request.Adapter.Name, Version: request.Adapter.Version,
			PromptTokens: request.PromptTokens, OutputTokens: request.OutputTokens, Priority: uint32(max(request.Priority, 0)), Late: request.Late,
			WaitedMs: uint32((request.Waited + timeSince(request.AddedAt)).Milliseconds()), Bound: request.Bound, Organisation: request.Organisation,
			StartWithinMs: encodeTimeUntil(request.StartBy), GiveUpWithinMs: encodeTimeUntil(request.GiveUpBy),
			RoutePriority: uint32(max(request.RoutePriority, 0)),
		})
	}
	return encoded
}

// DecodeRequests decodes what EncodeRequests encoded.
func DecodeRequests(encoded []*wirepb.Ask) []admit.Request {
	requests := make([]admit.Request, 0, len(encoded))
	for _, request := range encoded {
		requests = append(requests, admit.Request{
			ID: request.GetId(), Adapter: lora.Adapter{Name: request.GetAdapter(), Version: request.GetVersion()},
			PromptTokens: request.GetPromptTokens(), OutputTokens: request.GetOutputTokens(), Priority: int(request.GetPriority()), Late: request.GetLate(),
			Waited: time.Duration(request.GetWaitedMs()) * time.Millisecond, Bound: request.GetBound(), Organisation: request.GetOrganisation(),
			StartBy: decodeTimeUntil(request.GetStartWithinMs()), GiveUpBy: decodeTimeUntil(request.GetGiveUpWithinMs()),
			RoutePriority: int(request.GetRoutePriority()),
		})
	}
	return requests
}

// encodeTimeUntil encodes a time to come as the milliseconds until then, at least 1,
// and the zero time as 0.
func encodeTimeUntil(at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}
	return uint32(max(time.Until(at).Milliseconds(), 1))
}

// decodeTimeUntil decodes what encodeTimeUntil encoded.
func decodeTimeUntil(milliseconds uint32) time.Time {
	if milliseconds == 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(milliseconds) * time.Millisecond)
}

// timeSince returns the time since a past time, and 0 for the zero time.
func timeSince(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return time.Since(at)
}

// EncodeWaiting encodes what waits for admission.
func EncodeWaiting(waiting admit.Waiting, state *wirepb.EngineState) {
	state.WaitingTokens, state.WaitingLateTokens = waiting.OnTime[:], waiting.Late[:]
	state.LongestWaitMs = uint32(waiting.Longest.Milliseconds())
}

// DecodeWaiting decodes what EncodeWaiting encoded.
func DecodeWaiting(state *wirepb.EngineState) admit.Waiting {
	waiting := admit.Waiting{Longest: time.Duration(state.GetLongestWaitMs()) * time.Millisecond}
	copy(waiting.OnTime[:], state.GetWaitingTokens())
	copy(waiting.Late[:], state.GetWaitingLateTokens())
	return waiting
}

// EncodeSpeed encodes the speed of an engine.
func EncodeSpeed(speed admit.Speed) *wirepb.Pace {
	return &wirepb.Pace{ReadRate: EncodeTokenRate(speed.PrefillRate), EventUs: uint32(speed.EventInterval.Microseconds())}
}

// DecodeSpeed decodes what EncodeSpeed encoded.
func DecodeSpeed(encoded *wirepb.Pace) admit.Speed {
	return admit.Speed{
		PrefillRate:   DecodeTokenRate(encoded.GetReadRate()),
		EventInterval: time.Duration(encoded.GetEventUs()) * time.Microsecond,
	}
}

// EncodeTokenRate encodes a rate in tokens per millisecond.
func EncodeTokenRate(rate float64) uint32 { return uint32(rate * millisecondsPerSecond) }

// DecodeTokenRate decodes what EncodeTokenRate encoded.
func DecodeTokenRate(encoded uint32) float64 { return float64(encoded) / millisecondsPerSecond }

// EncodeMeasurements encodes measurements of an engine's speed.
func EncodeMeasurements(measurements []admit.Measurement) []*wirepb.Reading {
	encoded := make([]*wirepb.Reading, 0, len(measurements))
	for _, measurement := range measurements {
		factor, age := encodeStatement(measurement.Stated)
		encoded = append(encoded, &wirepb.Reading{
			Ask: measurement.RequestID, FirstUs: uint32(measurement.FirstEvent.Microseconds()), PauseUs: uint32(measurement.EventInterval.Microseconds()),
			WorkPermille: factor, WorkAgeMs: age,
		})
	}
	return encoded
}

// DecodeMeasurements decodes what EncodeMeasurements encoded.
func DecodeMeasurements(encoded []*wirepb.Reading) []admit.Measurement {
	measurements := make([]admit.Measurement, 0, len(encoded))
	for _, measurement := range encoded {
		measurements = append(measurements, admit.Measurement{
			RequestID:     measurement.GetAsk(),
			FirstEvent:    time.Duration(measurement.GetFirstUs()) * time.Microsecond,
			EventInterval: time.Duration(measurement.GetPauseUs()) * time.Microsecond,
			Stated:        decodeStatement(measurement.GetWorkPermille(), measurement.GetWorkAgeMs()),
		})
	}
	return measurements
}
