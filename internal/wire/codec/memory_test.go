package codec

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/bucket"
	"jacinthfront.dev/jacinthfront/internal/flow/retry"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// TestRetryUse guards against pasts that lose slots, totals or names on the wire.
func TestRetryUse(t *testing.T) {
	tests := []struct {
		name string
		use  retry.Use
	}{
		{name: "without pasts", use: retry.Use{Requests: 3, Retries: 1, Settled: true}},
		{name: "slots without any at the end", use: retry.Use{Window: 10 * time.Second, Pasts: []retry.Past{{
			Incarnation: retry.Incarnation{Instance: "10.0.0.1:7600", Start: 5}, Requests: 9, Retries: 2,
			Slots: []retry.Slot{{Requests: 1}, {Retries: 2}, {Requests: 3}, {}, {}},
		}}}},
		{name: "an idle incarnation", use: retry.Use{Window: time.Second, Pasts: []retry.Past{{
			Incarnation: retry.Incarnation{Instance: "10.0.0.2:7600", Start: -1}, Slots: []retry.Slot{},
		}}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service, got := DecodeRetryUse(EncodeRetryUse("advisor", test.use))
			if diff := cmp.Diff(test.use, got); diff != "" || service != "advisor" {
				t.Errorf("service %q, use (-sent +received):\n%s", service, diff)
			}
		})
	}
}

// TestRetryPastBound guards against malformed pasts for which too much memory is reserved.
func TestRetryPastBound(t *testing.T) {
	encoded := &wirepb.RetryUse{}
	for range 10 * maxPasts {
		encoded.Pasts = append(encoded.Pasts, &wirepb.RetryPast{Slots: 1 << 31})
	}
	_, got := DecodeRetryUse(encoded)
	if pasts, slots := len(got.Pasts), len(got.Pasts[0].Slots); pasts > maxPasts || slots > maxPastSlots {
		t.Errorf("%d pasts of %d slots, want at most %d of %d", pasts, slots, maxPasts, maxPastSlots)
	}
}

// TestLevels guards against levels of token buckets that change on the wire.
func TestLevels(t *testing.T) {
	levels := []bucket.Level{{Organisation: "hule", Limit: bucket.Limit{Rate: 10, Burst: 20}, Level: 1.5}, {Organisation: "sede", Level: -2}}
	if diff := cmp.Diff(levels, DecodeLevels(EncodeLevels(levels))); diff != "" {
		t.Errorf("levels (-sent +received):\n%s", diff)
	}
}

// TestClasses guards against classes of an organisation's spending that change on the wire.
func TestClasses(t *testing.T) {
	spent := map[bucket.Class]float64{bucket.Class(256 * time.Millisecond): 1.5, bucket.Class(8192 * time.Millisecond): 7}
	if diff := cmp.Diff(spent, DecodeClasses(EncodeClasses(spent))); diff != "" {
		t.Errorf("classes (-sent +received):\n%s", diff)
	}
}
