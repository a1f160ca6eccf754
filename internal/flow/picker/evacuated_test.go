package picker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// TestEvacuated guards against an engine in an evacuated failure domain that gets requests,
// resumed streams or adapters, or keeps a request waiting.
func TestEvacuated(t *testing.T) {
	type outcome struct {
		Result    Result
		Upstream  string
		CopyTo    string
		Grant     GrantState
		CanResume bool
		Demand    []lora.AdapterUse
		Running   int
	}
	waiting := []lora.AdapterUse{{Adapter: wanted, Running: 1, Waiting: 2}}
	running := []lora.AdapterUse{{Adapter: wanted, Running: 1}}
	tests := []struct {
		name      string
		evacuated []string
		want      outcome
	}{
		{name: "none", want: outcome{Upstream: "i-0", CopyTo: "i-1", Grant: Granted, CanResume: true, Demand: waiting}},
		{name: "the one with the adapter", evacuated: []string{"a"}, want: outcome{Result: AdapterMissing, Upstream: "i-1", Grant: Unusable, Demand: running, Running: 1}},
		{name: "the other one", evacuated: []string{"b"}, want: outcome{Upstream: "i-0", Grant: Granted, CanResume: true, Demand: waiting}},
		{name: "all", evacuated: []string{"a", "b"}, want: outcome{Result: Evacuated, Grant: Unusable, Demand: running, Running: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var domains cordon.Domains
			picker := New(Config{Evacuation: &domains})
			listed := []fleet.Upstream{engine(0), engine(1)}
			for number, domain := range []string{"a", "b"} {
				listed[number].FailureDomain, listed[number].SoftwareVersion = domain, "v-"+domain
			}
			picker.SetUpstreams(listed)
			picker.RecordReport("i-0", report(1, 9000, wanted))
			picker.RecordReport("i-1", report(1, 0))
			picker.RecordSent("i-0", wanted)
			picker.AddWaiting("i-0", admit.Request{ID: 7, Adapter: wanted}, time.Time{})
			picker.RecordGrants("i-0", []uint64{7})
			picker.RequestCopy("i-0", wanted)
			evacuated := make(map[string]bool)
			for _, domain := range test.evacuated {
				evacuated[domain] = true
			}
			domains.Replace(evacuated)
			choice := picker.Choose(newRequest())
			resumed := newRequest()
			resumed.Resumed, resumed.SoftwareVersion = true, "v-a"
			got := outcome{
				Result: choice.Result, Upstream: choice.Upstream.ID, CopyTo: choice.CopyTo.ID, Grant: picker.GrantState("i-0", 7),
				CanResume: picker.CanResume(resumed), Demand: picker.AdapterDemand("i-0"), Running: picker.CountEvacuatedRunning(),
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}
