package codec

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// millisecondsPerSecond converts rates: the wire has whole tokens a second.
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

// EncodeUses encodes how many requests use each adapter.
func EncodeUses(uses []lora.AdapterUse) []*wirepb.AdapterUse {
	encoded := make([]*wirepb.AdapterUse, 0, len(uses))
	for _, use := range uses {
		encoded = append(encoded, &wirepb.AdapterUse{
			Adapter: use.Adapter.Name, Version: use.Adapter.Version,
			Running: uint32(use.Running), Waiting: uint32(use.Waiting), Late: uint32(use.Late),
		})
	}
	return encoded
}

// DecodeUses decodes what EncodeUses encoded.
func DecodeUses(encoded []*wirepb.AdapterUse) []lora.AdapterUse {
	uses := make([]lora.AdapterUse, 0, len(encoded))
	for _, use := range encoded {
		uses = append(uses, lora.AdapterUse{
			Adapter: lora.Adapter{Name: use.GetAdapter(), Version: use.GetVersion()},
			Running: int(use.GetRunning()), Waiting: int(use.GetWaiting()), Late: int(use.GetLate()),
		})
	}
	return uses
}

// EncodeAsks encodes requests that wait for their turn.
func EncodeAsks(asks []admit.Request) []*wirepb.Ask {
	encoded := make([]*wirepb.Ask, 0, len(asks))
	for _, ask := range asks {
		encoded = append(encoded, &wirepb.Ask{
			Id: ask.ID, Adapter: ask.Adapter.Name, Version: ask.Adapter.Version,
			PromptTokens: ask.PromptTokens, OutputTokens: ask.OutputTokens, Priority: uint32(max(ask.Priority, 0)), Late: ask.Late,
			WaitedMs: uint32(ask.Waited.Milliseconds()),
		})
	}
	return encoded
}

// DecodeAsks decodes what EncodeAsks encoded.
func DecodeAsks(encoded []*wirepb.Ask) []admit.Request {
	asks := make([]admit.Request, 0, len(encoded))
	for _, ask := range encoded {
		asks = append(asks, admit.Request{
			ID: ask.GetId(), Adapter: lora.Adapter{Name: ask.GetAdapter(), Version: ask.GetVersion()},
			PromptTokens: ask.GetPromptTokens(), OutputTokens: ask.GetOutputTokens(), Priority: int(ask.GetPriority()), Late: ask.GetLate(),
			Waited: time.Duration(ask.GetWaitedMs()) * time.Millisecond,
		})
	}
	return asks
}

// EncodePace encodes how fast an engine works.
func EncodePace(pace admit.Speed) *wirepb.Pace {
	return &wirepb.Pace{ReadRate: EncodeRate(pace.PrefillRate), EventUs: uint32(pace.EventInterval.Microseconds())}
}

// DecodePace decodes what EncodePace encoded.
func DecodePace(encoded *wirepb.Pace) admit.Speed {
	return admit.Speed{
		PrefillRate:   DecodeRate(encoded.GetReadRate()),
		EventInterval: time.Duration(encoded.GetEventUs()) * time.Microsecond,
	}
}

// EncodeRate encodes tokens in a millisecond.
func EncodeRate(rate float64) uint32 { return uint32(rate * millisecondsPerSecond) }

// DecodeRate decodes what EncodeRate encoded.
func DecodeRate(encoded uint32) float64 { return float64(encoded) / millisecondsPerSecond }

// EncodeReadings encodes what streams showed of an engine's pace.
func EncodeReadings(readings []admit.Measurement) []*wirepb.Reading {
	encoded := make([]*wirepb.Reading, 0, len(readings))
	for _, reading := range readings {
		encoded = append(encoded, &wirepb.Reading{
			Ask: reading.RequestID, FirstUs: uint32(reading.FirstEvent.Microseconds()), PauseUs: uint32(reading.EventInterval.Microseconds()),
		})
	}
	return encoded
}

// DecodeReadings decodes what EncodeReadings encoded.
func DecodeReadings(encoded []*wirepb.Reading) []admit.Measurement {
	readings := make([]admit.Measurement, 0, len(encoded))
	for _, reading := range encoded {
		readings = append(readings, admit.Measurement{
			RequestID:     reading.GetAsk(),
			FirstEvent:    time.Duration(reading.GetFirstUs()) * time.Microsecond,
			EventInterval: time.Duration(reading.GetPauseUs()) * time.Microsecond,
		})
	}
	return readings
}
