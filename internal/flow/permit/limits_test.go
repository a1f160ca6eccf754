package permit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
)

// TestLimits guards against a limit that is forgotten, outlives its end, or is
// raised by a response that is older than the naming or of another incarnation, and
// against an instance that was told of it and disagrees.
func TestLimits(t *testing.T) {
	// A step names a rate, some seconds after the first step, in a response to a
	// request that was sent some seconds before.
	type step struct {
		at, sentBefore int
		startedAt      int64
		rate           Rate
	}
	tests := []struct {
		name  string
		steps []step
		// want holds the rates in force at once and raiseDelay later.
		want []Rate
	}{
		{name: "named", steps: []step{{rate: 1.5}}, want: []Rate{1.5, 1.5}},
		{name: "zero", steps: []step{{rate: 0}}, want: []Rate{0, 0}},
		{name: "none", steps: []step{{rate: Unlimited}}, want: []Rate{Unlimited, Unlimited}},
		{name: "invalid", steps: []step{{rate: 2}, {at: 9, rate: -1}}, want: []Rate{2, 2}},
		{name: "falls", steps: []step{{rate: 5}, {at: 1, rate: 2}}, want: []Rate{2, 2}},
		{name: "rises", steps: []step{{rate: 2}, {at: 1, rate: 5}}, want: []Rate{2, 5}},
		{name: "ends", steps: []step{{rate: 2}, {at: 1, rate: Unlimited}}, want: []Rate{2, Unlimited}},
		{name: "ends late", steps: []step{{rate: 2}, {at: 9, rate: Unlimited}}, want: []Rate{Unlimited, Unlimited}},
		{name: "differs", steps: []step{{rate: 2}, {at: 3, rate: 9}, {at: 6, rate: 2}, {at: 8, rate: Unlimited}}, want: []Rate{2, Unlimited}},
		{name: "older response", steps: []step{{rate: 2}, {at: 9, sentBefore: 10, rate: Unlimited}}, want: []Rate{2, 2}},
		{name: "older lower response", steps: []step{{rate: 2}, {at: 1, sentBefore: 5, rate: 1}}, want: []Rate{1, 1}},
		{name: "earlier incarnation", steps: []step{{startedAt: 5, rate: 2}, {at: 9, startedAt: 4, rate: Unlimited}}, want: []Rate{2, 2}},
		{name: "later incarnation", steps: []step{{startedAt: 5, rate: 2}, {at: 1, startedAt: 6, rate: Unlimited}}, want: []Rate{Unlimited, Unlimited}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits, told, start := NewLimits(LimitsConfig{}), NewLimits(LimitsConfig{}), time.Now()
				newest := cordon.Incarnation{ID: "i-1"}
				for _, step := range test.steps {
					time.Sleep(time.Until(start.Add(time.Duration(step.at) * time.Second)))
					newest.StartedAt = max(newest.StartedAt, step.startedAt)
					sentAt := time.Now().Add(-time.Duration(step.sentBefore) * time.Second)
					limits.Record(cordon.Incarnation{ID: "i-1", StartedAt: step.startedAt}, step.rate, sentAt)
				}
				for _, known := range limits.Known() {
					told.Merge(known.Incarnation, known.Lowest)
					told.Merge(known.Incarnation, known.Latest)
				}
				got := [][]Rate{{limits.Rate(newest)}, {told.Rate(newest)}}
				time.Sleep(DefaultRaiseDelay)
				got[0], got[1] = append(got[0], limits.Rate(newest)), append(got[1], told.Rate(newest))
				if diff := cmp.Diff([][]Rate{test.want, test.want}, got); diff != "" {
					t.Errorf("rates in force at the instance and at one that it told (-want +got):\n%s", diff)
				}
				time.Sleep(endedRetention)
				if count := len(limits.Known()); test.want[1] == Unlimited && count > 0 {
					t.Errorf("%d ended limits are remembered", count)
				}
			})
		})
	}
}

// TestAdmissionChangesNothing guards against a look at an upstream's permits that opens an
// account for it.
func TestAdmissionChangesNothing(t *testing.T) {
	client := NewClient(ClientConfig{})
	client.Admission(cordon.Incarnation{ID: "i-0", StartedAt: 1}, 5, 1)
	if len(client.accounts) != 0 {
		t.Errorf("%d accounts, want none", len(client.accounts))
	}
}
