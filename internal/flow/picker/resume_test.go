package picker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// TestResume guards against a stream that goes on at another software version than the one
// that began it, and against one that waits for a version of which no upstream serves.
func TestResume(t *testing.T) {
	type outcome struct {
		CanResume bool
		Upstream  string
	}
	tests := []struct {
		name    string
		change  func(picker *Picker, listed []fleet.Upstream)
		exclude []string
		version string
		want    outcome
	}{
		{name: "idle engine of another version", version: "v1", want: outcome{true, "i-0"}},
		{name: "its version", version: "v2", want: outcome{true, "i-1"}},
		{name: "no such version", version: "v3"},
		{name: "no version named", version: ""},
		{name: "tried", version: "v1", exclude: []string{"i-0"}},
		{name: "draining", version: "v1", change: func(picker *Picker, listed []fleet.Upstream) {
			listed[0].Draining = true
			picker.SetUpstreams(listed)
		}},
		{name: "removed", version: "v1", change: func(picker *Picker, listed []fleet.Upstream) { picker.SetUpstreams(listed[1:]) }},
		{name: "unreachable", version: "v1", change: func(picker *Picker, _ []fleet.Upstream) {
			gone := report(2, 0)
			gone.Unreachable = true
			picker.RecordReport("i-0", gone)
		}},
		{name: "restarted, listed as before", version: "v1", change: func(picker *Picker, _ []fleet.Upstream) {
			restarted := report(2, 0, wanted)
			restarted.StartedAt = 2000
			picker.RecordReport("i-0", restarted)
		}},
		{name: "restarted at another version", version: "v1", change: func(picker *Picker, listed []fleet.Upstream) {
			listed[0].SoftwareVersion, listed[0].StartedAt = "v2", 2000
			picker.SetUpstreams(listed)
		}},
		{name: "in backoff", version: "v1", want: outcome{CanResume: true}, change: func(picker *Picker, _ []fleet.Upstream) {
			picker.config.Cordon.(*cordon.Set).SetBackoff(cordon.Incarnation{ID: "i-0", StartedAt: 1000}, time.Minute)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			picker := New(Config{Cordon: cordon.New(cordon.Config{})})
			listed := []fleet.Upstream{engine(0), engine(1)}
			listed[0].SoftwareVersion, listed[1].SoftwareVersion = "v1", "v2"
			picker.SetUpstreams(listed)
			picker.RecordReport("i-0", report(1, 9000, wanted))
			picker.RecordReport("i-1", report(1, 0, wanted))
			if test.change != nil {
				test.change(picker, listed)
			}
			request := newRequest()
			request.Resumed, request.SoftwareVersion, request.Exclude = true, test.version, test.exclude
			got := outcome{picker.CanResume(request), picker.Choose(request).Upstream.ID}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}
