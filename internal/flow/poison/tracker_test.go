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

// first is the place of the instance that ranks first for every subject.
func first(Subject) int { return 0 }

// parts returns the subjects of parts.
func parts(ids ...string) (subjects []Subject) {
	for _, id := range ids {
		subjects = append(subjects, Part(id))
	}
	return subjects
}

// scene is a Tracker with short forms of its methods.
type scene struct {
	*Tracker
	requests, crashes int
}

func newScene() *scene { return &scene{Tracker: New(Config{})} }

// crash records that an upstream crashed when it had just begun to answer a new
// request with parts of each organisation given.
func (scene *scene) crash(fresh bool, ids []string, organisations ...string) {
	scene.crashes++
	for _, organisation := range organisations {
		scene.requests++
		scene.Add(true, scene.evidence(fresh, false, ids, organisation))
	}
	time.Sleep(time.Second)
}

func (scene *scene) evidence(fresh, probe bool, ids []string, organisation string) []Evidence {
	var evidence []Evidence
	for _, id := range ids {
		evidence = append(evidence, Evidence{
			Subject: Part(id), Organisation: organisation, Request: uint64(scene.requests), At: time.Now(), Fresh: fresh, Probe: probe,
			Upstream: cordon.Incarnation{ID: fmt.Sprint("engine-", scene.crashes)},
		})
	}
	return evidence
}

// blocked returns which of the parts are blocked for an organisation.
func (scene *scene) blocked(organisation string, ids ...string) []string {
	return slices.DeleteFunc(ids, func(id string) bool { return !scene.Blocked(organisation, parts(id)) })
}

// TestBlock guards against parts that crash upstreams and are not blocked in time, and
// against sound parts that are.
func TestBlock(t *testing.T) {
	tests := []struct {
		name   string
		events func(scene *scene)
		// want lists the blocked parts among a, b and x, for organisation o1 and o2.
		want, wantOther []string
	}{
		{name: "one crash", events: func(scene *scene) { scene.crash(true, []string{"a", "x"}, "o1") }},
		{
			name: "two crashes under different requests", want: []string{"x"},
			events: func(scene *scene) {
				scene.crash(true, []string{"a", "x"}, "o1")
				scene.crash(true, []string{"b", "x"}, "o1")
			},
		},
		{
			name: "one request repeated",
			events: func(scene *scene) {
				evidence := scene.evidence(true, false, []string{"a", "x"}, "o1")
				for number := range 3 {
					for i := range evidence {
						evidence[i].Upstream.ID, evidence[i].At = fmt.Sprint("engine-", number), time.Now()
					}
					scene.Add(true, evidence)
					time.Sleep(time.Second)
				}
			},
		},
		{
			name: "upstreams that end together",
			events: func(scene *scene) {
				for range 5 {
					scene.crashes, scene.requests = scene.crashes+1, scene.requests+1
					scene.Add(true, scene.evidence(true, false, []string{"x"}, "o1"))
					time.Sleep(time.Millisecond)
				}
			},
		},
		{
			name: "a part that was sound before", want: []string{"x"},
			events: func(scene *scene) {
				scene.RecordCompleted("o1", parts("a"))
				time.Sleep(time.Second)
				scene.crash(true, []string{"a", "x"}, "o1")
				scene.crash(true, []string{"a", "x"}, "o1")
			},
		},
		{
			name: "a part that was sound before and no longer is", want: []string{"x"},
			events: func(scene *scene) {
				scene.RecordCompleted("o1", parts("x"))
				time.Sleep(time.Second)
				for number := range 4 {
					scene.crash(true, []string{fmt.Sprint("other-", number), "x"}, "o1")
				}
			},
		},
		{
			name: "a part whose crash comes late in the response", want: []string{"x"},
			events: func(scene *scene) {
				for number := range 4 {
					scene.crash(false, []string{fmt.Sprint("other-", number), "x"}, "o1")
				}
			},
		},
		{
			name: "a completion between the crashes",
			events: func(scene *scene) {
				for range 5 {
					scene.crash(true, []string{"a"}, "o1")
					scene.RecordCompleted("o1", parts("a"))
				}
			},
		},
		{
			name: "a completion after the block",
			events: func(scene *scene) {
				scene.crash(true, []string{"x"}, "o1")
				scene.crash(true, []string{"x"}, "o1")
				scene.RecordCompleted("o1", parts("x"))
			},
		},
		{
			name: "one organisation's requests do not block another's", want: []string{"x"},
			events: func(scene *scene) {
				scene.crash(true, []string{"x"}, "o1")
				scene.crash(true, []string{"x"}, "o1")
			},
		},
		{
			name: "requests of two organisations block a part for all", want: []string{"x"}, wantOther: []string{"x"},
			events: func(scene *scene) {
				scene.crash(true, []string{"x"}, "o1")
				scene.crash(true, []string{"x"}, "o3")
			},
		},
		{
			name: "another organisation's completion", want: []string{"x"},
			events: func(scene *scene) {
				for range 4 {
					scene.crash(true, []string{"x"}, "o1")
				}
				scene.crash(true, []string{"x"}, "o3")
				scene.RecordCompleted("o2", parts("x"))
			},
		},
		{
			name: "parts beside a blocked one", want: []string{"x"},
			events: func(scene *scene) {
				scene.RecordCompleted("o1", parts("a"))
				time.Sleep(time.Second)
				for range 6 {
					scene.crash(true, []string{"a", "x"}, "o1")
				}
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scene := newScene()
				test.events(scene)
				got := [][]string{scene.blocked("o1", "a", "b", "x"), scene.blocked("o2", "a", "b", "x")}
				if diff := cmp.Diff([][]string{append([]string{}, test.want...), append([]string{}, test.wantOther...)}, got); diff != "" {
					t.Errorf("blocked for o1 and o2 (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestProbes guards against more than one probe at a time, against more than three in
// a day of a part that stays deadly, and against a part that stays blocked although
// its probe was completed.
func TestProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scene := newScene()
		scene.crash(true, []string{"x"}, "o1")
		scene.crash(true, []string{"x"}, "o1")
		probes := 0
		for began := time.Now(); time.Since(began) < 24*time.Hour; time.Sleep(time.Second) {
			if !scene.Check("o1", parts("x"), first).Probe {
				continue
			}
			if scene.Check("o1", parts("x"), first).Probe {
				t.Fatal("two probes at a time")
			}
			probes++
			scene.crashes, scene.requests = scene.crashes+1, scene.requests+1
			scene.Add(true, scene.evidence(true, true, []string{"x"}, "o1"))
		}
		if probes == 0 || probes > 3 {
			t.Errorf("%d probes in a day, want 1 to 3", probes)
		}
		scene.RecordCompleted("o1", parts("x"))
		if diff := cmp.Diff(Verdict{}, scene.Check("o1", parts("x"), first), cmp.AllowUnexported(Subject{})); diff != "" {
			t.Errorf("after a completed probe (-want +got):\n%s", diff)
		}
	})
}

// TestAmbiguous guards against the refusal of sound requests for long because they
// share a part with deadly ones.
func TestAmbiguous(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scene := newScene()
		scene.crash(true, []string{"a", "x"}, "o1")
		scene.crash(true, []string{"a", "x"}, "o1")
		time.Sleep(ambiguousHold)
		if verdict := scene.Check("o1", parts("a", "x"), first); !verdict.Blocked {
			t.Error("a request with all of the blocked parts is not refused")
		}
		if verdict := scene.Check("o1", parts("a"), first); !verdict.Probe {
			t.Errorf("a request with one of the blocked parts is not a probe: %+v", verdict)
		}
		scene.RecordCompleted("o1", parts("a"))
		if diff := cmp.Diff([]string{"x"}, scene.blocked("o1", "a", "x")); diff != "" {
			t.Errorf("blocked after the probe (-want +got):\n%s", diff)
		}
	})
}

// TestMerge guards against instances that differ after they have told each other what
// they observed, however often, against one that starts later, and against a
// completion that one of them missed.
func TestMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		observers := []*scene{newScene(), newScene()}
		for number, observer := range observers {
			observer.requests, observer.crashes = number, number
			observer.Add(true, observer.evidence(true, false, []string{"a", "x"}, "o1"))
			for range 2 {
				observers[1-number].Merge(observer.Recent())
			}
			time.Sleep(DefaultAnnouncePeriod)
		}
		late := New(Config{})
		late.Merge(News{Evidence: observers[0].AgainstBlocked(maxEvidence)})
		for number, tracker := range []*Tracker{observers[0].Tracker, observers[1].Tracker, late} {
			if !tracker.Blocked("o1", parts("x")) {
				t.Fatalf("instance %d was told of two crashes and does not block the part", number)
			}
		}
		observers[0].RecordCompleted("o1", parts("a"))
		time.Sleep(2 * DefaultAnnouncePeriod)
		observers[0].Merge(News{Evidence: late.AgainstBlocked(maxEvidence)})
		late.Merge(observers[0].Recent())
		if late.Blocked("o1", parts("a")) || !late.Blocked("o1", parts("x")) {
			t.Error("a completion that was missed at first does not clear its part alone")
		}
	})
}

// TestAnnounceSound guards against a part that stays suspect at other instances, since
// the one that knows it to be sound completes another response before it tells them.
func TestAnnounceSound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scene, other := newScene(), newScene()
		scene.RecordCompleted("o1", parts("a"))
		time.Sleep(time.Second)
		other.crash(true, []string{"a"}, "o2")
		scene.Merge(News{Evidence: other.evidence(true, false, []string{"a"}, "o2")})
		scene.RecordCompleted("o1", parts("a"))
		if got := scene.Recent().Completions; len(got) != 1 {
			t.Errorf("completions announced: %v, want one", got)
		}
	})
}

// TestForget guards against parts that are remembered for ever, and against one that
// is forgotten while it is blocked.
func TestForget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scene := newScene()
		for number := range 2 * maxSubjects {
			scene.crashes, scene.requests = number, number
			scene.Add(true, scene.evidence(true, false, []string{fmt.Sprint("part-", number)}, "o1"))
		}
		if count := len(scene.subjects); count > maxSubjects {
			t.Errorf("%d parts are remembered, want at most %d", count, maxSubjects)
		}
		time.Sleep(2 * DefaultSoundTime)
		scene.crash(true, []string{"x"}, "o1")
		scene.crash(true, []string{"x"}, "o1")
		if !scene.Blocked("o1", parts("x")) {
			t.Error("a part is not blocked because others fill the memory")
		}
		time.Sleep(retention + DefaultInitialHold + time.Second)
		scene.crash(true, []string{"y"}, "o1")
		if diff := cmp.Diff(1, len(scene.subjects)); diff != "" {
			t.Errorf("parts remembered (-want +got):\n%s", diff)
		}
	})
}

// TestRequests guards against a request that crashes upstreams and is not blocked after
// three crashes, and against sound requests and parts that are blocked beside it.
func TestRequests(t *testing.T) {
	const deadly, sound, third = 7, 8, 9
	// under records a crash under requests with the part "a". Each has begun, if it is
	// positive, or else has not been answered yet.
	under := func(scene *scene, requests ...int) {
		scene.crashes++
		for _, request := range requests {
			evidence := Evidence{
				Organisation: "o1", Request: uint64(max(request, -request)), At: time.Now(), Fresh: request > 0, Unanswered: request < 0,
				Upstream: cordon.Incarnation{ID: fmt.Sprint("engine-", scene.crashes)},
			}
			var added []Evidence
			for _, subject := range []Subject{Part("a"), Request(evidence.Request)} {
				evidence.Subject = subject
				added = append(added, evidence)
			}
			scene.Add(true, added)
		}
		time.Sleep(time.Second)
	}
	tests := []struct {
		name   string
		events func(scene *scene)
		want   []Subject
	}{
		{name: "one crash", events: func(scene *scene) { under(scene, deadly) }},
		{name: "two crashes", want: []Subject{Request(deadly)}, events: func(scene *scene) {
			under(scene, deadly)
			under(scene, deadly)
		}},
		{name: "two crashes without an answer", events: func(scene *scene) {
			under(scene, -deadly)
			under(scene, -deadly)
		}},
		{name: "three crashes without an answer", want: []Subject{Request(deadly)}, events: func(scene *scene) {
			for range 3 {
				under(scene, -deadly)
			}
		}},
		{name: "three crashes without an answer, with sound requests that wait beside it", want: []Subject{Request(deadly)}, events: func(scene *scene) {
			under(scene, -sound, -deadly, -third)
			under(scene, -deadly, -sound)
			under(scene, -third, -deadly)
			under(scene, -third)
		}},
		{name: "a request that waits at all three crashes", want: []Subject{Request(deadly), Request(sound)}, events: func(scene *scene) {
			for range 3 {
				under(scene, -sound, -deadly)
			}
		}},
		{name: "one that waits at the later of four crashes", want: []Subject{Request(deadly)}, events: func(scene *scene) {
			under(scene, -deadly)
			for range 3 {
				under(scene, -sound, -deadly)
			}
		}},
		{name: "its part, with sound requests that break beside it", want: []Subject{Request(deadly)}, events: func(scene *scene) {
			under(scene, deadly, sound)
			under(scene, deadly, third)
			under(scene, deadly, sound)
			under(scene, deadly, third)
		}},
		{name: "a part that several requests have", want: []Subject{Part("a"), Request(deadly)}, events: func(scene *scene) {
			under(scene, deadly)
			under(scene, deadly)
			under(scene, third)
		}},
		{name: "a request that is completed in between", events: func(scene *scene) {
			for range 4 {
				under(scene, deadly)
				scene.RecordCompleted("o1", []Subject{Request(deadly), Part("a")})
			}
		}},
		{name: "equal requests that were sound until lately", events: func(scene *scene) {
			scene.RecordCompleted("o1", []Subject{Request(sound), Part("a")})
			for range 3 {
				under(scene, sound)
			}
		}},
		{name: "upstreams that end together", events: func(scene *scene) {
			for number := range 5 {
				scene.Add(true, []Evidence{{
					Subject: Request(deadly), Organisation: "o1", Request: deadly, At: time.Now(), Fresh: true,
					Upstream: cordon.Incarnation{ID: fmt.Sprint("engine-", number)},
				}})
				time.Sleep(time.Millisecond)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scene := newScene()
				test.events(scene)
				var got []Subject
				for _, subject := range []Subject{Part("a"), Request(deadly), Request(sound), Request(third)} {
					if scene.Blocked("o1", []Subject{subject}) {
						got = append(got, subject)
					}
				}
				if diff := cmp.Diff(test.want, got, cmp.AllowUnexported(Subject{})); diff != "" {
					t.Errorf("blocked (-want +got):\n%s", diff)
				}
			})
		})
	}
}
