package picker

import (
	"testing"
	"testing/synctest"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/admit"
	"jacinthfront.dev/jacinthfront/internal/state/fleet"
)

// TestLeastWait guards against requests that are refused although one engine may
// admit them in time, or let in although none can, and against waits that count
// less urgent requests. Engines admit 18 prompt tokens per millisecond.
func TestLeastWait(t *testing.T) {
	loaded := func(onTime, late [admit.MaxPriority + 1]int64) Report {
		result := report(1, 0)
		result.Waiting = admit.Waiting{OnTime: onTime, Late: late}
		for priority := range onTime {
			result.Backlog, result.Late = result.Backlog+onTime[priority], result.Late+late[priority]
		}
		return result
	}
	type tokens = [admit.MaxPriority + 1]int64
	full := loaded(tokens{18_000, 0, 36_000}, tokens{18_000, 0, 90_000})
	later := full
	later.Backlog = 0
	tests := []struct {
		name    string
		request Request
		reports []Report
		want    time.Duration
		unknown bool
	}{
		{name: "urgent, before its goal", request: Request{MaxWait: 2 * time.Second}, reports: []Report{full}, want: time.Second},
		{name: "urgent, misses its goal", request: Request{MaxWait: 800 * time.Millisecond}, reports: []Report{full}, want: 4 * time.Second},
		{name: "less urgent", request: Request{MaxWait: time.Second, Priority: 2}, reports: []Report{full}, want: 9 * time.Second},
		{name: "waits since the backlog was counted", request: Request{MaxWait: time.Second}, reports: []Report{later}},
		{name: "another engine is free", request: Request{MaxWait: time.Second, Priority: 2}, reports: []Report{full, report(1, 0)}},
		{name: "another engine is not heard", request: Request{MaxWait: time.Second}, reports: []Report{full}, unknown: true},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			picker := newPicker(test.reports...)
			if test.unknown {
				picker.SetUpstreams([]fleet.Upstream{engine(0), engine(1)})
			}
			test.request.Service, test.request.Engine = "advisor", true
			wait, known := picker.LeastWait(test.request)
			if known == test.unknown || wait.Round(time.Millisecond) != test.want {
				t.Errorf("%s: wait is %v, known %v; want %v", test.name, wait, known, test.want)
			}
		})
	}
}
