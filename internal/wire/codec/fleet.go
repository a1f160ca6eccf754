package codec

import (
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/stock"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// millisecondsPerSecond converts rates: the wire has whole tokens a second.
const millisecondsPerSecond = 1000

// EncodeAdapters encodes adapters with their versions.
func EncodeAdapters(adapters []stock.Adapter) []*wirepb.AdapterVersion {
	encoded := make([]*wirepb.AdapterVersion, 0, len(adapters))
	for _, adapter := range adapters {
		encoded = append(encoded, &wirepb.AdapterVersion{Adapter: adapter.Name, Version: adapter.Version})
	}
	return encoded
}

// DecodeAdapters decodes what EncodeAdapters encoded.
func DecodeAdapters(encoded []*wirepb.AdapterVersion) []stock.Adapter {
	adapters := make([]stock.Adapter, 0, len(encoded))
	for _, adapter := range encoded {
		adapters = append(adapters, stock.Adapter{Name: adapter.GetAdapter(), Version: adapter.GetVersion()})
	}
	return adapters
}

// EncodeUses encodes how many requests use each adapter.
func EncodeUses(uses []stock.Use) []*wirepb.AdapterUse {
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
func DecodeUses(encoded []*wirepb.AdapterUse) []stock.Use {
	uses := make([]stock.Use, 0, len(encoded))
	for _, use := range encoded {
		uses = append(uses, stock.Use{
			Adapter: stock.Adapter{Name: use.GetAdapter(), Version: use.GetVersion()},
			Running: int(use.GetRunning()), Waiting: int(use.GetWaiting()), Late: int(use.GetLate()),
		})
	}
	return uses
}

// EncodeAsks encodes requests that wait for their turn.
func EncodeAsks(asks []admit.Ask) []*wirepb.Ask {
	encoded := make([]*wirepb.Ask, 0, len(asks))
	for _, ask := range asks {
		encoded = append(encoded, &wirepb.Ask{
			Id: ask.ID, Adapter: ask.Adapter.Name, Version: ask.Adapter.Version,
			PromptTokens: ask.Prompt, OutputTokens: ask.Output, Priority: uint32(max(ask.Priority, 0)), Late: ask.Late,
			WaitedMs: uint32(ask.Waited.Milliseconds()),
		})
	}
	return encoded
}

// DecodeAsks decodes what EncodeAsks encoded.
func DecodeAsks(encoded []*wirepb.Ask) []admit.Ask {
	asks := make([]admit.Ask, 0, len(encoded))
	for _, ask := range encoded {
		asks = append(asks, admit.Ask{
			ID: ask.GetId(), Adapter: stock.Adapter{Name: ask.GetAdapter(), Version: ask.GetVersion()},
			Prompt: ask.GetPromptTokens(), Output: ask.GetOutputTokens(), Priority: int(ask.GetPriority()), Late: ask.GetLate(),
			Waited: time.Duration(ask.GetWaitedMs()) * time.Millisecond,
		})
	}
	return asks
}

// EncodePace encodes how fast an engine works.
func EncodePace(pace admit.Pace) *wirepb.Pace {
	return &wirepb.Pace{ReadRate: EncodeRate(pace.ReadRate), EventUs: uint32(pace.Event.Microseconds())}
}

// DecodePace decodes what EncodePace encoded.
func DecodePace(encoded *wirepb.Pace) admit.Pace {
	return admit.Pace{
		ReadRate: DecodeRate(encoded.GetReadRate()),
		Event:    time.Duration(encoded.GetEventUs()) * time.Microsecond,
	}
}

// EncodeRate encodes tokens in a millisecond.
func EncodeRate(rate float64) uint32 { return uint32(rate * millisecondsPerSecond) }

// DecodeRate decodes what EncodeRate encoded.
func DecodeRate(encoded uint32) float64 { return float64(encoded) / millisecondsPerSecond }

// EncodeReadings encodes what streams showed of an engine's pace.
func EncodeReadings(readings []admit.Reading) []*wirepb.Reading {
	encoded := make([]*wirepb.Reading, 0, len(readings))
	for _, reading := range readings {
		encoded = append(encoded, &wirepb.Reading{
			Ask: reading.Ask, FirstUs: uint32(reading.First.Microseconds()), PauseUs: uint32(reading.Pause.Microseconds()),
		})
	}
	return encoded
}

// DecodeReadings decodes what EncodeReadings encoded.
func DecodeReadings(encoded []*wirepb.Reading) []admit.Reading {
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
