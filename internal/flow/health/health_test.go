package health

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

func newService(t *testing.T, ids ...string) *Tracker {
	t.Helper()
	service, err := New(Config{})
	if err != nil {
		t.Fatal(err)
	}
	service.SetUpstreams(ids)
	return service
}

func failUntilEjected(service *Tracker, id string) (failures int) {
	for failures = 1; failures < 10; failures++ {
		if service.RecordFailure(id) {
			return failures
		}
	}
	return failures
}

// Guards against a wrong length of ejections, more than one probe at a time,
// and an ejection that outlives a success.
func TestEjection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newService(t, "a", "b")
		if got := failUntilEjected(service, "a"); got != DefaultMaxFailures {
			t.Fatalf("ejected after %d failures", got)
		}
		for _, seconds := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
			time.Sleep(seconds*time.Second - time.Nanosecond)
			if got := service.State("a"); got != Ejected || service.TryProbe("a") {
				t.Fatalf("state %d just before %d s", got, seconds)
			}
			time.Sleep(time.Nanosecond)
			if service.State("a") != ProbeDue || !service.TryProbe("a") || service.TryProbe("a") {
				t.Fatalf("not exactly one probe after %d s", seconds)
			}
			if !service.RecordFailure("a") || service.RecordFailure("a") {
				t.Fatalf("failed probe after %d s does not eject once", seconds)
			}
		}
		time.Sleep(30 * time.Second)
		service.TryProbe("a")
		service.RecordSuccess("a")
		if service.State("a") != Usable || service.RecordFailure("a") {
			t.Error("ejected after a successful probe")
		}
		if got := failUntilEjected(service, "b"); got != DefaultMaxFailures {
			t.Errorf("other upstream ejected after %d failures, though none is ejected", got)
		}
	})
}

// Guards against an upstream that stays ejected because a probe had no outcome.
func TestLostProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newService(t, "a", "b")
		failUntilEjected(service, "a")
		time.Sleep(DefaultInitialEjection)
		service.TryProbe("a")
		time.Sleep(DefaultProbeTimeout)
		if !service.TryProbe("a") {
			t.Error("no second probe")
		}
	})
}

// Guards against the ejection of more than half of a service, also when
// upstreams leave.
func TestHalf(t *testing.T) {
	tests := []struct {
		name   string
		ids    []string
		follow []string
		want   []string
	}{
		{"single upstream", []string{"a"}, nil, nil},
		{"one of three", []string{"a", "b", "c"}, nil, []string{"a"}},
		{"two of four", []string{"a", "b", "c", "d"}, nil, []string{"a", "b"}},
		{"ejected one left", []string{"a", "b"}, []string{"b", "c"}, []string{"b"}},
		{"healthy ones left", []string{"a", "b"}, []string{"a"}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := newService(t, test.ids...)
				ids := test.ids
				if test.follow != nil {
					failUntilEjected(service, ids[0])
					service.SetUpstreams(test.follow)
					ids = test.follow
				}
				var got []string
				for _, id := range ids {
					failUntilEjected(service, id)
					if service.State(id) == Ejected {
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

// Guards against settings that would never eject or never end an ejection.
func TestConfig(t *testing.T) {
	for _, config := range []Config{{MaxFailures: -1}, {InitialEjection: time.Minute}, {ProbeTimeout: -1}, {InitialEjection: -1}} {
		_, err := New(config)
		if found, ok := fault.As(err); !ok || found.Kind() != fault.Invalid {
			t.Errorf("New(%+v): %v", config, err)
		}
	}
}
