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

// TestSet guards against an upstream that gets requests although it said that
// it wants none, and against one that gets none after a new start.
func TestSet(t *testing.T) {
	tests := []struct {
		name string
		do   func(set *Set)
		// born is that of the start asked for, in milliseconds after the test's
		// beginning; first is 0.
		born int64
		want bool
		// left is how long it is avoided, 0 for good.
		left time.Duration
	}{
		{name: "never heard", do: func(*Set) {}},
		{name: "leaving", do: func(set *Set) { set.MarkDraining(first) }, want: true},
		{name: "leaving for minutes", do: func(set *Set) { set.MarkDraining(first); time.Sleep(5 * time.Minute) }, want: true},
		{name: "started anew after it left", do: func(set *Set) { set.MarkDraining(first); time.Sleep(time.Second) }, born: 900},
		{name: "started before it said so and listed later", do: func(set *Set) { time.Sleep(time.Second); set.MarkDraining(first) }, born: 900, want: true},
		{name: "listed much later, clocks apart", do: func(set *Set) { time.Sleep(time.Second); set.MarkDraining(first); time.Sleep(time.Minute) }, born: 900},
		{name: "unknown start", do: func(set *Set) { set.MarkDraining(Incarnation{ID: "a"}) }, born: 900, want: true},
		{name: "rests", do: func(set *Set) { set.SetBackoff(first, 3*time.Second); time.Sleep(time.Second) }, want: true, left: 2 * time.Second},
		{name: "rested", do: func(set *Set) { set.SetBackoff(first, time.Second); time.Sleep(time.Second) }},
		{name: "later word is shorter", do: func(set *Set) { set.SetBackoff(first, 3*time.Second); set.SetBackoff(first, time.Second) }, want: true, left: 3 * time.Second},
		{name: "no time", do: func(set *Set) { set.SetBackoff(first, 0); set.SetBackoff(first, -time.Second) }},
		{name: "endless time", do: func(set *Set) { set.SetBackoff(first, 1<<62) }, want: true, left: MaxBackoff},
		{name: "rests and leaves", do: func(set *Set) {
			set.MarkDraining(first)
			set.SetBackoff(first, time.Second)
			time.Sleep(2 * time.Second)
		}, want: true},
		{name: "new start while it rests", do: func(set *Set) { set.SetBackoff(first, time.Hour); time.Sleep(time.Second) }, born: 900},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				set := New(Config{})
				begun := time.Now()
				test.do(set)
				until, got := set.Avoided(Incarnation{ID: "a", StartedAt: begun.UnixMilli() + test.born})
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("avoided (-want +got):\n%s", diff)
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

// first is the start at the beginning of a test, whose clock begins in 2000.
var first = Incarnation{ID: "a", StartedAt: time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()}

// TestNews guards against other instances that never hear that an upstream is
// leaving, and against news that are told for ever.
func TestNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := New(Config{})
		if !set.MarkDraining(first) || set.MarkDraining(first) {
			t.Error("the first word is new, the second is not")
		}
		set.SetBackoff(Incarnation{ID: "b"}, time.Minute)
		if diff := cmp.Diff([]Incarnation{first}, set.RecentlyDraining()); diff != "" {
			t.Errorf("news (-want +got):\n%s", diff)
		}
		time.Sleep(DefaultNewsAge)
		if diff := cmp.Diff([]Incarnation(nil), set.RecentlyDraining()); diff != "" {
			t.Errorf("later (-want +got):\n%s", diff)
		}
	})
}

// step is one thing that happens to an upstream in TestSchedules.
type step struct {
	upstream string
	kind     string
	length   time.Duration
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		upstream: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "upstream"),
		kind:     rapid.SampledFrom([]string{"leave", "rest", "restart", "pause", "late word"}).Draw(t, "kind"),
		length:   time.Duration(rapid.IntRange(-10, 9000).Draw(t, "ms")) * time.Millisecond,
	}
}), 1, 40)

// TestSchedules guards against any order of words, starts and pauses in which
// something is sent to an upstream that wants nothing. The model keeps each
// word of the present start for itself.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		schedule := steps.Draw(drawn, "steps")
		var failure string
		synctest.Test(t, func(*testing.T) { failure = play(schedule) })
		if failure != "" {
			drawn.Fatal(failure)
		}
	})
}

// spoken is what the present start of an upstream said.
type spoken struct {
	born    int64
	leaving bool
	rests   []time.Time
	// late means that an earlier start was heard after this one began, for which
	// this one may be avoided for a while.
	late bool
}

// play returns how the first step at which a Set is wrong differs from the
// model, or nothing.
func play(schedule []step) string {
	set := New(Config{})
	model := map[string]*spoken{"a": {born: 1000}, "b": {born: 1000}}
	for number, step := range schedule {
		known := model[step.upstream]
		start := Incarnation{ID: step.upstream, StartedAt: known.born}
		switch step.kind {
		case "leave":
			set.MarkDraining(start)
			known.leaving = true
		case "rest":
			set.SetBackoff(start, step.length)
			known.rests = append(known.rests, time.Now().Add(step.length))
		case "restart":
			time.Sleep(2 * time.Millisecond)
			model[step.upstream] = &spoken{born: time.Now().UnixMilli()}
		case "pause":
			time.Sleep(step.length)
		case "late word":
			set.MarkDraining(Incarnation{ID: step.upstream, StartedAt: known.born - 1})
			known.late = true
		}
		for id, known := range model {
			if _, got := set.Avoided(Incarnation{ID: id, StartedAt: known.born}); got != known.refuses() && (!got || !known.late) {
				return fmt.Sprintf("after step %d (%+v): %s avoided is %v", number, step, id, got)
			}
		}
	}
	return ""
}

// refuses reports whether the upstream wants nothing now.
func (spoken *spoken) refuses() bool {
	return spoken.leaving || slices.ContainsFunc(spoken.rests, time.Now().Before)
}
