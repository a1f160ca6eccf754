package codec

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
)

// TestFleet guards against a field that is lost, or changes its unit, between
// two processes.
func TestFleet(t *testing.T) {
	adapter := lora.Adapter{Name: "a1", Version: 3}
	adapters := []lora.Adapter{adapter}
	uses := []lora.AdapterUse{{Adapter: adapter, Running: 2, Waiting: 1}}
	asks := []admit.Request{{ID: 7, Adapter: adapter, PromptTokens: 1460, OutputTokens: 170, Priority: 1}}
	pace := admit.Speed{PrefillRate: 38.4, EventInterval: 31 * time.Millisecond}
	readings := []admit.Measurement{{RequestID: 7, FirstEvent: 17 * time.Millisecond, EventInterval: 30 * time.Millisecond}}
	tests := []struct {
		name      string
		want, got any
	}{
		{"adapters", adapters, DecodeAdapters(EncodeAdapters(adapters))},
		{"uses", uses, DecodeAdapterUses(EncodeAdapterUses(uses))},
		{"asks", asks, DecodeRequests(EncodeRequests(asks))},
		{"pace", pace, DecodeSpeed(EncodeSpeed(pace))},
		{"unknown pace", admit.Speed{}, DecodeSpeed(nil)},
		{"readings", readings, DecodeMeasurements(EncodeMeasurements(readings))},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, test.got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
