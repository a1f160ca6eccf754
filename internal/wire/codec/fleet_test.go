package codec

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/stock"
)

// TestFleet guards against a field that is lost, or changes its unit, between
// two processes.
func TestFleet(t *testing.T) {
	adapter := stock.Adapter{Name: "a1", Version: 3}
	adapters := []stock.Adapter{adapter}
	uses := []stock.Use{{Adapter: adapter, Running: 2, Waiting: 1}}
	asks := []admit.Ask{{ID: 7, Adapter: adapter, Prompt: 1460, Output: 170, Priority: 1}}
	pace := admit.Pace{ReadRate: 38.4, Event: 31 * time.Millisecond}
	readings := []admit.Reading{{Ask: 7, First: 17 * time.Millisecond, Pause: 30 * time.Millisecond}}
	tests := []struct {
		name      string
		want, got any
	}{
		{"adapters", adapters, DecodeAdapters(EncodeAdapters(adapters))},
		{"uses", uses, DecodeUses(EncodeUses(uses))},
		{"asks", asks, DecodeAsks(EncodeAsks(asks))},
		{"pace", pace, DecodePace(EncodePace(pace))},
		{"unknown pace", admit.Pace{}, DecodePace(nil)},
		{"readings", readings, DecodeReadings(EncodeReadings(readings))},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, test.got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
