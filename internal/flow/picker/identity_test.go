package picker

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// TestIdentify guards against a connection to an engine that has started again under its id
// and counts as one to the listed incarnation, which may have other software.
func TestIdentify(t *testing.T) {
	const listed, later = 1000, 2000
	// The connection is opened a second after the beginning of the test.
	const openedAfter = time.Second
	confirm := func(startedAt int64) func(picker *Picker) {
		return func(picker *Picker) { picker.RecordIncarnation("i-0", startedAt, time.Now()) }
	}
	report := func(startedAt int64) func(picker *Picker) {
		return func(picker *Picker) {
			reported := report(uint64(time.Now().UnixNano()), 0)
			reported.StartedAt = startedAt
			picker.RecordReport("i-0", reported)
		}
	}
	tests := []struct {
		name          string
		before, after func(picker *Picker)
		wait          time.Duration
		want          Identity
	}{
		{name: "nothing heard", want: Unconfirmed},
		{name: "reported after it was opened", after: report(listed), want: Unconfirmed},
		{name: "confirmed before it was opened", before: confirm(listed), want: Unconfirmed},
		{name: "confirmed after it was opened", after: confirm(listed), want: Confirmed},
		{name: "a later one confirmed", after: confirm(later), want: Replaced},
		{name: "a later one reported", after: report(later), want: Replaced},
		{name: "confirmed, then a later one reported", before: confirm(listed), after: report(later), want: Replaced},
		{name: "an earlier one confirmed", after: confirm(listed - 1), want: Unconfirmed},
		{name: "no loader", wait: firstReportTimeout + time.Second, want: Unreported},
		{name: "loader silent", before: report(listed), wait: firstReportTimeout + time.Second, want: Unreported},
		{name: "confirmed, then loader silent", before: report(listed), after: confirm(listed), wait: firstReportTimeout + time.Second, want: Confirmed},
		{name: "not listed any more", before: func(picker *Picker) { picker.SetUpstreams(nil) }, want: Unconfirmed},
		{name: "start not listed", before: func(picker *Picker) { picker.SetUpstreams([]fleet.Upstream{{ID: "i-0", Service: "advisor"}}) }, want: Unconfirmed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				picker, spec := New(Config{}), engine(0)
				picker.SetUpstreams([]fleet.Upstream{spec})
				run := func(step func(picker *Picker)) {
					if step != nil {
						step(picker)
					}
				}
				run(test.before)
				time.Sleep(openedAfter)
				openedAt := time.Now()
				time.Sleep(time.Millisecond)
				run(test.after)
				time.Sleep(test.wait)
				if diff := cmp.Diff(test.want, picker.Identify(spec, openedAt)); diff != "" {
					t.Errorf("identity (-want +got):\n%s", diff)
				}
			})
		})
	}
}
