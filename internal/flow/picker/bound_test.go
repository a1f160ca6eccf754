package picker

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/flow/lora"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// newVersionPicker returns a Picker with an engine of version v1 and one of v2, each with
// its report.
func newVersionPicker(first, second Report) *Picker {
	picker := New(Config{})
	listed := []fleet.Upstream{engine(0), engine(1)}
	listed[0].SoftwareVersion, listed[1].SoftwareVersion = "v1", "v2"
	picker.SetUpstreams(listed)
	picker.RecordReport("i-0", first)
	picker.RecordReport("i-1", second)
	return picker
}

// TestBoundDemand guards against streams that continue at one software version and wait at
// its loaders like new ones, which engines of another version can begin, and against streams
// that go before new ones although all engines can continue them.
func TestBoundDemand(t *testing.T) {
	starting, unreachable, draining := report(1, 0), report(1, 0), report(1, 0)
	starting.ModelLoaded, unreachable.Unreachable, draining.Draining = false, true, true
	type demand struct {
		Asks []bool
		Uses []lora.AdapterUse
	}
	bound := demand{[]bool{true, false}, []lora.AdapterUse{{Adapter: wanted, Waiting: 2, Bound: 1}}}
	free := demand{[]bool{false, false}, []lora.AdapterUse{{Adapter: wanted, Waiting: 2}}}
	tests := []struct {
		name   string
		other  Report
		change func(picker *Picker)
		want   demand
	}{
		{name: "another version serves", other: report(1, 0), want: bound},
		{name: "another version loads its model", other: starting, want: free},
		{name: "another version ended", other: unreachable, want: free},
		{name: "another version drains", other: draining, want: free},
		{name: "one version", other: report(1, 0), want: free, change: func(picker *Picker) {
			picker.upstreams["i-1"].spec.SoftwareVersion = "v1"
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				picker := newVersionPicker(report(1, 0), test.other)
				if test.change != nil {
					test.change(picker)
				}
				picker.AddWaiting("i-0", admit.Request{ID: 1, Adapter: wanted, Bound: true}, time.Time{})
				picker.AddWaiting("i-0", admit.Request{ID: 2, Adapter: wanted}, time.Time{})
				got := demand{Uses: picker.AdapterDemand("i-0")}
				for _, request := range picker.WaitingRequests("i-0") {
					got.Asks = append(got.Asks, request.Bound)
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("demand (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestLeaveToBound guards against new streams that take adapter slots and turns at engines
// where streams wait that have no others, while other engines have room, and against new
// streams that are not served because of these.
func TestLeaveToBound(t *testing.T) {
	awaited := report(1, 0, wanted)
	awaited.BoundWaiting = 1
	noSlot := report(1, 0)
	noSlot.FreeAdapterSlots = 0
	full := report(1, 0, wanted)
	full.UsedTokens = full.TotalTokens
	tests := []struct {
		name    string
		other   Report
		resumed bool
		plain   bool
		want    string
	}{
		{name: "slow but free", other: report(1, 9000, wanted), want: "i-1"},
		{name: "room for the adapter", other: report(1, 0), want: "i-1"},
		{name: "no slot", other: noSlot, want: "i-0"},
		{name: "no slot, no adapter needed", other: noSlot, plain: true, want: "i-1"},
		{name: "full", other: full, want: "i-0"},
		{name: "continues a stream", other: report(1, 9000, wanted), resumed: true, want: "i-0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				picker, request := newVersionPicker(awaited, test.other), newRequest()
				if test.resumed {
					picker.upstreams["i-1"].spec.SoftwareVersion = "v1"
					request.Resumed, request.SoftwareVersion = true, "v1"
				}
				if test.plain {
					request.Adapter = lora.Adapter{}
				}
				if got := picker.Choose(request).Upstream.ID; got != test.want {
					t.Errorf("chose %q, want %q", got, test.want)
				}
			})
		})
	}
}
