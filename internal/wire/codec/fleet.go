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

// EncodeAdapterUses encodes how many requests use each adapter.
func EncodeAdapterUses(uses []lora.AdapterUse) []*wirepb.AdapterUse {
	encoded := make([]*wirepb.AdapterUse, 0, len(uses))
	for _, use := range uses {
		encoded = append(encoded, &wirepb.AdapterUse{
			Adapter: use.Adapter.Name, Version: use.Adapter.Version,
			Running: uint32(use.Running), Waiting: uint32(use.Waiting), Late: uint32(use.Late),
		})
	}
	return encoded
}

// DecodeAdapterUses decodes what EncodeUses encoded.
func DecodeAdapterUses(encoded []*wirepb.AdapterUse) []lora.AdapterUse {
	uses := make([]lora.AdapterUse, 0, len(encoded))
	for _, use := range encoded {
		uses = append(uses, lora.AdapterUse{
			Adapter: lora.Adapter{Name: use.GetAdapter(), Version: use.GetVersion()},
			Running: int(use.GetRunning()), Waiting: int(use.GetWaiting()), Late: int(use.GetLate()),
		})
	}
	return uses
}

// EncodeRequests encodes requests that wait for their turn.
func EncodeRequests(asks []admit.Request) []*wirepb.Ask {
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

// DecodeRequests decodes what EncodeAsks encoded.
func DecodeRequests(encoded []*wirepb.Ask) []admit.Request {
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

// EncodeSpeed encodes how fast an engine works.
func EncodeSpeed(pace admit.Speed) *wirepb.Pace {
	return &wirepb.Pace{ReadRate: EncodeTokenRate(pace.PrefillRate), EventUs: uint32(pace.EventInterval.Microseconds())}
}

// DecodeSpeed decodes what EncodePace encoded.
func DecodeSpeed(encoded *wirepb.Pace) admit.Speed {
	return admit.Speed{
		PrefillRate:   DecodeTokenRate(encoded.GetReadRate()),
		EventInterval: time.Duration(encoded.GetEventUs()) * time.Microsecond,
	}
}

// EncodeTokenRate encodes tokens in a millisecond.
func EncodeTokenRate(rate float64) uint32 { return uint32(rate * millisecondsPerSecond) }

// DecodeTokenRate decodes what EncodeRate encoded.
func DecodeTokenRate(encoded uint32) float64 { return float64(encoded) / millisecondsPerSecond }

// EncodeMeasurements encodes what streams showed of an engine's pace.
func EncodeMeasurements(readings []admit.Measurement) []*wirepb.Reading {
	encoded := make([]*wirepb.Reading, 0, len(readings))
	for _, reading := range readings {
		encoded = append(encoded, &wirepb.Reading{
			Ask: reading.RequestID, FirstUs: uint32(reading.FirstEvent.Microseconds()), PauseUs: uint32(reading.EventInterval.Microseconds()),
		})
	}
	return encoded
}

// DecodeMeasurements decodes what EncodeReadings encoded.
func DecodeMeasurements(encoded []*wirepb.Reading) []admit.Measurement {
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
