package picker

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// TestResumeOfSilent guards against a stream that cannot go on at an engine that answers while
// its loader is silent, and against one that is sent to an engine of which nothing is known.
func TestResumeOfSilent(t *testing.T) {
	type outcome struct {
		CanResume, Unheard bool
		Upstream           string
		Ask                []string
	}
	tests := []struct {
		name string
		// silent is how long the loaders have been silent, and confirmed the incarnation that
		// the engine i-0 of two has named, answeredBefore how long ago.
		silent         time.Duration
		confirmed      int64
		answeredBefore time.Duration
		want           outcome
	}{
		{name: "loaders report", want: outcome{CanResume: true, Upstream: "i-0"}},
		{name: "silent for a short time", silent: 2 * time.Second, want: outcome{CanResume: true, Ask: []string{"i-0", "i-1"}}},
		{name: "silent for long", silent: 5 * time.Second, want: outcome{Unheard: true, Ask: []string{"i-0", "i-1"}}},
		{name: "one engine answers", silent: 5 * time.Second, confirmed: 1000, want: outcome{CanResume: true, Upstream: "i-0", Ask: []string{"i-1"}}},
		{name: "one engine has answered a while ago", silent: 5 * time.Second, confirmed: 1000, answeredBefore: 2 * time.Second, want: outcome{CanResume: true, Ask: []string{"i-0", "i-1"}}},
		{name: "one engine has answered long ago", silent: 8 * time.Second, confirmed: 1000, answeredBefore: 4 * time.Second, want: outcome{Unheard: true, Ask: []string{"i-0", "i-1"}}},
		{name: "one engine has restarted", silent: 5 * time.Second, confirmed: 2000, want: outcome{Unheard: true, Ask: []string{"i-0", "i-1"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				picker := New(Config{Cordon: cordon.New(cordon.Config{})})
				picker.SetUpstreams([]fleet.Upstream{engine(0), engine(1)})
				time.Sleep(time.Minute)
				picker.RecordReport("i-0", report(1, 0, wanted))
				picker.RecordReport("i-1", report(1, 9000, lora.Adapter{Name: "other"}))
				time.Sleep(test.silent - test.answeredBefore)
				if test.confirmed != 0 {
					picker.RecordIncarnation("i-0", test.confirmed, time.Now())
				}
				time.Sleep(test.answeredBefore)
				request := newRequest()
				request.Resumed = true
				got := outcome{CanResume: picker.CanResume(request), Unheard: picker.Unheard(request), Upstream: picker.Choose(request).Upstream.ID}
				for _, spec := range picker.SilentEngines(request, 4) {
					got.Ask = append(got.Ask, spec.ID)
				}
				if len(got.Ask) == 2 && got.Ask[0] != "i-0" {
					t.Errorf("%v come first, want the one with the adapter", got.Ask)
				}
				slices.Sort(got.Ask)
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("outcome (-want +got):\n%s", diff)
				}
			})
		})
	}
}
