package permit

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
)

// TestLimits guards against a limit that is forgotten, outlives its end, or is
// raised by a response that is older than the naming or of another incarnation.
func TestLimits(t *testing.T) {
	// A step names a rate, at a time after the first step, in a response to a
	// request that was sent some time before.
	type step struct {
		at, sentBefore time.Duration
		startedAt      int64
		rate           Rate
	}
	tests := []struct {
		name  string
		steps []step
		// want maps times after the first step to the rates in force.
		want map[time.Duration]Rate
	}{
		{name: "named", steps: []step{{rate: 1.5}}, want: map[time.Duration]Rate{0: 1.5, time.Hour: 1.5}},
		{name: "zero", steps: []step{{rate: 0}}, want: map[time.Duration]Rate{0: 0, time.Hour: 0}},
		{name: "none", steps: []step{{rate: Unlimited}}, want: map[time.Duration]Rate{0: Unlimited}},
		{name: "invalid", steps: []step{{rate: 2}, {at: time.Second, rate: -1}}, want: map[time.Duration]Rate{5 * time.Second: 2}},
		{name: "falls", steps: []step{{rate: 5}, {at: time.Second, rate: 2}}, want: map[time.Duration]Rate{time.Second: 2, time.Minute: 2}},
		{
			name: "rises", steps: []step{{rate: 2}, {at: time.Second, rate: 5}},
			want: map[time.Duration]Rate{1900 * time.Millisecond: 2, 2 * time.Second: 5, time.Minute: 5},
		},
		{
			name: "ends", steps: []step{{rate: 2}, {at: time.Second, rate: Unlimited}},
			want: map[time.Duration]Rate{1900 * time.Millisecond: 2, 2 * time.Second: Unlimited},
		},
		{
			name: "ends late", steps: []step{{rate: 2}, {at: 3 * time.Second, rate: Unlimited}},
			want: map[time.Duration]Rate{3 * time.Second: Unlimited},
		},
		{
			name:  "differs",
			steps: []step{{rate: 2}, {at: time.Second, rate: 9}, {at: 1500 * time.Millisecond, rate: 2}, {at: 3 * time.Second, rate: Unlimited}, {at: 3300 * time.Millisecond, rate: 2}},
			want:  map[time.Duration]Rate{3200 * time.Millisecond: 2, time.Minute: 2},
		},
		{
			name: "older response", steps: []step{{rate: 2}, {at: 3 * time.Second, sentBefore: 4 * time.Second, rate: Unlimited}},
			want: map[time.Duration]Rate{time.Minute: 2},
		},
		{
			name: "older lower response", steps: []step{{rate: 2}, {at: time.Second, sentBefore: 4 * time.Second, rate: 1}},
			want: map[time.Duration]Rate{time.Minute: 1},
		},
		{
			name: "earlier incarnation", steps: []step{{startedAt: 5, rate: 2}, {at: 3 * time.Second, startedAt: 4, rate: Unlimited}},
			want: map[time.Duration]Rate{time.Minute: 2},
		},
		{
			name: "later incarnation", steps: []step{{startedAt: 5, rate: 2}, {at: time.Second, startedAt: 6, rate: Unlimited}},
			want: map[time.Duration]Rate{time.Second: Unlimited},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits, start := NewLimits(LimitsConfig{RaiseDelay: 2 * time.Second}), time.Now()
				var last cordon.Incarnation
				for _, step := range test.steps {
					time.Sleep(time.Until(start.Add(step.at)))
					last = cordon.Incarnation{ID: "i-1", StartedAt: step.startedAt}
					limits.Record(last, step.rate, time.Now().Add(-step.sentBefore))
				}
				if last.StartedAt == 4 {
					last.StartedAt = 5
				}
				got := make(map[time.Duration]Rate)
				for _, at := range slices.Sorted(maps.Keys(test.want)) {
					time.Sleep(time.Until(start.Add(at)))
					got[at] = limits.Rate(last)
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("rates in force (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestLimitsMerge guards against instances that disagree on a limit that few of
// them heard of, and against one that remembers limits for ever.
func TestLimitsMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := LimitsConfig{RaiseDelay: 2 * time.Second}
		teller, hearer := NewLimits(config), NewLimits(config)
		upstream := cordon.Incarnation{ID: "i-1", StartedAt: 7}
		tell := func() {
			for _, known := range teller.Known() {
				hearer.Merge(known.Incarnation, known.Lowest)
				hearer.Merge(known.Incarnation, known.Latest)
			}
		}
		check := func(moment string, want Rate) {
			t.Helper()
			tell()
			if got := hearer.Rate(upstream); got != want {
				t.Errorf("%s: rate %v, want %v", moment, got, want)
			}
		}
		teller.Record(upstream, 1.5, time.Now())
		check("named", 1.5)
		time.Sleep(time.Second)
		teller.Record(upstream, Unlimited, time.Now())
		check("within the raise delay", 1.5)
		time.Sleep(time.Second)
		check("ended", Unlimited)
		time.Sleep(11 * time.Second)
		if known := teller.Known(); len(known) != 0 || teller.Count() != 0 {
			t.Errorf("an ended limit is remembered: %v", known)
		}
	})
}
