package codec

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
)

// TestDatagramFields guards against a field of a datagram that is lost, or whose
// unit changes, between two processes.
func TestDatagramFields(t *testing.T) {
	adapter := lora.Adapter{Name: "a1", Version: 3}
	adapters := []lora.Adapter{adapter}
	uses := []lora.AdapterUse{{Adapter: adapter, Running: 2, Waiting: 3, Late: 1, Bound: 2}}
	requests := []admit.Request{{ID: 7, Adapter: adapter, PromptTokens: 1460, OutputTokens: 170, Priority: 1, Bound: true}}
	speed := admit.Speed{PrefillRate: 38.4, EventInterval: 31 * time.Millisecond}
	measurements := []admit.Measurement{{RequestID: 7, FirstEvent: 17 * time.Millisecond, EventInterval: 30 * time.Millisecond}}
	tests := []struct {
		name      string
		want, got any
	}{
		{"adapters", adapters, DecodeAdapters(EncodeAdapters(adapters))},
		{"uses", uses, DecodeAdapterUses(EncodeAdapterUses(uses))},
		{"asks", requests, DecodeRequests(EncodeRequests(requests))},
		{"pace", speed, DecodeSpeed(EncodeSpeed(speed))},
		{"unknown pace", admit.Speed{}, DecodeSpeed(nil)},
		{"readings", measurements, DecodeMeasurements(EncodeMeasurements(measurements))},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, test.got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
