package health

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

func newTracker(t *testing.T, ids ...string) *Tracker {
	t.Helper()
	tracker, err := New(Config{})
	if err != nil {
		t.Fatal(err)
	}
	tracker.SetUpstreams(ids)
	return tracker
}

func failUntilEjected(tracker *Tracker, id string) (failures int) {
	for failures = 1; failures < 10; failures++ {
		if tracker.RecordFailure(id) {
			return failures
		}
	}
	return failures
}

// TestEjection guards against a wrong length of ejections, more than one probe
// at a time, and an ejection that outlives a success.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(t, "a", "b")
		if got := failUntilEjected(tracker, "a"); got != DefaultMaxFailures {
			t.Fatalf("ejected after %d failures", got)
		}
		for _, seconds := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
			time.Sleep(seconds*time.Second - time.Nanosecond)
			if got := tracker.State("a"); got != Ejected || tracker.TryProbe("a") {
				t.Fatalf("state %d just before %d s", got, seconds)
			}
			time.Sleep(time.Nanosecond)
			if tracker.State("a") != ProbeDue || !tracker.TryProbe("a") || tracker.TryProbe("a") {
				t.Fatalf("not exactly one probe after %d s", seconds)
			}
			if !tracker.RecordFailure("a") || tracker.RecordFailure("a") {
				t.Fatalf("failed probe after %d s does not eject once", seconds)
			}
		}
		time.Sleep(30 * time.Second)
		tracker.TryProbe("a")
		tracker.RecordSuccess("a")
		if tracker.State("a") != Usable || tracker.RecordFailure("a") {
			t.Error("ejected after a successful probe")
		}
		if got := failUntilEjected(tracker, "b"); got != DefaultMaxFailures {
			t.Errorf("other upstream ejected after %d failures, though none is ejected", got)
		}
	})
}

// TestLostProbe guards against an upstream that stays ejected because a probe
// had no outcome.
func TestLostProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(t, "a", "b")
		failUntilEjected(tracker, "a")
		time.Sleep(DefaultInitialEjection)
		tracker.TryProbe("a")
		time.Sleep(DefaultProbeTimeout)
		if !tracker.TryProbe("a") {
			t.Error("no second probe")
		}
	})
}

// TestEjectionLimit guards against the ejection of more than half of a service,
// also when upstreams are removed.
func TestEjectionLimit(t *testing.T) {
	tests := []struct {
		name   string
		ids    []string
		follow []string
		want   []string
	}{
		{"single upstream", []string{"a"}, nil, nil},
		{"one of three", []string{"a", "b", "c"}, nil, []string{"a"}},
		{"two of four", []string{"a", "b", "c", "d"}, nil, []string{"a", "b"}},
		{"ejected upstream removed", []string{"a", "b"}, []string{"b", "c"}, []string{"b"}},
		{"healthy upstreams removed", []string{"a", "b"}, []string{"a"}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := newTracker(t, test.ids...)
				ids := test.ids
				if test.follow != nil {
					failUntilEjected(tracker, ids[0])
					tracker.SetUpstreams(test.follow)
					ids = test.follow
				}
				var got []string
				for _, id := range ids {
					failUntilEjected(tracker, id)
					if tracker.State(id) == Ejected {
						got = append(got, id)
					}
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("ejected (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestConfig guards against settings that would never eject or never end an
// ejection.
func TestConfig(t *testing.T) {
	for _, config := range []Config{{MaxFailures: -1}, {InitialEjection: time.Minute}, {ProbeTimeout: -1}, {InitialEjection: -1}} {
		_, err := New(config)
		if found, ok := fault.As(err); !ok || found.Kind() != fault.Invalid {
			t.Errorf("New(%+v): %v", config, err)
		}
	}
}
