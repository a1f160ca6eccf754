package poison

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
)

// end records that an upstream crashed before it answered some requests, each with the
// parts given.
func (scene *scene) end(prompts ...[]string) {
	scene.crashes++
	var evidence []Evidence
	for _, ids := range prompts {
		scene.requests++
		subjects := append(parts(ids...), Request(uint64(scene.requests)))
		for _, subject := range subjects {
			evidence = append(evidence, Evidence{
				Subject: subject, Organisation: "o1", Request: uint64(scene.requests), At: time.Now(), Unanswered: true,
				Upstream: cordon.Incarnation{ID: fmt.Sprint("engine-", scene.crashes)},
			})
		}
	}
	scene.Add(true, evidence)
	time.Sleep(time.Second)
}

// complete records that a response to a request with parts was completed.
func (scene *scene) complete(completed []Subject) {
	scene.RecordCompleted("o1", completed)
	time.Sleep(time.Millisecond)
}

// TestUnanswered guards against a part that is never blocked because upstreams end before
// a byte of the answer arrives, and against sound parts that are blocked in its place.
func TestUnanswered(t *testing.T) {
	tests := []struct {
		name   string
		events func(scene *scene)
		// want lists the blocked parts among a, b, x and y.
		want []string
	}{
		{name: "two crashes", events: func(scene *scene) {
			scene.end([]string{"x"})
			scene.end([]string{"x"})
		}},
		{name: "five crashes, sound parts at all of them", want: []string{"x"}, events: func(scene *scene) {
			scene.complete(parts("a", "b"))
			for range 5 {
				scene.end([]string{"a", "x"}, []string{"a", "b"})
			}
		}},
		{name: "sound requests had begun", want: []string{"x"}, events: func(scene *scene) {
			scene.complete(parts("a", "b"))
			for range 5 {
				scene.requests++
				answered := scene.evidence(true, false, []string{"a", "b"}, "o1")
				for i := range answered {
					answered[i].Upstream.ID = fmt.Sprint("engine-", scene.crashes+1)
				}
				scene.Add(true, answered)
				scene.end([]string{"a", "x"})
			}
		}},
		{name: "many requests at each crash", want: []string{"x"}, events: func(scene *scene) {
			scene.complete(parts("a"))
			for range 5 {
				scene.end(slices.Repeat([][]string{{"a", "x"}}, 20)...)
			}
		}},
		{name: "two parts in turn", want: []string{"x", "y"}, events: func(scene *scene) {
			scene.complete(parts("a"))
			for range 5 {
				scene.end([]string{"a", "x"})
				scene.end([]string{"a", "y"})
			}
		}},
		{name: "one crash a minute", want: []string{"x"}, events: func(scene *scene) {
			for range 5 {
				scene.complete(parts("a"))
				scene.end([]string{"a", "x"})
				time.Sleep(time.Minute)
			}
			// The block may be due to end by a probe, but it holds.
		}},
		{name: "a sound part that begins to crash upstreams", want: []string{"x"}, events: func(scene *scene) {
			scene.complete(parts("x"))
			for range 6 {
				scene.end([]string{"x"})
			}
		}},
		{name: "upstreams that end by themselves", events: func(scene *scene) {
			for number := range 20 {
				scene.complete(parts("a", "b"))
				scene.end(slices.Repeat([][]string{{"a", "b"}, {"a", fmt.Sprint("new-", number)}}, 10)...)
			}
		}},
		{name: "upstreams that end together", events: func(scene *scene) {
			scene.complete(parts("a"))
			for range 5 {
				scene.crashes, scene.requests = scene.crashes+1, scene.requests+1
				evidence := scene.evidence(false, false, []string{"a", "b"}, "o1")
				for i := range evidence {
					evidence[i].Unanswered = true
				}
				scene.Add(true, evidence)
				time.Sleep(time.Millisecond)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scene := newScene()
				test.events(scene)
				if diff := cmp.Diff(test.want, scene.blocked("o1", "a", "b", "x", "y"), cmp.Transformer("empty", func(ids []string) string { return fmt.Sprint(ids) })); diff != "" {
					t.Errorf("blocked parts (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestUnansweredOrder guards against parts whose block depends on the order in which
// instances learn of crashes.
func TestUnansweredOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		teller := newScene()
		teller.complete(parts("a"))
		var told []News
		for range 5 {
			teller.end([]string{"a", "x"}, []string{"a", "b"})
			told = append(told, teller.Recent())
		}
		all := News{Evidence: teller.Evidence(Part("x"))}
		slices.Reverse(told)
		for _, news := range append(told, all) {
			listener := newScene()
			listener.Merge(all)
			listener.Merge(news)
			listener.Merge(all)
			if got := listener.blocked("o1", "a", "b", "x"); !slices.Equal(got, []string{"x"}) {
				t.Errorf("blocked parts %v, want x", got)
			}
		}
	})
}

// TestSoundPartProbedSoon guards against a sound part that stays blocked as long as one
// that was never sound, after crashes that nothing explains.
func TestSoundPartProbedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scene := newScene()
		scene.complete(parts("a"))
		for range 6 {
			scene.end([]string{"a"})
		}
		if got := scene.Check("o1", parts("a"), first); !got.Blocked {
			t.Errorf("the part is not blocked: %+v", got)
		}
		time.Sleep(ambiguousHold)
		if got := scene.Check("o1", parts("a"), first); !got.Probe {
			t.Errorf("the part is not probed after %v: %+v", ambiguousHold, got)
		}
	})
}
