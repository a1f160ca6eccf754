package cordon

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestSet guards against an upstream that gets requests although it asked for
// none, and against one that gets none after a restart.
func TestSet(t *testing.T) {
	tests := []struct {
		name string
		do   func(set *Set)
		// startedAfter is the start of the incarnation asked for, in
		// milliseconds after the test's beginning; that of firstIncarnation is
		// 0.
		startedAfter int64
		want         bool
		// left is how long it is still cordoned, 0 for good.
		left time.Duration
	}{
		{name: "never marked", do: func(*Set) {}},
		{name: "leaving", do: func(set *Set) { set.MarkDraining(firstIncarnation) }, want: true},
		{name: "draining for minutes", do: func(set *Set) { set.MarkDraining(firstIncarnation); time.Sleep(5 * time.Minute) }, want: true},
		{name: "restarted after it drained", do: func(set *Set) { set.MarkDraining(firstIncarnation); time.Sleep(time.Second) }, startedAfter: 900},
		{name: "started before the mark and listed later", do: func(set *Set) { time.Sleep(time.Second); set.MarkDraining(firstIncarnation) }, startedAfter: 900, want: true},
		{name: "listed much later, clocks differ", do: func(set *Set) { time.Sleep(time.Second); set.MarkDraining(firstIncarnation); time.Sleep(time.Minute) }, startedAfter: 900},
		{name: "unknown start time", do: func(set *Set) { set.MarkDraining(Incarnation{ID: "a"}) }, startedAfter: 900, want: true},
		{name: "rests", do: func(set *Set) { set.SetBackoff(firstIncarnation, 3*time.Second); time.Sleep(time.Second) }, want: true, left: 2 * time.Second},
		{name: "rested", do: func(set *Set) { set.SetBackoff(firstIncarnation, time.Second); time.Sleep(time.Second) }},
		{name: "later backoff is shorter", do: func(set *Set) {
			set.SetBackoff(firstIncarnation, 3*time.Second)
			set.SetBackoff(firstIncarnation, time.Second)
		}, want: true, left: 3 * time.Second},
		{name: "no backoff", do: func(set *Set) { set.SetBackoff(firstIncarnation, 0); set.SetBackoff(firstIncarnation, -time.Second) }},
		{name: "endless backoff", do: func(set *Set) { set.SetBackoff(firstIncarnation, 1<<62) }, want: true, left: MaxBackoff},
		{name: "backoff while draining", do: func(set *Set) {
			set.MarkDraining(firstIncarnation)
			set.SetBackoff(firstIncarnation, time.Second)
			time.Sleep(2 * time.Second)
		}, want: true},
		{name: "restarted during the backoff", do: func(set *Set) { set.SetBackoff(firstIncarnation, time.Hour); time.Sleep(time.Second) }, startedAfter: 900},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				set := New(Config{})
				began := time.Now()
				test.do(set)
				until, got := set.Cordoned(Incarnation{ID: "a", StartedAt: began.UnixMilli() + test.startedAfter})
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("cordoned (-want +got):\n%s", diff)
				}
				var left time.Duration
				if !until.IsZero() {
					left = time.Until(until)
				}
				if diff := cmp.Diff(test.left, left); diff != "" {
					t.Errorf("time left (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// firstIncarnation starts at the beginning of a test, whose clock begins in
// 2000.
var firstIncarnation = Incarnation{ID: "a", StartedAt: time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()}

// TestRecentlyDraining guards against other instances that never hear that an
// upstream is draining, and against marks that are passed on for ever.
func TestRecentlyDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := New(Config{})
		if !set.MarkDraining(firstIncarnation) || set.MarkDraining(firstIncarnation) {
			t.Error("the first mark is new, the second is not")
		}
		set.SetBackoff(Incarnation{ID: "b"}, time.Minute)
		if diff := cmp.Diff([]Incarnation{firstIncarnation}, set.RecentlyDraining()); diff != "" {
			t.Errorf("recently draining (-want +got):\n%s", diff)
		}
		time.Sleep(DefaultAnnouncePeriod)
		if diff := cmp.Diff([]Incarnation(nil), set.RecentlyDraining()); diff != "" {
			t.Errorf("later (-want +got):\n%s", diff)
		}
	})
}

// step is one event of an upstream in TestSchedules.
type step struct {
	upstream string
	kind     string
	length   time.Duration
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		upstream: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "upstream"),
		kind:     rapid.SampledFrom([]string{"leave", "rest", "restart", "pause", "late message"}).Draw(t, "kind"),
		length:   time.Duration(rapid.IntRange(-10, 9000).Draw(t, "ms")) * time.Millisecond,
	}
}), 1, 40)

// TestSchedules guards against any order of messages, restarts and pauses after
// which an upstream that asked for no requests is not cordoned. The model keeps
// every message of the current incarnation.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		schedule := steps.Draw(drawn, "steps")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = runSchedule(schedule) })
		if failure != "" {
			drawn.Fatal(failure)
		}
	})
}

// upstreamModel holds what the current incarnation of an upstream said.
type upstreamModel struct {
	startedAt int64
	draining  bool
	backoffs  []time.Time
	// late means that an earlier incarnation was heard after this one began,
	// for which this one may be cordoned for a while.
	late bool
}

// runSchedule runs a schedule on a Set and returns how the first step with a
// wrong result differs from the model, or "".
func runSchedule(schedule []step) string {
	set := New(Config{})
	model := map[string]*upstreamModel{"a": {startedAt: 1000}, "b": {startedAt: 1000}}
	for number, step := range schedule {
		known := model[step.upstream]
		incarnation := Incarnation{ID: step.upstream, StartedAt: known.startedAt}
		switch step.kind {
		case "leave":
			set.MarkDraining(incarnation)
			known.draining = true
		case "rest":
			set.SetBackoff(incarnation, step.length)
			known.backoffs = append(known.backoffs, time.Now().Add(step.length))
		case "restart":
			time.Sleep(2 * time.Millisecond)
			model[step.upstream] = &upstreamModel{startedAt: time.Now().UnixMilli()}
		case "pause":
			time.Sleep(step.length)
		case "late message":
			set.MarkDraining(Incarnation{ID: step.upstream, StartedAt: known.startedAt - 1})
			known.late = true
		}
		for id, known := range model {
			if _, got := set.Cordoned(Incarnation{ID: id, StartedAt: known.startedAt}); got != known.refuses() && (!got || !known.late) {
				return fmt.Sprintf("after step %d (%+v): %s cordoned is %v", number, step, id, got)
			}
		}
	}
	return ""
}

// refuses reports whether the upstream wants no requests now.
func (upstream *upstreamModel) refuses() bool {
	return upstream.draining || slices.ContainsFunc(upstream.backoffs, time.Now().Before)
}
